//! Every constant of the project, with its unit and its reason.

/// Version of what the processes say to each other; a node speaks its own and the one before.
pub const WIRE_VERSION: u16 = 1;
/// Version of what stands on disk.
pub const DISK_VERSION: u64 = 1;

/// ms. Leader's heartbeat: four fit into the shortest election wait, so one lost packet unseats nobody.
pub const HEARTBEAT_MS: u64 = 75;
/// ms. Shortest wait before an election: well inside a licence term, well above a slow sync.
pub const ELECTION_MS: u64 = 400;
/// ms. Random part of that wait, so that candidates rarely collide.
pub const ELECTION_SPREAD_MS: u64 = 300;
/// ms. How often a replica is ticked: fine against the heartbeat, cheap for a thread.
pub const TICK_MS: u64 = 10;
/// ms. A sync slower than this makes its node answer no and a leader step down.
pub const DISK_BOUND_MS: u64 = 1_000;
/// ms. A leader writes at least this often, to notice a disk that has gone.
pub const DISK_PROBE_MS: u64 = 500;
/// entries. Most carried by one append message.
pub const APPEND_ENTRIES: usize = 512;
/// bytes. An append message stops growing here.
pub const APPEND_BYTES: usize = 512 * 1024;
/// bytes. One piece of a capture: far below the frame bound.
pub const PIECE_BYTES: usize = 256 * 1024;
/// entries. Proposals not yet committed that a leader holds before it says busy.
pub const OPEN_PROPOSALS: u64 = 4_096;
/// reads. Linearizable reads waiting for one confirmation round.
pub const OPEN_READS: usize = 8_192;
/// entries. How far behind a learner may be when it becomes a voter.
pub const PROMOTE_LAG: u64 = 64;
/// addresses. Of partners, as they told them; far more than a group has members.
pub const ADDRS_KEPT: usize = 64;
/// entries. A capture is taken each time this many were applied.
pub const CAPTURE_EVERY: u64 = 4_096;

/// ms. How often a trailhead renews its licence.
pub const RENEW_MS: u64 = 300;
/// ms. One try at a renewal: three fit into a term.
pub const RENEW_TRY_MS: u64 = 400;
/// ms. Term of a licence, from the moment its renewal was sent.
pub const LICENCE_MS: u64 = 1_500;
/// ms. Taken off the term at the edge and added at the core: clocks drift far less than this.
pub const DRIFT_MS: u64 = 50;
/// ms. How often the slots of all servers are divided anew: many renewals share one division.
pub const TARGETS_MS: u64 = 100;
/// edges × servers. For each so many, the slots are divided one interval later: at 15 ns a pair, 3 % of a core.
pub const TARGETS_SIZE: usize = 200_000;
/// ms. A member silent for this long is taken for dead where a replacement stands ready.
pub const REPAIR_MS: u64 = 15_000;
/// voters. The core grows to this by itself; more would only slow its yes.
pub const CORE_VOTERS: usize = 5;
/// voters. A dead core member is let go by itself only while this many others live.
pub const CORE_LEAST: usize = 3;
/// members. Copies of every store group.
pub const STORE_COPIES: usize = 3;
/// ms. How often a bothy or a joining refuge speaks to the core.
pub const CHECK_IN_MS: u64 = 500;
/// ms. A store group's leader speaks again this soon while the core wants to know its open jobs.
pub const ASKED_MS: u64 = 100;
/// ms. Connecting to a back end takes no longer; work can't start long after its licence check.
pub const CONNECT_MS: u64 = 500;

/// ms. How long after asking for it an intent may still be sent.
pub const DISPATCH_MS: u64 = 1_000;
/// ms. How long a store call is tried before the job is `unavailable`.
pub const STORE_MS: u64 = 3_000;
/// ms. One try of a call to a partner process.
pub const CALL_MS: u64 = 800;
/// ms. Longest run of one job when its route doesn't say.
pub const RUN_MS: u64 = 120_000;
/// ms. How often a store leader commits its clock while nothing else does.
pub const CLOCK_MS: u64 = 500;
/// slots. Programs are spread over store groups by this table; many more than groups ever.
pub const STORE_SLOTS: u64 = 256;

/// ms. How often an edge looks over its queues for jobs that can't make their time.
pub const PUMP_MS: u64 = 25;
/// jobs. Most that wait in one group's queue at one edge.
pub const QUEUE_JOBS: usize = 2_000;
/// ms. How long a slot or a server stays out after it failed before one job probes it.
pub const EJECT_MS: u64 = 2_000;
/// jobs. In flight for one group at a freshly started edge, before anything was measured.
pub const LIMIT_START: f64 = 4.0;
/// share. Kept of that limit when latency is over its bound.
pub const LIMIT_CUT: f64 = 0.8;
/// ms. How often the limit is judged.
pub const JUDGE_MS: u64 = 1_000;
/// set points. A job that has waited this many of them is told that the group is overloaded.
pub const WAIT_POINTS: u64 = 15;
/// ms. But no job is told so before this.
pub const WAIT_LEAST_MS: u64 = 5_000;
/// failures. In a row before a server is left out.
pub const EJECT_AFTER: u32 = 3;
/// slots. A new or cold server starts with this many over the whole fleet.
pub const RAMP_START: u64 = 2;

