//! Every constant of the project, with its reason. A name ends in its unit where it has one: `_MS` for milliseconds,
//! `_BYTES`, and `_MB` for megabytes of 1,000,000 bytes. A `SHARE` is a fraction of 1.

/// Version of the protocol between processes. A node accepts its own version and the one before.
pub const WIRE_VERSION: u16 = 1;
/// Version of the on-disk format. 2: snapshots are stored in chunks. 3: texts in a snapshot may be compressed. 4:
/// texts are stored in segment files beside the database. Folders of older versions are read and are upgraded by
/// their next snapshot.
pub const DISK_VERSION: u64 = 4;

/// Interval of a leader's heartbeats. Four fit into the shortest election timeout, so one lost packet does not
/// depose a leader.
pub const HEARTBEAT_MS: u64 = 75;
/// Shortest election timeout: well below the lease duration and well above the time of a slow sync.
pub const ELECTION_TIMEOUT_MS: u64 = 400;
/// Random part of the election timeout, so that candidates rarely collide.
pub const ELECTION_JITTER_MS: u64 = 300;
/// Maximum number of times the election timeout is doubled, once for each election whose votes arrived too late.
/// Two syncs that are as slow as allowed fit into 2.8 s.
pub const MAX_ELECTION_BACKOFF_DOUBLINGS: u32 = 2;
/// Upper bound of the election timeout.
pub const MAX_ELECTION_TIMEOUT_MS: u64 = (ELECTION_TIMEOUT_MS + ELECTION_JITTER_MS) << MAX_ELECTION_BACKOFF_DOUBLINGS;
/// Interval at which a replica is ticked: short compared with the heartbeat, and cheap for a thread.
pub const TICK_MS: u64 = 10;
/// If a sync takes longer than this, the node rejects requests, and a leader steps down.
pub const MAX_DISK_SYNC_MS: u64 = 1_000;
/// A leader writes at least this often, to notice a disk that has failed.
pub const DISK_PROBE_INTERVAL_MS: u64 = 500;
/// Maximum number of entries in one append message.
pub const MAX_APPEND_ENTRIES: usize = 512;
/// No further entries are added to an append message of this size.
pub const MAX_APPEND_BYTES: usize = 512 * 1024;
/// Size of one snapshot chunk, far below the maximum frame size.
pub const SNAPSHOT_CHUNK_BYTES: usize = 256 * 1024;
/// A snapshot chunk that was not acknowledged is sent again after this time. On a slow link the chunk and its
/// acknowledgement fit into it twice.
pub const SNAPSHOT_CHUNK_RETRY_MS: u64 = 300;
/// Upper bound of the retry interval of one chunk: at 110 kB/s the chunk still arrives before it is sent again.
pub const MAX_SNAPSHOT_CHUNK_RETRY_MS: u64 = 8 * SNAPSHOT_CHUNK_RETRY_MS;
/// Maximum number of proposals that a leader holds uncommitted before it answers busy.
pub const MAX_PENDING_PROPOSALS: u64 = 4_096;
/// Maximum number of linearizable reads that wait for one confirmation round.
pub const MAX_PENDING_READS: usize = 8_192;
/// Maximum number of entries that a learner may be behind when it is promoted to a voter.
pub const MAX_PROMOTION_LAG: u64 = 64;
/// Maximum number of peer addresses that are stored as the peers reported them, far more than a group has members.
pub const MAX_PEER_ADDRESSES: usize = 64;
/// A snapshot is taken each time this many entries were applied, if they are as large as the last snapshot.
/// Snapshots then write no more than the log itself.
pub const SNAPSHOT_INTERVAL_ENTRIES: u64 = 4_096;
/// A snapshot is taken after this many applied entries in any case, because a restart applies them again.
pub const MAX_SNAPSHOT_INTERVAL_ENTRIES: u64 = 16 * SNAPSHOT_INTERVAL_ENTRIES;
/// A snapshot is taken after this many bytes of entries in any case, because they stay in memory until then.
pub const SNAPSHOT_LOG_BYTES: usize = 16 * 1024 * 1024;
/// Lower bound of `SNAPSHOT_LOG_BYTES` on small machines, because a snapshot writes the whole state.
pub const MIN_SNAPSHOT_LOG_BYTES: usize = 1024 * 1024;
/// Factor by which the log may exceed its limit while a snapshot is being sent to a member. Taking the next
/// snapshot would restart that member's transfer.
pub const LOG_GROWTH_WHILE_SENDING: usize = 2;
/// Smallest machine memory that a store or controller accepts in its settings. The process alone takes 13.4 MB.
pub const MIN_MEMORY_MB: u64 = 56;
/// Smallest disk that a store accepts in its settings. Log, index and free pages take some 40 MB.
pub const MIN_DISK_MB: u64 = 100;
/// Memory of the process beside the parts that have limits: code, threads and connections.
pub const PROCESS_OVERHEAD_BYTES: usize = 14_000_000;
/// Largest machine memory accepted in the settings, one terabyte.
pub const MAX_MEMORY_MB: u64 = 1_000_000;
/// Share of a machine's memory for a group's replicated state: a store's index, accounts and jobs; texts are on
/// disk. With the shares below, the sum is 0.8 of the smallest machine.
pub const STATE_MEMORY_SHARE: f64 = 0.22;
/// Size of an encoded snapshot as a share of the state's size in memory.
pub const SNAPSHOT_TO_STATE_RATIO: f64 = 0.45;
/// Share of a machine's memory for the log entries between two snapshots, twice that while a snapshot is being
/// sent.
pub const LOG_MEMORY_SHARE: f64 = 0.07;
/// Share of a machine's memory for the database's page cache.
pub const DISK_CACHE_MEMORY_SHARE: f64 = 0.04;
/// Lower bound of the page cache: some ten pages of each table and one snapshot chunk.
pub const MIN_DISK_CACHE_BYTES: usize = 1024 * 1024;
/// Memory of one account in a store, with its place in the expiry queue. This constant and the others of its kind
/// are what the allocator held for one item: `examples/state_memory.rs` with 10,000 items.
pub const STATE_ACCOUNT_BYTES: usize = 174;
/// Memory of one recently settled turn.
pub const STATE_SETTLED_BYTES: usize = 80;
/// Memory of a reservation's place in the queue of due reservations.
pub const STATE_RESERVATION_BYTES: usize = 63;
/// Memory of a stored turn's index entry, with its place in the expiry queue.
pub const STATE_TURN_BYTES: usize = 164;
/// Memory of a server's name in the table, beside its text.
pub const STATE_SERVER_BYTES: usize = 30;
/// Memory of a job beside its texts.
pub const STATE_JOB_BYTES: usize = 300;
/// Memory of the id of an open job, beside its text.
pub const STATE_OPEN_JOB_BYTES: usize = 35;
/// Memory of a program beside its texts.
pub const STATE_PROGRAM_BYTES: usize = 250;
/// Memory of a job's or program's place in the queue of due items, beside its name.
pub const STATE_DUE_BYTES: usize = 40;
/// Factor on the state's limit for turns that store no text, so that they continue while turns that store text are
/// refused.
pub const UNRETAINED_TURN_STATE_FACTOR: f64 = 1.1;

