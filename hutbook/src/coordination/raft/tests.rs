use super::*;
use crate::constants::*;
use crate::state::entry::Member;

/// A voter among three whose log ends with an entry of term 2, leading in a later term.
fn leader() -> Raft {
    let m = |id| Member { id, addr: id.to_string() };
    let members = Members { voters: vec![m(1), m(2), m(3)], learners: vec![] };
    let entries = vec![
        Entry { index: 1, term: 1, what: What::Members(members) },
        Entry { index: 2, term: 2, what: What::Command(vec![7]) },
    ];
    let mut r = Raft::new(1, Boot { term: 3, entries, ..Boot::default() }, 1, 0);
    let late = ELECTION_MS + ELECTION_SPREAD_MS;
    r.step(late, RaftInput::Tick);
    r.step(
        late,
        RaftInput::Message { from: 2, msg: RaftMessage::VoteResponse { term: 4, pre_vote: true, granted: true } },
    );
    let marks = r.sync_ticket;
    r.step(
        late,
        RaftInput::Message { from: 2, msg: RaftMessage::VoteResponse { term: 4, pre_vote: false, granted: true } },
    );
    assert_eq!(r.role, Role::Candidate, "its own vote is not on disk yet");
    r.step(late, RaftInput::Synced(marks));
    assert_eq!(r.role, Role::Leader);
    r
}

fn appended(at: u64) -> RaftInput {
    RaftInput::Message { from: 2, msg: RaftMessage::AppendResponse { term: 4, success: true, index: at, round: 0 } }
}

#[test]
fn an_older_entry_is_committed_only_with_one_of_this_term() {
    // given a new leader whose log holds an entry of an older term
    let mut r = leader();
    let (now, sync_ticket) = (ELECTION_MS + ELECTION_SPREAD_MS, r.sync_ticket);
    r.step(now, RaftInput::Synced(sync_ticket));
    // when a quorum has that entry, then it is not committed: a later leader might replace it
    r.step(now, appended(2));
    assert_eq!(r.commit, 0);
    // when a quorum has the leader's own first entry, then both are
    r.step(now, appended(3));
    assert_eq!(r.commit, 3);
}

#[test]
fn a_leader_counts_its_own_entry_only_once_it_is_synced() {
    // given a leader whose disk has not answered for its first entry
    let mut r = leader();
    let now = ELECTION_MS + ELECTION_SPREAD_MS;
    // when one peer has it, then that is no quorum of disks
    r.step(now, appended(3));
    assert_eq!(r.commit, 0);
    let m = r.sync_ticket;
    r.step(now, RaftInput::Synced(m));
    assert_eq!(r.commit, 3);
}

#[test]
fn a_capture_goes_out_one_piece_at_a_time_and_never_to_a_silent_partner() {
    // given a leader whose log begins after what its peers hold, and a flood of proposals
    let mut r = leader();
    let (now, sync_ticket) = (ELECTION_MS + ELECTION_SPREAD_MS, r.sync_ticket);
    r.step(now, RaftInput::Synced(sync_ticket));
    r.step(now, appended(3));
    r.compact(now, 3, vec![0; 3 * SNAPSHOT_CHUNK_BYTES]);
    let sent = |r: &mut Raft, now: u64, i: RaftInput| {
        let o = r.step(now, i);
        o.iter().filter(|o| matches!(o, RaftOutput::Send { to: 3, msg: RaftMessage::SnapshotChunk { .. } })).count()
    };
    let refuses = |r: &mut Raft, now| {
        r.step(
            now,
            RaftInput::Message {
                from: 3,
                msg: RaftMessage::AppendResponse { term: 4, success: false, index: 0, round: 0 },
            },
        )
    };
    refuses(&mut r, now);
    // when the peer has just been heard, then it is sent one piece, not one for each proposal
    let n: usize = (0..50).map(|t| sent(&mut r, now + 1, RaftInput::Propose { ticket: t, bytes: vec![1] })).sum();
    assert!(n <= 1, "{n} pieces");
    let sync_ticket = r.sync_ticket;
    r.step(now + 1, RaftInput::Synced(sync_ticket));
    // when it falls silent, then it is sent none any more, for as long as that lasts
    let quiet = now + ELECTION_MS + SNAPSHOT_CHUNK_RETRY_MS;
    let n: usize = (0..200)
        .map(|t| {
            let (at, sync_ticket) = (quiet + t * 10, r.sync_ticket);
            r.step(at, RaftInput::Synced(sync_ticket));
            r.step(at, appended(3));
            sent(&mut r, at, RaftInput::Tick)
        })
        .sum();
    assert_eq!(n, 0);
    // and once it speaks again it gets the piece
    let at = quiet + 2_000;
    let o = refuses(&mut r, at);
    let o = o.into_iter().chain(r.step(at + HEARTBEAT_MS, RaftInput::Tick));
    assert!(o.filter(|o| matches!(o, RaftOutput::Send { to: 3, msg: RaftMessage::SnapshotChunk { .. } })).count() >= 1);
}