/// ms. Length of one measuring window.
pub const WINDOW_MS: u64 = 5_000;
/// windows. Kept by every edge and sent again to a new leader.
pub const WINDOWS_KEPT: usize = 24;
/// ms. The scaler looks this often.
pub const CHECK_MS: u64 = 15_000;

/// bytes. Largest frame between our processes.
pub const FRAME_BYTES: usize = 8 * 1024 * 1024;
/// bytes. Largest body from a caller or an operator.
pub const BODY_BYTES: usize = 1024 * 1024;
/// messages. Waiting to be written to one partner; beyond it they are dropped, as a network would.
pub const OUTBOX: usize = 4_096;
/// ms. A write to a partner that takes longer ends the session.
pub const WRITE_MS: u64 = 2_000;
/// ms. Nothing may have been answered for this long before a stopping process ends.
pub const QUIET_MS: u64 = 200;
/// ms. An idle caller's session is kept this long.
pub const KEEP_ALIVE_MS: u64 = 15_000;
/// ms. A request's head and body must have come by then.
pub const HEAD_MS: u64 = 10_000;
/// ms. An idle session to a back end; shorter than back ends keep theirs, so none is used as it closes.
pub const POOLED_MS: u64 = 2_000;
/// sessions. To back ends, from one worker thread.
pub const POOLED: usize = 1_024;
/// ms. Between tries at a partner that has no leader for us.
pub const HUNT_MS: u64 = 50;
/// ms. Taken off a run's time for settling it.
pub const SETTLE_MS: u64 = 250;
/// tries. At a repeatable job, the first one included.
pub const ATTEMPTS: u32 = 3;
/// share. Retries allowed for each job that came, so that they can't double a storm.
pub const RETRY_SHARE: f64 = 0.1;
/// retries. Saved up at the most.
pub const RETRY_MOST: f64 = 20.0;
/// pieces. Read ahead of a slow caller; then the back end is held back.
pub const PIECES: usize = 16;
/// ms. Between looks at a back end: its load, and whether it is the process it was. Sooner than one restarts.
pub const LOAD_MS: u64 = 500;
/// ms. Between looks at one that was lost sight of, or never seen.
pub const LOOK_SOON_MS: u64 = 100;
/// ms. One look waits this long.
pub const LOOK_TRY_MS: u64 = 400;
/// ms. A server back from being away stays closed this long, unless the fleet agrees that it is cold: two renewals.
pub const FELL_MS: u64 = 700;
/// ms. Between looks at this edge's own lanes.
pub const LOOK_MS: u64 = 250;
/// ms. An operator's call is tried this long before it is said that no leader could be had.
pub const OPERATOR_MS: u64 = 5_000;
/// threads. Serving HTTP in one process.
pub const HTTP_WORKERS: usize = 4;
/// ms. Advice to a caller for when to come back.
pub const COME_BACK_MS: u64 = 1_000;
/// ms. Between early renewals of an edge whose jobs wait without a slot.
pub const RENEW_EARLY_MS: u64 = 100;
/// ms. Between tries at a back end's record of a job whose answer was lost.
pub const LOOKUP_MS: u64 = 500;
/// ms. The end of a run is offered to its store for this long: longer than a store is away, as long as
/// an operator needs to bring one back. The store decides whether its intent still stands.
pub const SETTLE_FOR_MS: u64 = 600_000;
/// tries. To place a job anew that certainly never went out; more would only go round a fleet in ruins.
pub const UNSENT_TRIES: u32 = 6;
/// tries. At that record.
pub const LOOKUPS: u32 = 3;
/// ms. Between tries at a data folder that takes no write.
pub const DISK_AGAIN_MS: u64 = 200;
/// inputs. A replica takes at one go before it looks at the clock again.
pub const BATCH: usize = 256;
/// calls. Answers one process waits for at once.
pub const OPEN_CALLS: usize = 16_384;
/// inputs. Waiting for one replica's thread.
pub const INBOX: usize = 16_384;
/// ms. A day: the longest an operator may set a time to.
pub const DAY_MS: u64 = 86_400_000;
/// ms. How long a core or store process stays up after SIGTERM to hand leadership over, and an edge
/// that knows no config.
pub const STOP_MS: u64 = 30_000;
/// ms. The HTTP library's own bound on a graceful stop: ours comes first.
pub const STOP_MOST_MS: u64 = 2 * DAY_MS;
/// ms. Between words on what is still under way while a process stops.
pub const STILL_MS: u64 = 5_000;
/// ms. A removed group's places stay this long after nothing waits for it: a job taken before the
/// change may still be asking its store.
pub const FADE_MS: u64 = STORE_MS + 2_000;
/// revisions. Operator configs kept readable in the core.
pub const CONFIGS_KEPT: usize = 64;
/// decisions. The scaler's last ones kept readable.
pub const DECISIONS_KEPT: usize = 64;
/// change ids. Remembered so that a repeated change gets its first verdict.
pub const CHANGES_KEPT: usize = 256;
/// events. Kept for edges that are a little behind; older ones get a whole capture.
pub const FEED_EVENTS: usize = 2_048;