/// Shares of a class's limit on the state between which first turns are admitted at a falling rate. The part above
/// the upper share is reserved for programs that are in progress.
pub const FIRST_TURN_SLOPE: (f64, f64) = (0.85, 0.97);
/// Distance from the top of FIRST_TURN_SLOPE, as a share of its width, at which as many programs are admitted as leave:
/// its middle.
pub const ADMISSION_SLOPE_MIDPOINT: f64 = 0.5;
/// Distance from the top of that slope, as a share of its width, below which nothing is admitted, because one turn
/// would cost too much accumulated capacity.
pub const MIN_ADMISSION_SLOPE: f64 = 0.05;
/// Period over which the capacity freed by expiry is averaged: many ticks of a store's clock, and less than the
/// shortest retention.
pub const ADMISSION_AVERAGING_MS: u64 = 5_000;
/// Shortest period that yields a rate: several ticks of a store's clock.
pub const MIN_ADMISSION_SAMPLE_MS: u64 = 2_000;
/// Assumed time in which a store's programs leave it while no expiry has been observed yet.
pub const DEFAULT_TURNOVER_MS: u64 = 120_000;
/// Upper bound of that time, whatever was measured: the longest retention of an account.
pub const MAX_TURNOVER_MS: u64 = 600_000;
/// Amount of unused capacity that may be admitted at once, as time at the current rate: the interval between two
/// ticks of the store's clock.
pub const ADMISSION_BURST_MS: u64 = 250;
/// Clients refused within this period are assumed to return together.
pub const ADMISSION_BACKLOG_MS: u64 = 1_000;
/// How often a refused request is planned: when it arrives, and again once the leader is confirmed.
pub const PLANS_PER_REFUSAL: f64 = 2.0;
/// Shortest time for which an edge refuses on its own after a store's refusal: a few round trips.
pub const MIN_LOCAL_REFUSAL_MS: u64 = 20;
/// Longest time for which an edge refuses on its own. After it the store is asked again, whatever it answered.
pub const MAX_LOCAL_REFUSAL_MS: u64 = 500;
/// Shortest delay that a refused client is asked to wait.
pub const MIN_RETRY_AFTER_MS: u64 = PROXY_RETRY_AFTER_MS;
/// Longest delay that a refused client is asked to wait. A client that is still there after it deserves another
/// attempt.
pub const MAX_RETRY_AFTER_MS: u64 = 2_000;
/// At most the delay divided by this is added to it at random.
pub const RETRY_AFTER_JITTER_DIVISOR: u64 = 2;
/// Maximum number of programs that an edge remembers to have served a turn of: several minutes' worth.
pub const MAX_SERVED_PROGRAMS: usize = 4_096;
/// A store group that has answered an edge within this time is assumed to have a leader.
pub const STORE_ANSWERED_MS: u64 = 200;

/// Interval at which an edge renews its lease.
pub const LEASE_RENEW_INTERVAL_MS: u64 = 300;
/// Timeout of one renewal attempt. Three attempts fit into a lease.
pub const LEASE_RENEW_TIMEOUT_MS: u64 = 400;
/// Duration of a lease, from the moment its renewal was sent.
pub const LEASE_MS: u64 = 1_500;
/// Subtracted from the lease at the edge and added at the controller. Clocks drift far less than this.
pub const CLOCK_DRIFT_MS: u64 = 50;
/// An edge's rate for a cold server counts for this long beyond its lease. The rate that such a server sustains is
/// per second, and the lease's last second may have begun just before its end.
pub const COLD_ALLOWANCE_GRACE_MS: u64 = 1_000;
/// Jobs per second for each edge that may send to a cold server, where there are too many edges to give one to
/// each.
pub const MIN_COLD_RATE_PER_EDGE: u32 = 2;
/// Maximum age of the server list that a directory returns.
pub const MAX_DIRECTORY_LAG_MS: u64 = 1_000;
/// Interval at which the slots of all servers are divided among the edges. Many renewals share one division.
pub const SLOT_DIVISION_INTERVAL_MS: u64 = 100;
/// For each so many pairs of edge and server, the division runs one interval later: at 15 ns a pair, this is 3 % of
/// a CPU core.
pub const SLOT_DIVISION_PAIRS: usize = 200_000;
/// A member that has been silent for this long is considered dead if a replacement is available.
pub const REPAIR_SILENCE_MS: u64 = 15_000;
/// Number of voters to which the control group grows automatically. More would only slow its commits.
pub const TARGET_CORE_VOTERS: usize = 5;
/// A dead controller is removed automatically only while this many others are alive.
pub const MIN_CORE_VOTERS: usize = 3;
/// Number of members of every store group.
pub const STORE_REPLICAS: usize = 3;
/// Interval between the steps of a repair. Each step is one committed change, and a whole repair takes a few of
/// them.
pub const REPAIR_STEP_MS: u64 = 100;
/// Interval at which a store or a joining controller reports to the control group.
pub const CHECK_IN_INTERVAL_MS: u64 = 500;
/// Interval at which a store group's leader reports while the control group needs its open jobs.
pub const OPEN_JOBS_REPORT_MS: u64 = 100;
/// Timeout of connecting to a backend, so that work cannot start long after its lease check.
pub const CONNECT_TIMEOUT_MS: u64 = 500;

