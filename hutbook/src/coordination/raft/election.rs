//! Leader election: pre-vote, votes, terms, stepping down and leadership transfer.

use super::{Raft, RaftMessage, RaftOutput, RejectReason};
use crate::constants::*;
use crate::state::entry::EntryPayload;
use rand_core::Rng;
use std::collections::BTreeMap;

/// Role of a member in its term.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Role {
    Follower,
    /// Asks whether it would be elected, before it disrupts the group with an election (Raft thesis 9.6).
    PreCandidate,
    Candidate,
    Leader,
}

/// A leadership transfer in progress (Raft thesis 3.10).
#[derive(Clone)]
pub(super) struct Transfer {
    /// When the transfer is abandoned, in milliseconds.
    pub(super) until: u64,
    /// The member that was sent `TimeoutNow`; None until a voter has the whole log.
    pub(super) target: Option<u64>,
}

impl Raft {
    pub(super) fn reset_election_timer(&mut self, now: u64) {
        let jitter = self.rng.next_u64() % ELECTION_JITTER_MS;
        self.election_deadline = now + ((ELECTION_TIMEOUT_MS + jitter) << self.election_backoff);
    }

    /// Doubles the election timeout because a vote of this term took longer than it: otherwise a group with slow
    /// syncs or links would never elect a leader. Counts once per term, as several members may respond late.
    pub(super) fn record_late_vote(&mut self, term: u64) {
        if term > self.late_votes_term {
            self.late_votes_term = term;
            self.election_backoff = (self.election_backoff + 1).min(MAX_ELECTION_BACKOFF_DOUBLINGS);
        }
    }

    /// Requests the other voters' votes, or with `pre_vote` asks whether they would grant them.
    pub(super) fn campaign(&mut self, now: u64, pre_vote: bool, forced: bool) {
        self.leader = None;
        self.votes = BTreeMap::from([(self.id, true)]);
        let term = if pre_vote {
            self.role = Role::PreCandidate;
            self.term + 1
        } else {
            self.role = Role::Candidate;
            self.term += 1;
            self.reset_election_timer(now);
            self.voted_for = Some(self.id);
            self.persist_meta(now);
            self.term
        };
        let (last_index, last_term) = (self.last_index(), self.last_term());
        let voters = self.members().voters.iter().map(|voter| voter.id);
        let others: Vec<u64> = voters.filter(|id| *id != self.id).collect();
        for to in others {
            self.send(to, RaftMessage::VoteRequest { term, last_index, last_term, pre_vote, forced });
        }
        self.count_votes(now);
    }

    pub(super) fn on_vote_response(&mut self, now: u64, from: u64, term: u64, pre_vote: bool, granted: bool) {
        if !pre_vote || !granted {
            self.observe_term(now, term);
        }
        if granted && !pre_vote && term < self.term && self.leader.is_none() {
            self.record_late_vote(term);
        }
        let expected_role = if pre_vote { Role::PreCandidate } else { Role::Candidate };
        let expected_term = if pre_vote { self.term + 1 } else { self.term };
        if self.role == expected_role && (term == expected_term || !granted) {
            self.votes.insert(from, granted);
            self.count_votes(now);
        }
    }

    pub(super) fn count_votes(&mut self, now: u64) {
        let granted = self.members().voters.iter().filter(|voter| self.votes.get(&voter.id) == Some(&true)).count();
        if granted < self.quorum() {
            return;
        }
        match self.role {
            Role::PreCandidate => self.campaign(now, false, false),
            // the candidate's own vote and log count only once they are on disk
            Role::Candidate if self.unsynced_writes.is_empty() => self.become_leader(now),
            _ => {}
        }
    }

