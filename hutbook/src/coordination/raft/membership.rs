//! Group membership and single-server changes (Raft thesis 4.1 and 4.2).

use super::replication::Peer;
use super::{MembershipChange, Raft, RaftMessage, RaftOutput, RejectReason};
use crate::constants::*;
use crate::state::entry::{EntryPayload, Members};

impl Raft {
    /// Returns the members by the newest entry in the log: a change takes effect when it is appended.
    pub fn members(&self) -> &Members {
        &self.member_log.last().expect("the member log always holds the snapshot's members").1
    }

    /// Returns the committed members, without a change in progress.
    pub fn committed_members(&self) -> Members {
        self.members_at(self.commit_index)
    }

    pub(super) fn members_at(&self, index: u64) -> Members {
        let newest = self.member_log.iter().rev().find(|(since, _)| *since <= index);
        newest.map_or(Members::default(), |(_, members)| members.clone())
    }

    pub(super) fn is_voter(&self, id: u64) -> bool {
        self.members().voters.iter().any(|member| member.id == id)
    }

    /// Returns the number of voters that make a majority.
    pub(super) fn quorum(&self) -> usize {
        self.members().voters.len() / 2 + 1
    }

    /// Returns whether this peer is live, and close enough to the end of the log to vote. It must have acknowledged
    /// entries to this leader in this term: a new leader knows nothing about its peers.
    pub fn caught_up(&self, now: u64, id: u64) -> bool {
        self.peers.get(&id).is_some_and(|peer| {
            let close_to_end = peer.match_index > 0 && peer.match_index + MAX_PROMOTION_LAG >= self.last_index();
            close_to_end && peer.is_live(now)
        })
    }

    /// Starts replicating to new members and stops replicating to removed ones.
    pub(super) fn update_peers(&mut self, now: u64) {
        let next_index = self.last_index() + 1;
        let ids: Vec<u64> = self.members().all().map(|member| member.id).filter(|id| *id != self.id).collect();
        self.peers.retain(|id, _| ids.contains(id));
        for id in ids {
            self.peers.entry(id).or_insert_with(|| Peer::new(next_index, now));
        }
    }

    pub(super) fn change(&mut self, now: u64, ticket: u64, change: MembershipChange) {
        if !self.ready_to_lead() {
            return self.deny(ticket, RejectReason::NotLeader);
        }
        // one change at a time: the last one must be committed; and none during a leadership transfer
        if self.transfer.is_some() || self.member_log.last().is_some_and(|(index, _)| *index > self.commit_index) {
            return self.deny(ticket, RejectReason::Busy);
        }
        match self.members_after(now, change) {
            Ok(members) => {
                let index = self.append_own(now, EntryPayload::Members(members));
                self.update_peers(now);
                self.outputs.push(RaftOutput::Appended { ticket, index });
                self.broadcast(now);
            }
            Err(why) => self.deny(ticket, RejectReason::Unsafe(why)),
        }
    }

    /// After this leader's own removal, asks the most up-to-date remaining voter to start an election at once, so
    /// that the group doesn't wait for an election timeout (Raft thesis 4.2.2 and 3.10).
    pub(super) fn transfer_after_removal(&mut self, now: u64) {
        let remaining = self.members().voters.iter().map(|voter| voter.id).filter(|id| self.caught_up(now, *id));
        let newest = remaining.max_by_key(|id| self.peers.get(id).map_or(0, |peer| peer.match_index));
        if let Some(to) = newest {
            self.send(to, RaftMessage::TimeoutNow { term: self.term });
        }
    }

    /// Returns the members after `change`, or why it would endanger the group.
    fn members_after(&self, now: u64, change: MembershipChange) -> Result<Members, String> {
        let mut members = self.members().clone();
        match change {
            MembershipChange::AddLearner(member) => {
                if members.all().any(|known| known.id == member.id) {
                    return Err("it is a member already".into());
                }
                members.learners.push(member);
            }
            MembershipChange::Promote(id) => {
                let Some(position) = members.learners.iter().position(|learner| learner.id == id) else {
                    return Err("it is not a learner".into());
                };
                // a voter that is far behind would weaken the group that it joins
                if !self.caught_up(now, id) {
                    return Err("it has not caught up yet".into());
                }
                let learner = members.learners.remove(position);
                members.voters.push(learner);
                self.check_live_quorum(now, &members)?;
            }
            MembershipChange::UpdateAddress(member) => {
                let mut known = members.voters.iter_mut().chain(&mut members.learners);
                known.find(|known| known.id == member.id).ok_or("it is not a member")?.addr = member.addr;
            }
            MembershipChange::Remove(id) => {
                if !members.all().any(|member| member.id == id) {
                    return Err("it is not a member".into());
                }
                members.learners.retain(|member| member.id != id);
                members.voters.retain(|member| member.id != id);
                if self.is_voter(id) {
                    self.check_live_quorum(now, &members)?;
                }
            }
        }
        Ok(members)
    }

    /// Checks that a majority of `members` is live and caught up. A change takes effect when it is appended: without
    /// such a majority, neither it nor anything after it could ever be committed.
    fn check_live_quorum(&self, now: u64, members: &Members) -> Result<(), String> {
        let live = members.voters.iter().filter(|voter| voter.id == self.id || self.caught_up(now, voter.id)).count();
        let quorum = members.voters.len() / 2 + 1;
        (live >= quorum).then_some(()).ok_or("the voters left would have no live quorum".into())
    }
}