/// How long after its request an intent may still be sent.
pub const DISPATCH_WINDOW_MS: u64 = 1_000;
/// How long a store call is retried before the job is `unavailable`.
pub const STORE_TIMEOUT_MS: u64 = 3_000;
/// Timeout of one attempt of a call to a peer process.
pub const RPC_TIMEOUT_MS: u64 = 800;
/// Maximum run time of one job whose route sets none.
pub const DEFAULT_RUN_MS: u64 = 120_000;
/// Interval at which a store leader commits its clock while nothing else does.
pub const CLOCK_COMMIT_INTERVAL_MS: u64 = 500;
/// Size of a digest that replaces a name in a store's state. Among a thousand million names at once, two collide
/// with a probability of one in 10^20.
pub const ID_DIGEST_BYTES: usize = 16;
/// A program's account is retained at least this long after its last use, however short its route's retention:
/// longer than a pause between two turns, which a tool's time limits.
pub const MIN_ACCOUNT_RETENTION_MS: u64 = 60_000;
/// Retention of an account if the edge does not send the route's retention: that of the previous version.
pub const DEFAULT_ACCOUNT_RETENTION_MS: u64 = 600_000;
/// A settled turn gets no reservation for this long. Edges retry for at most `MAX_RESERVE_TIMEOUT_MS`, and a copy of
/// their request is delayed by what a network or a stalled process holds back, which is many times shorter.
pub const SETTLED_TURN_RETENTION_MS: u64 = 30_000;
/// Maximum number of sessions for which an account remembers the last server: more than a program's concurrent
/// sequences of turns.
pub const MAX_SESSIONS_PER_ACCOUNT: usize = 64;
/// Maximum number of accounts. Beyond it a new program is asked to retry later, so that memory stays bounded.
pub const MAX_ACCOUNTS: usize = 100_000;
/// Limit on the state of a store group on a machine whose memory is not configured.
pub const DEFAULT_STATE_BYTES: usize = 64 * 1024 * 1024;
/// Share of a machine's disk for texts, including those that are no longer referenced but share a segment with
/// others. The rest is for the log, the index and the database's free pages.
pub const TEXT_DISK_SHARE: f64 = 0.6;
/// Limit on texts on a machine whose disk is not configured.
pub const DEFAULT_TEXT_DISK_BYTES: u64 = 1024 * 1024 * 1024;
/// A segment of texts is closed once it has this size. Small, so that the segments of a minute are many and little
/// unreferenced text stays on disk; large, so that a second adds no more than a few.
pub const SEGMENT_BYTES: u32 = 1024 * 1024;
/// Share of a machine's memory for the newest texts.
pub const TEXT_CACHE_MEMORY_SHARE: f64 = 0.04;
/// Upper bound of that cache. Turns that are continued are continued within seconds.
pub const MAX_TEXT_CACHE_BYTES: usize = 32 * 1024 * 1024;
/// Maximum number of reads of chains that wait for the disk. Beyond it a turn is asked to retry later.
pub const MAX_PENDING_TEXT_READS: usize = 1_024;
/// A text that this member's disk has lost is requested again after this time: longer than an answer takes between
/// members that keep up with their heartbeats, and shorter than a client waits before it retries.
pub const TEXT_REQUEST_RETRY_MS: u64 = HEARTBEAT_MS * 4;
/// Maximum number of concurrent requests for lost texts. Each answer is looked up among all stored turns on the
/// replica's thread, which so few do not delay. Further texts are requested when they are read again.
pub const MAX_PENDING_TEXT_REQUESTS: usize = 64;
/// Maximum size of the texts of one chain that are sent with the admission of a turn, below the maximum frame size.
pub const MAX_CHAIN_BYTES: u64 = 6 * 1024 * 1024;
/// Number of hash slots over which programs are spread among store groups: many more than there will be groups.
pub const STORE_SLOTS: u64 = 256;

/// Interval at which an edge checks its queues for jobs that cannot meet their deadline.
pub const QUEUE_CHECK_INTERVAL_MS: u64 = 25;
/// Maximum number of jobs that wait in one group's queue at one edge.
pub const MAX_QUEUED_JOBS: usize = 2_000;
/// How long a slot or a server is ejected after it failed, before one job probes it.
pub const EJECTION_MS: u64 = 2_000;
/// Jobs in flight for one group at a newly started edge, before anything was measured.
pub const INITIAL_CONCURRENCY_LIMIT: f64 = 4.0;
/// Factor on that limit when latency exceeds its target.
pub const CONCURRENCY_LIMIT_BACKOFF: f64 = 0.8;
/// Interval at which the limit is adjusted.
pub const LIMIT_ADJUST_INTERVAL_MS: u64 = 1_000;
/// A job that has waited this multiple of its target wait is refused, because its group is overloaded.
pub const MAX_WAIT_FACTOR: u64 = 15;
/// No job is refused for overload before it has waited this long.
pub const MIN_OVERLOAD_WAIT_MS: u64 = 5_000;
/// Number of consecutive failures after which a server is ejected.
pub const EJECTION_FAILURES: u32 = 3;
/// Number of slots, over the whole fleet, with which a new or cold server starts.
pub const WARMUP_START_SLOTS: u64 = 2;

/// Length of one measurement window.
pub const MEASUREMENT_WINDOW_MS: u64 = 5_000;
/// Number of windows that every edge retains and sends again to a new leader.
pub const MAX_WINDOWS: usize = 24;
/// Interval at which the scaler runs.
pub const SCALER_INTERVAL_MS: u64 = 15_000;