    fn become_leader(&mut self, now: u64) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.election_backoff = 0;
        self.transfer = None;
        self.reads.clear();
        self.peers.clear();
        self.update_peers(now);
        self.outputs.push(RaftOutput::BecameLeader { term: self.term });
        self.append_own(now, EntryPayload::Noop);
        self.send_heartbeats(now);
    }

    pub(super) fn step_down(&mut self, now: u64) {
        if self.role == Role::Leader {
            for read in std::mem::take(&mut self.reads) {
                self.deny(read.ticket, RejectReason::NotLeader);
            }
            self.outputs.push(RaftOutput::SteppedDown);
            self.leader = None;
            self.transfer = None;
        }
        self.role = Role::Follower;
        self.reset_election_timer(now);
    }

    /// Adopts a newer term as a follower.
    pub(super) fn observe_term(&mut self, now: u64, term: u64) {
        if term > self.term {
            self.step_down(now);
            self.leader = None;
            self.term = term;
            self.voted_for = None;
            self.answered_round = 0;
            self.persist_meta(now);
        }
    }

    /// Handles a vote request; `candidate_last` is term and index of the candidate's last entry.
    pub(super) fn on_vote_request(
        &mut self,
        now: u64,
        from: u64,
        term: u64,
        candidate_last: (u64, u64),
        pre_vote: bool,
        forced: bool,
    ) {
        // a node that merely lost contact with a live leader must not depose it
        let leader_is_live = self.role == Role::Leader || self.has_leader_contact(now);
        if leader_is_live && !forced {
            return;
        }
        if !pre_vote {
            self.observe_term(now, term);
        }
        let own_last = (self.last_term(), self.last_index());
        let may_vote = self.voted_for.is_none_or(|voted_for| voted_for == from);
        let eligible = if pre_vote { term > self.term } else { term == self.term && may_vote };
        let granted = eligible && candidate_last >= own_last && !self.disk_stalled(now);
        let voted = granted && !pre_vote;
        if voted && self.voted_for.is_none() {
            self.voted_for = Some(from);
            self.persist_meta(now);
        }
        if voted {
            self.reset_election_timer(now);
        }
        let term = if pre_vote && granted { term } else { self.term };
        self.send(from, RaftMessage::VoteResponse { term, pre_vote, granted });
    }

    /// Accepts `from` as the leader of `term`; returns false if that term is over.
    pub(super) fn accept_leader(&mut self, now: u64, from: u64, term: u64) -> bool {
        self.observe_term(now, term);
        if term < self.term {
            return false;
        }
        if self.role != Role::Follower {
            self.step_down(now);
        }
        self.leader = Some(from);
        self.last_leader_contact = now;
        self.election_backoff = 0;
        self.reset_election_timer(now);
        true
    }

    /// Starts a leadership transfer to a caught-up peer (Raft thesis 3.10).
    ///
    /// Until the target is elected, or an election timeout has passed, this leader accepts no proposals, so that
    /// the target's log stays as long as its own.
    pub(super) fn transfer_leadership(&mut self, now: u64) {
        if self.role == Role::Leader && self.transfer.is_none() {
            self.transfer = Some(Transfer { until: now + ELECTION_TIMEOUT_MS, target: None });
            self.try_transfer(now);
        }
    }

    /// Sends `TimeoutNow` to the transfer's target once it has the whole log. No other member is sent one
    /// afterwards: two candidates would split the vote.
    pub(super) fn try_transfer(&mut self, now: u64) {
        let Some(target) = self.transfer.as_ref().map(|transfer| transfer.target) else { return };
        let last = self.last_index();
        let candidates = self.members().voters.iter().map(|voter| voter.id);
        let candidates = candidates.filter(|id| target.is_none_or(|target| target == *id));
        let peers = candidates.filter_map(|id| Some((id, self.peers.get(&id)?)));
        let ready = peers.filter(|(_, peer)| peer.match_index == last && peer.is_live(now));
        let Some(to) = ready.max_by_key(|(_, peer)| peer.last_contact).map(|(id, _)| id) else { return };
        if let Some(transfer) = &mut self.transfer {
            transfer.target = Some(to);
        }
        self.send(to, RaftMessage::TimeoutNow { term: self.term });
    }

    /// Starts an election without pre-vote and despite a live leader, but only at that leader's own request.
    pub(super) fn on_timeout_now(&mut self, now: u64, from: u64, term: u64) {
        let from_live_leader = term == self.term && self.leader == Some(from) && self.has_leader_contact(now);
        if from_live_leader && self.is_voter(self.id) && !self.disk_stalled(now) {
            self.campaign(now, false, true);
        }
    }

    /// Returns whether this follower has heard from its leader within the election timeout.
    fn has_leader_contact(&self, now: u64) -> bool {
        self.leader.is_some() && now < self.last_leader_contact + ELECTION_TIMEOUT_MS
    }
}