/// Maximum size of a frame between processes.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;
/// Maximum size of a client's request body.
pub const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Maximum size of an operator's request body: a config of some ten thousand routes.
pub const MAX_OPERATOR_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Maximum number of messages that wait to be written to one peer. Beyond it they are dropped, as a network would
/// drop them.
pub const MAX_OUTBOX_MESSAGES: usize = 4_096;
/// A write to a peer that takes longer closes the connection.
pub const WRITE_TIMEOUT_MS: u64 = 2_000;
/// A stopping process ends only after no answer was sent for this long.
pub const SHUTDOWN_QUIET_MS: u64 = 200;
/// An idle connection of a client is retained for this long.
pub const KEEP_ALIVE_MS: u64 = 15_000;
/// A request's head and body must have arrived within this time.
pub const REQUEST_READ_TIMEOUT_MS: u64 = 10_000;
/// Maximum number of connections to a server that states no limit of its own.
pub const MAX_POOLED_CONNECTIONS: usize = 1_024;
/// Delay between attempts at a peer that knows no leader.
pub const LEADER_RETRY_MS: u64 = 50;
/// Longest delay between such attempts. A group without a leader is asked at most five times a second by each
/// client, and a new leader is found at most a fifth of a second late.
pub const MAX_LEADER_RETRY_MS: u64 = 4 * LEADER_RETRY_MS;
/// Number of times the delay is doubled until then.
pub const LEADER_RETRY_DOUBLINGS: u32 = 2;
/// Time for one attempt of a search for the leader and the delay after it. Then the right to search passes to the
/// next that asks. Longer than the longest delay, so that members that answer are not asked more often because of
/// it.
pub const LEADER_SEARCH_TRY_MS: u64 = MAX_LEADER_RETRY_MS + LEADER_RETRY_MS;
/// Subtracted from a run's time for settling it.
pub const SETTLE_MARGIN_MS: u64 = 250;
/// Maximum number of attempts at a repeatable job, the first one included.
pub const MAX_ATTEMPTS: u32 = 3;
/// Retries allowed for each job that arrived, so that retries cannot double an overload.
pub const RETRY_BUDGET_SHARE: f64 = 0.1;
/// Maximum number of retries that can accumulate.
pub const MAX_RETRY_BUDGET: f64 = 20.0;
/// Number of pieces of a turn that are read ahead of a slow client. Then the backend is throttled.
pub const READ_AHEAD_CHUNKS: usize = 16;
/// Interval of the probes of a backend: its load, and whether it is still the same process. Shorter than a restart
/// takes.
pub const PROBE_INTERVAL_MS: u64 = 500;
/// Interval of the probes of a backend that became unreachable or was never seen.
pub const PROBE_SOON_MS: u64 = 100;
/// Timeout of one probe.
pub const PROBE_TIMEOUT_MS: u64 = 400;
/// A server that is reachable again stays closed for this long, unless the fleet agrees that it is cold: two
/// renewals.
pub const RETURNED_SERVER_HOLD_MS: u64 = 700;
/// Interval at which an edge samples its own queues.
pub const QUEUE_SAMPLE_INTERVAL_MS: u64 = 250;
/// How long an operator's request is retried before it is answered that no leader could be reached.
pub const OPERATOR_TIMEOUT_MS: u64 = 5_000;
/// Number of threads that serve HTTP in one process.
pub const HTTP_WORKERS: usize = 4;
/// Delay after which a client is advised to retry.
pub const RETRY_AFTER_MS: u64 = 1_000;
/// Interval of the early renewals of an edge whose jobs wait without a slot.
pub const EARLY_RENEW_INTERVAL_MS: u64 = 100;
/// Interval at which the backend of a job that was sent, and whose answer was lost, is asked for the stored result.
pub const LOOKUP_INTERVAL_MS: u64 = 500;
/// How long the end of a run is offered to its store: longer than a store is usually unavailable, as long as an
/// operator needs to bring one back. The store decides whether its intent is still valid.
pub const SETTLE_TIMEOUT_MS: u64 = 600_000;
/// Maximum number of attempts to place again a job that was certainly never sent. More would only cycle through a
/// fleet that is down.
pub const MAX_UNSENT_TRIES: u32 = 6;
/// Maximum number of times that a backend is asked for the stored result of a job that was sent and whose answer was
/// lost, LOOKUP_INTERVAL_MS apart.
pub const MAX_LOOKUPS: u32 = 3;
/// Interval of the attempts at a data folder that accepts no writes.
pub const DISK_RETRY_MS: u64 = 200;
/// Interval of the log lines about such a folder, which may stay full for minutes.
pub const DISK_LOG_INTERVAL_MS: u64 = 5_000;
/// Memory that redb uses to cache its file. A log is written and hardly read, and the smallest machines have 48 MB
/// for everything. redb's own default is a gigabyte.
pub const DISK_CACHE_BYTES: usize = 4 * 1024 * 1024;
/// Size of a snapshot chunk stored as one value on disk. redb gives each value a page of the next power of two, and
/// buffers what it writes in memory until the page is full.
pub const DISK_CHUNK_BYTES: usize = 250 * 1024;
/// Maximum number of inputs that a replica processes before it reads the clock again.
pub const MAX_REPLICA_BATCH: usize = 256;
/// Maximum number of calls whose answers one process waits for at once.
pub const MAX_PENDING_CALLS: usize = 16_384;
/// Maximum number of inputs that wait for one replica's thread.
pub const MAX_INBOX_INPUTS: usize = 16_384;
/// One day, the longest time that an operator may configure.
pub const DAY_MS: u64 = 86_400_000;
/// How long a controller or store process runs after SIGTERM to transfer leadership; likewise an edge that has no
/// config.
pub const STOP_TIMEOUT_MS: u64 = 30_000;
/// The HTTP library's own limit on a graceful stop. The daemon's limit is reached first.
pub const HTTP_STOP_TIMEOUT_MS: u64 = 2 * DAY_MS;
/// Interval of the log lines about work in progress while a process stops.
pub const STOP_LOG_INTERVAL_MS: u64 = 5_000;
/// A removed group's placements are retained for this long after nothing waits for it, because a job accepted
/// before the change may still be calling its store.
pub const REMOVED_GROUP_RETENTION_MS: u64 = STORE_TIMEOUT_MS + 2_000;
/// Number of operator config revisions that stay readable at the controllers.
pub const MAX_RETAINED_CONFIGS: usize = 64;
/// Number of the scaler's last decisions that stay readable.
pub const MAX_RETAINED_DECISIONS: usize = 64;
/// Maximum number of machine names that are retained, with the id of each of their incarnations: far more than a
/// fleet has machines.
pub const MAX_RETAINED_NAMES: usize = 1_024;
/// Number of accepted configurations that are remembered, to recognize them when they are submitted again: a year
/// and a half at 120 a day, in some 2 MB of the snapshot.
pub const MAX_ACCEPTED_CONFIGS: usize = 65_536;
/// An operator's command is proposed no later than this after its number was read.
pub const COMMAND_LIFETIME_MS: u64 = OPERATOR_TIMEOUT_MS;
/// How long a command may wait until its fence is read. With `STALL_THRESHOLD_MS` this is less than the second
/// after which a client tries another member, so that what it submits there comes later.
pub const FENCE_TIMEOUT_MS: u64 = 600;
/// Timeout of one attempt to read the fence.
pub const FENCE_TRY_TIMEOUT_MS: u64 = 250;
/// A process whose timer is late by more than this has stalled.
pub const STALL_THRESHOLD_MS: u64 = 300;
/// Interval of that timer.
pub const STALL_TIMER_MS: u64 = 50;
/// Time after a stall within which all input that queued up meanwhile has been read.
pub const STALL_RECOVERY_MS: u64 = 200;
/// Maximum number of zones that are remembered, including those whose machines are gone: far more than a fleet has.
pub const MAX_ZONES: usize = 1_024;
/// Maximum number of subjects (zones and servers) whose last command is remembered: more than a fleet has.
pub const MAX_SUBJECTS: usize = 16_384;
/// Maximum number of remembered refused changes that name a version which does not exist yet. Further ones get no
/// definite answer.
pub const MAX_REFUSED_CONFIGS: usize = 256;
/// Number of events that are retained for edges that are a little behind. Older edges get a full snapshot.
pub const MAX_FEED_EVENTS: usize = 2_048;
/// Timeout of connecting to a server of proxied requests: a few round trips. A dead server does not answer at all.
pub const PROXY_CONNECT_TIMEOUT_MS: u64 = 250;
/// How long an idle connection to a server is reused if the server announces no keep-alive time.
pub const PROXY_KEEP_ALIVE_MS: u64 = 800;
/// Subtracted from the keep-alive time that a server announces.
pub const PROXY_KEEP_ALIVE_MARGIN_MS: u64 = 400;
/// Longest time for which an idle connection is reused, whatever the server announces.
pub const MAX_PROXY_KEEP_ALIVE_MS: u64 = 10_000;
/// Maximum number of interim answers, and of surplus answers to other requests, that are skipped to find a request's
/// own answer.
pub const MAX_SKIPPED_ANSWERS: usize = 3;
/// Size of one read of an answer that ends with its connection.
pub const READ_BUFFER_BYTES: usize = 16 * 1024;
/// A job that may run only once uses only an idle connection that was used within this time. Servers close
/// connections that have been idle longer, and a request written into a connection that is being closed may have
/// run.
pub const MAX_ONCE_ONLY_IDLE_MS: u64 = 500;
/// Interval at which a request that waits for the lease checks it.
pub const LEASE_POLL_MS: u64 = 10;
/// Interval at which a job without a server tries again to find one.
pub const PLACEMENT_POLL_MS: u64 = 10;
/// A server that failed a job is avoided for this long, doubling, by jobs that have an alternative.
pub const AVOID_AFTER_FAILURE_MS: u64 = 250;
/// Longest time for which such a server is avoided before it is tried again.
pub const MAX_AVOID_AFTER_FAILURE_MS: u64 = 4_000;
/// Maximum number of prompt parts that are remembered for each server as cached there. The oldest are evicted.
pub const MAX_PROMPT_PARTS: usize = 4_096;
/// Assumed speed at which a server reads a prompt, in tokens per millisecond, until it has been measured: that of a
/// large model on one accelerator.
pub const PRIOR_READ_TOKENS_PER_MS: f64 = 35.0;
/// Assumed cost of each job that is already on a server for the next job there.
pub const JOB_COST_MS: f64 = 4.0;
/// Maximum random difference between servers that are equal to an edge, so that edges do not all choose the same
/// one.
pub const SERVER_CHOICE_JITTER_MS: f64 = 8.0;
/// Assumed extra cost of a server whose slots are all in use, before any job waits there.
pub const FILLED_SLOTS_COST_MS: f64 = 4.0;
/// Assumed cost of each consecutive failure for a request that may be repeated.
pub const FAILURE_COST_MS: f64 = 10.0;
/// Assumed cost of each consecutive failure for a request that may not be repeated.
pub const FAILURE_COST_ONCE_MS: f64 = 40.0;
/// Maximum number of consecutive failures that are counted at this cost.
pub const MAX_COUNTED_FAILURES: u32 = 8;
/// How long a load that a server reported is valid.
pub const REPORTED_LOAD_MS: u64 = 400;
/// Share of its slots that one edge may fill by its own count before it considers a server full.
pub const FULL_SERVER_SLOT_SHARE: f64 = 1.5;
/// Delay after which a refused request may be retried: a few probes of the fleet.
pub const PROXY_RETRY_AFTER_MS: u64 = 200;
/// Longest time for which a request waits for a lease that is being renewed.
pub const MAX_LEASE_WAIT_MS: u64 = 400;
/// A request waits for the lease no longer than its route's target latency divided by this.
pub const LEASE_WAIT_DIVISOR: u64 = 4;
/// A turn waits for a store group that answers nobody for its route's target latency divided by this. Longer would
/// only delay the answer that the client should retry.
pub const RESERVE_SILENT_DIVISOR: u64 = 4;
/// A turn waits for a store group that answers others for its route's target latency divided by this, because it
/// may still be in time.
pub const RESERVE_RESPONSIVE_DIVISOR: u64 = 2;
/// Lower bound of both waits: a round trip and a sync.
pub const MIN_RESERVE_TIMEOUT_MS: u64 = 50;
/// Upper bound of both waits: an election.
pub const MAX_RESERVE_TIMEOUT_MS: u64 = 1_500;
/// Delay after which a turn whose store group could not be reached may be retried: the time of an election.
pub const RESERVE_RETRY_AFTER_MS: u64 = ELECTION_TIMEOUT_MS + ELECTION_JITTER_MS;
/// How long the end of a turn whose text is stored is offered to the store while its client waits for the last
/// byte.
pub const RETAINED_TURN_END_TIMEOUT_MS: u64 = 2_500;
/// How long the end of any other turn is offered. Afterwards its reservation ends it.
pub const TURN_END_TIMEOUT_MS: u64 = 10_000;
/// Interval at which idle connections to servers are checked.
pub const POOL_CLEANUP_INTERVAL_MS: u64 = 500;
/// Maximum size of the body of a proxied request.
pub const MAX_PROXY_BODY_BYTES: usize = 4 * 1024 * 1024;
/// How long an idle connection of a client of proxied requests is retained: longer than the known clients retain
/// theirs, so that the edge is not the side that closes it.
pub const PROXY_CLIENT_IDLE_MS: u64 = 30_000;
/// Interval at which a directory of servers is polled: well below the bound on leaving servers.
pub const DIRECTORY_POLL_MS: u64 = 700;
/// Timeout of one page of the directory.
pub const DIRECTORY_TIMEOUT_MS: u64 = 1_000;
/// A connection is closed if a peer's machine has not acknowledged sent bytes for this long: many round trips, and
/// less than an election should have to wait for.
pub const TCP_USER_TIMEOUT_MS: u64 = 800;

/// Interval at which a daemon checks its refusals and overdue recovery phases, so that at most one log line a
/// second reports them.
pub const OBSERVE_INTERVAL_MS: u64 = 1_000;
/// Maximum number of records a second for requests on routes that no configuration has, because anybody can send
/// those.
pub const MAX_UNKNOWN_ROUTE_LOGS: u32 = 5;
/// Window of that limit.
pub const LOG_LIMIT_WINDOW_MS: u64 = 1_000;
/// Interval at which a recovering replica is checked: short compared with the bounds of the phases.
pub const RECOVERY_POLL_MS: u64 = 25;
/// Bound on opening the data folder: a few reads and a lock, with a slow disk.
pub const FOLDER_OPENED_BOUND_MS: u64 = 1_000;
/// Bound on reading snapshot and log: the 26 MB that the smallest store may hold, at 13 MB/s.
pub const SNAPSHOT_READ_BOUND_MS: u64 = 2_000;
/// Bound on the time until a group has a leader, from the replica's start: two split elections and a third.
pub const LEADER_KNOWN_BOUND_MS: u64 = 3 * (ELECTION_TIMEOUT_MS + ELECTION_JITTER_MS);
/// Bound on applying the log from before the start, which cannot end before there is a leader.
pub const LOG_REPLAYED_BOUND_MS: u64 = LEADER_KNOWN_BOUND_MS + 1_000;
/// Bound on an edge's lease: electing the control group's leader and two rounds of attempts.
pub const LEASE_HELD_BOUND_MS: u64 = LEADER_KNOWN_BOUND_MS + LEASE_MS;
/// Bound on an edge's learning the stores, which arrive with the lease.
pub const STORES_KNOWN_BOUND_MS: u64 = LEASE_HELD_BOUND_MS;
/// Bound on the first answer of a server, from the edge's first request: all but the turn's own time of the five
/// seconds within which service is to be restored.
pub const SERVER_ANSWERED_BOUND_MS: u64 = 4_000;
/// Bound on the first turn served, from the edge's first request.
pub const TURN_SERVED_BOUND_MS: u64 = 5_000;
/// Share of its limit by which a store's state must have changed before it is logged again without a refusal.
pub const STATE_LOG_STEP: f64 = 1.0 / 16.0;
/// Size of the texts of earlier configurations that stay readable at the controllers, beside the one in force. It
/// is the same on every member, because the texts are part of the replicated state: a tenth of what the smallest
/// controller has for it.
pub const MAX_CONFIG_TEXTS_BYTES: usize = 2 * 1024 * 1024;
/// Size of the events that are retained for edges that are a little behind, if the machine's memory is not
/// configured.
pub const DEFAULT_FEED_BYTES: usize = 8 * 1024 * 1024;
/// Share of the state's part of a controller's memory for these events.
pub const FEED_STATE_SHARE: f64 = 0.125;
/// Memory of an event as a multiple of its encoding. Tables of short names cost most.
pub const EVENT_MEMORY_FACTOR: usize = 5;
/// Names of groups that are in no configuration any more are forgotten beyond this total number of groups.
pub const MAX_GROUP_NAMES: usize = 1_024;
/// Maximum number of ids of removed machines that are remembered, so that none of them is admitted again. The
/// oldest are dropped.
pub const MAX_RETIRED_NODES: usize = 16_384;
/// A store machine that belongs to no group and has been silent for this long is forgotten by the control group's
/// leader: far longer than any repair waits.
pub const NODE_RETENTION_MS: u64 = 600_000;
/// Maximum number of machines whose zones the control group's leader stores as they reported them. Beyond it, only
/// those of members.
pub const MAX_CORE_ZONES: usize = 1_024;
/// Maximum number of servers that are listed at once. Further ones are refused. A fleet of the planned size has
/// 10,000.
pub const MAX_SERVERS: usize = 16_384;
/// Maximum number of group counts in the scaler's samples, over all of them: some 8 MB. The oldest samples are
/// dropped.
pub const MAX_SAMPLE_COUNTS: usize = 65_536;
/// Bytes in a megabyte, as used for machines' memory.
pub const MEGABYTE_BYTES: u64 = 1_000_000;
/// Smallest machine memory that an edge accepts in its settings. Below it the process alone leaves too little.
pub const MIN_EDGE_MEMORY_MB: u64 = 40;
/// Share of an edge machine's memory for its copy of the replicated state, and the next copy while it is built.
pub const EDGE_VIEW_MEMORY_SHARE: f64 = 0.10;
/// Share of an edge machine's memory for requests in progress.
pub const REQUESTS_MEMORY_SHARE: f64 = 0.25;
/// Limit on requests in progress if the machine's memory is not configured.
pub const DEFAULT_REQUESTS_BYTES: usize = 1024 * 1024 * 1024;
/// Lower bound of that limit: one of the largest requests and some small ones beside it.
pub const MIN_REQUESTS_BYTES: usize = 10_000_000;
/// Memory of a request in progress beside its body and its client's connection: its task, its headers and what is
/// read ahead of a slow client. Jobs that wait for their store took 10 KB.
pub const REQUEST_OVERHEAD_BYTES: usize = 16 * 1024;
/// Share of a byte budget that holders may have together for another one to be let through over the limit.
pub const SMALL_HOLDERS_SHARE: f64 = 0.08;
/// Share of the budget for requests up to which plain answers are collected before their clients get them. Beyond it
/// they are passed on as they arrive.
pub const COLLECTED_ANSWERS_SHARE: f64 = 0.5;
/// Memory of one open connection of a client: its buffers and its task.
pub const CONNECTION_BYTES: usize = 20 * 1024;
/// Size of the pieces in which the body of an answer is handed to its connection.
pub const WRITE_PIECE_BYTES: usize = 8 * 1024;
/// A connection takes no further piece while it buffers this much.
pub const WRITE_BUFFER_BYTES: usize = 4 * 1024;
/// Size of the pieces in which the body of a request is written to its server.
pub const REQUEST_PIECE_BYTES: usize = 64 * 1024;
/// Number of empty lines in a body after which its connection handles what it has read: behind the body's end each of
/// them could end a head, and the decoded head of a request takes 7 KB.
pub const MAX_EMPTY_LINES_READ: usize = 16;
/// What a connection reads before it handles what it has read. Of chunks of one byte, a sixth of it are bodies, each
/// with some 32 bytes of bookkeeping.
pub const MAX_READ_BURST_BYTES: usize = 8 * 1024;
/// Maximum size of one read of a connection, and of what it reads ahead of the request that is being answered.
pub const MAX_READ_BYTES: usize = 8 * 1024;
/// What the HTTP library buffers of a head at most.
pub const MAX_HEAD_BUFFER_BYTES: usize = 128 * 1024;
/// Part of a head that is covered by its connection's memory.
pub const FREE_HEAD_BYTES: usize = 8 * 1024;
/// Memory of a request's headers as a multiple of their length: as received, as read and as sent.
pub const HEAD_COPIES: usize = 3;
/// Parts of a stream that wait for a slow client, in bytes. Then the server is held back.
pub const STREAM_BUFFER_BYTES: usize = 64 * 1024;
/// Part of this that is covered by its request's memory.
pub const FREE_STREAM_BUFFER_BYTES: usize = 8 * 1024;
/// Maximum number of connections from other processes that have not shown yet that they belong to the cluster.
pub const MAX_STRANGERS: usize = 64;
/// Part of a frame that each of them may hold without a reservation.
pub const FREE_STRANGER_BYTES: usize = 16 * 1024;
/// Memory for the frames of all of them. A longer frame is let through alone.
pub const MAX_STRANGER_BYTES: usize = 2 * 1024 * 1024;
/// How long such a connection may stay without a complete message.
pub const STRANGER_TIMEOUT_MS: u64 = 10_000;
/// Size of the pieces in which a frame is read. Memory is taken as they arrive, not as the frame announces.
pub const FRAME_PIECE_BYTES: usize = 16 * 1024;
/// Time limit for each piece of a frame that has begun: at 110 kB/s it takes a fifth of a second.
pub const FRAME_PIECE_TIMEOUT_MS: u64 = 10_000;
/// Blocks of at least this size are returned to the system as soon as they are freed.
pub const ALLOCATOR_MMAP_THRESHOLD_BYTES: i32 = 256 * 1024;
/// Free pages are returned to the system once this much reserved memory was released, at most so often.
pub const TRIM_RELEASED_BYTES: usize = 4_000_000;
pub const TRIM_INTERVAL_MS: u64 = 5_000;
/// Free memory at the end of the heap is returned to the system beyond this size.
pub const ALLOCATOR_TRIM_THRESHOLD_BYTES: i32 = 512 * 1024;
/// Number of copies of a retained turn's answer in memory while its end is committed: in its record, in the request to
/// its store, and at this edge.
pub const RETAINED_TEXT_COPIES: usize = 3;
/// How long a client may take for an answer beyond its request's deadline.
pub const ANSWER_GRACE_MS: u64 = 5_000;
/// Period over which the rate of a client that holds up its answer is measured.
pub const WRITE_RATE_WINDOW_MS: u64 = 30_000;
/// What a client must take in that period at least.
pub const MIN_WRITE_WINDOW_BYTES: u64 = 16 * 1024;
/// Maximum number of bytes that the operating system holds unsent for one connection of a client.
pub const MAX_UNSENT_BYTES: u32 = 64 * 1024;
/// Interval of the checks for connections whose time is over.
pub const CONNECTION_CHECK_INTERVAL_MS: u64 = 500;
/// How long something waits for memory that closing connections will release.
pub const MEMORY_WAIT_MS: u64 = 100;
/// Interval of the attempts meanwhile.
pub const MEMORY_POLL_MS: u64 = 5;
/// Maximum number of header bytes of a request, unless the configuration sets one.
pub const DEFAULT_MAX_HEADER_BYTES: u32 = 128 * 1024;
/// Memory of an operator's request and its response, beside the configuration's text.
pub const OPERATOR_RESPONSE_BYTES: usize = 64 * 1024;
/// Number of copies of the configuration's text while a member answers with it: as encoded, received, decoded and read.
pub const CONFIG_TEXT_COPIES: usize = 4;
/// A body of which nothing has arrived for this long may be given up in favour of other requests.
pub const STALLED_BODY_MS: u64 = 2_000;
/// Share of a store's or controller's memory for requests at its HTTP API.
pub const API_MEMORY_SHARE: f64 = 0.12;
/// Lower bound of that limit: the largest body of an operator and some small ones beside it.
pub const MIN_API_BYTES: usize = 6_000_000;
/// Limit on requests at the HTTP API if the machine's memory is not configured.
pub const DEFAULT_API_BYTES: usize = 64 * 1024 * 1024;
/// Smallest number of descriptors that a process accepts in its settings.
pub const MIN_DESCRIPTORS: u64 = 128;
/// Descriptors that are kept for the fleet's own connections and files.
pub const MIN_KEPT_DESCRIPTORS: u64 = 96;
/// Share of the descriptors that are kept for them, where that is more.
pub const KEPT_DESCRIPTORS_SHARE: f64 = 0.125;
/// Share of the other descriptors for connections of clients; the rest is for connections to servers.
pub const CLIENT_DESCRIPTORS_SHARE: f64 = 0.6;
/// Number of descriptors that is assumed if the system states no limit.
pub const DEFAULT_DESCRIPTORS: u64 = 65_536;
/// Maximum number of parameters in the query of a request.
pub const MAX_QUERY_PARAMETERS: usize = 64;
/// Number of copies of a proxied request's body in memory: as received.
pub const PROXY_BODY_COPIES: usize = 1;
/// Number of copies of the body of a client's job in memory: as bytes, as text, parsed, and in its job. In a
/// measurement they took 4.9 times its size.
pub const CLIENT_BODY_COPIES: usize = 5;
/// Share of an edge machine's memory for the prompt parts that it assumes to be cached at servers.
pub const PROMPT_PARTS_MEMORY_SHARE: f64 = 0.05;
/// Limit on these prompt parts if the machine's memory is not configured.
pub const DEFAULT_PROMPT_PARTS_BYTES: usize = 64 * 1024 * 1024;
/// Memory of one such part in its table, including the table's spare capacity.
pub const PROMPT_PART_BYTES: usize = 40;
/// Minimum number of parts that are remembered for a server, however many servers there are.
pub const MIN_PROMPT_PARTS: usize = 64;
/// Share of an edge machine's memory for the texts of turns that it proxied recently.
pub const TURN_TEXTS_MEMORY_SHARE: f64 = 0.035;
/// Limit on these texts if the machine's memory is not configured.
pub const DEFAULT_TURN_TEXTS_BYTES: usize = 64 * 1024 * 1024;
/// Memory of one such text beside its bytes and names: two table entries with their spare capacity.
pub const TURN_TEXT_OVERHEAD_BYTES: usize = 300;
/// Share of an edge machine's memory for frames that wait to be written to other processes.
pub const RPC_QUEUE_MEMORY_SHARE: f64 = 0.07;
/// Limit on these frames if the machine's memory is not configured.
pub const DEFAULT_RPC_QUEUE_BYTES: usize = 64 * 1024 * 1024;
/// Frames up to this size are limited only by their number, so that heartbeats and renewals pass a queue that is
/// full of texts.
pub const SMALL_FRAME_BYTES: usize = 1024;
/// Maximum number of job classes whose target waits a queue remembers. Beyond it, those that are neither configured
/// nor waited for are dropped.
pub const MAX_WORK_KINDS: usize = 256;
/// Size of the text of one token, estimated generously.
pub const TOKEN_BYTES: usize = 8;

/// Weight of a new latency in the smoothed mean and deviation, which average over some twenty requests.
pub const LATENCY_WEIGHT: f64 = 0.05;
/// Minimum number of samples. Fewer do not show what is usual.
pub const MIN_LATENCY_SAMPLES: u32 = 8;
/// A request that has waited longer than this many deviations above the mean is stalled. Of log-normal work this
/// concerns some 2 in 100.
pub const STALL_DEVIATIONS: f64 = 6.0;
/// No request counts as stalled earlier, because a pause of a process or network is not the server's fault.
pub const MIN_REQUEST_STALL_MS: f64 = 100.0;
/// A repeatable request that has waited longer than this many deviations above the mean is also sent to a second
/// server.
pub const HEDGE_DEVIATIONS: f64 = 4.0;
/// Maximum number of hedged requests that can accumulate, for each service of an edge.
pub const MAX_HEDGE_BUDGET: f64 = 10.0;
/// Maximum number of routes whose latencies an edge remembers, for each service: far more than are busy at once.
pub const MAX_LATENCY_ROUTES: usize = 256;
/// Length of the prompt, in tokens, at the far end of the prior of the read model.
pub const READ_PRIOR_TOKENS: f64 = 4_000.0;
/// Number of requests that each end of that prior counts for.
pub const READ_PRIOR_WEIGHT: f64 = 4.0;
/// Factor on the weight of the past with each new answer: some two hundred answers are remembered.
pub const READ_DECAY: f64 = 0.995;
/// Time constant with which the edges' reports of a server's failures and slowness decay.
pub const EVIDENCE_DECAY_MS: u64 = 3_000;
/// Maximum number of edges whose reports of a server's problems are remembered: enough to tell several edges from
/// one.
pub const MAX_REPORTERS: usize = 4;
/// Minimum number of edges that must report a server within that time, because a single edge may itself be the one
/// with the problem.
pub const MIN_REPORTERS: usize = 2;
/// Minimum number of requests that were lost or stalled at a server before it is suspect.
pub const MIN_LOST_REQUESTS: f64 = 2.0;
/// Minimum share of these among the requests that the server was recently sent.
pub const LOST_REQUEST_SHARE: f64 = 0.2;
/// Minimum number of recently successful requests before a server's slowness is considered.
pub const MIN_SLOWNESS_SAMPLES: f64 = 3.0;
/// A server is slow if it takes more than this multiple of the time of comparable servers, and of the service's
/// median as well.
pub const SUSPECT_SLOWNESS: f64 = 2.5;
/// Waits below this are no sign of a slow server.
pub const SLOWNESS_FLOOR_MS: f64 = 20.0;
/// Maximum multiple that the slowness of one request counts for.
pub const MAX_SLOWNESS: f64 = 20.0;
/// A suspect server is chosen last for this long, doubling each time its trial fails.
pub const SUSPECT_MS: u64 = 2_000;
/// Upper bound of that time.
pub const MAX_SUSPECT_MS: u64 = 16_000;
/// Number of requests that must succeed at a server on trial before it is healthy again.
pub const TRIAL_SUCCESSES: f64 = 3.0;
/// How long an edge's report is valid. The next one arrives with each renewal.
pub const FLEET_REPORT_VALID_MS: u64 = 1_000;
/// How long the fleet's digest of a server's load is valid at an edge.
pub const FLEET_DIGEST_VALID_MS: u64 = 1_000;
/// Average age of that digest when it arrives: half the interval between an edge's reports.
pub const MEAN_FLEET_DIGEST_AGE_MS: u64 = LEASE_RENEW_INTERVAL_MS / 2;
/// An edge that reports more work in progress at a server than this multiple of its slots is not believed.
pub const MAX_LOAD_SLOTS: u32 = 1_000;
