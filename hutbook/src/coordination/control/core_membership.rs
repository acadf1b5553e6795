//! Membership of the control group: its bootstrap members, and the next change of its voters.

use super::super::raft::{MembershipChange, Raft};
use super::super::view::hash;
use super::ControlStateMachine;
use crate::constants::*;
use crate::state::entry::Member;
use std::collections::BTreeMap;

/// Returns the id of a controller that bootstraps a cluster with others. It follows from the address alone, so
/// that all of them know it. Never 0, which stands for no node.
pub fn bootstrap_member_id(addr: &str) -> u64 {
    hash(&format!("founder {addr}")) | 1
}

/// Returns the id of the cluster that controllers at these addresses bootstrap, in whatever order they are given.
pub fn bootstrap_cluster_id(addrs: &[String]) -> u64 {
    let mut sorted = addrs.to_vec();
    sorted.sort();
    sorted.dedup();
    hash(&format!("cluster {}", sorted.join(" "))) | 1
}

/// Returns the bootstrap members with their ids and addresses.
pub fn bootstrap_members(addrs: &[String]) -> Vec<Member> {
    addrs.iter().map(|addr| Member { id: bootstrap_member_id(addr), addr: addr.clone() }).collect()
}

impl ControlStateMachine {
    /// Returns the next membership change of the control group, if one is due (docs/consistency/membership.md).
    pub(super) fn next_controller_change(&self, now: u64, raft: &Raft) -> Option<MembershipChange> {
        let view = GroupView::new(self, now, raft);
        view.drop_replaced_learner().or_else(|| match (view.lost_voter(), view.marked_removed()) {
            (Some(lost), _) => view.remove_lost(lost),
            (None, Some(removed)) => Some(view.replace_removed(removed)),
            (None, None) if view.is_even() => view.step_from_even(),
            (None, None) => view.step_from_odd(),
        })
    }

    /// Returns the number of voters below which the control group never shrinks automatically: fewer could not
    /// tolerate the failures that it is designed for.
    fn min_voters(&self) -> usize {
        MIN_CORE_VOTERS.max(self.shape.store_replicas).min(self.shape.core_voters)
    }
}

/// The leader's view of the control group while it decides on one membership change.
struct GroupView<'a> {
    core: &'a ControlStateMachine,
    now: u64,
    raft: &'a Raft,
    voters: &'a [Member],
    last_contacts: BTreeMap<u64, u64>,
}

impl<'a> GroupView<'a> {
    fn new(core: &'a ControlStateMachine, now: u64, raft: &'a Raft) -> Self {
        let last_contacts = raft.peer_status().into_iter().map(|peer| (peer.0, peer.2)).collect();
        GroupView { core, now, raft, voters: &raft.members().voters, last_contacts }
    }

    fn is_even(&self) -> bool {
        self.voters.len().is_multiple_of(2)
    }

    fn is_silent(&self, id: u64, ms: u64) -> bool {
        id != self.raft.id && self.last_contacts.get(&id).is_none_or(|last_contact| self.now >= last_contact + ms)
    }

    /// Returns whether another member has taken its address, so that it is certainly dead. New members come last in
    /// the list.
    fn is_replaced(&self, member: &Member) -> bool {
        let newer = self.raft.members().all().skip_while(|other| other.id != member.id).skip(1);
        self.is_silent(member.id, ELECTION_TIMEOUT_MS) && newer.into_iter().any(|other| other.addr == member.addr)
    }

    fn is_lost(&self, voter: &Member) -> bool {
        self.is_silent(voter.id, self.core.shape.repair_ms)
    }

    fn is_marked_removed(&self, member: &Member) -> bool {
        self.core.state.retired_nodes.contains(&member.id)
    }

    fn zone_of(&self, member: &Member) -> &str {
        self.core.controller_zones.get(&member.id).map_or("", |zone| zone.as_str())
    }

    fn voters_in_zone(&self, zone: &str) -> usize {
        let staying = self.voters.iter().filter(|voter| !self.is_lost(voter) && !self.is_marked_removed(voter));
        staying.filter(|voter| !zone.is_empty() && self.zone_of(voter) == zone).count()
    }

    /// Returns whether these voters keep a majority after the loss of any one zone.
    fn survives_zone_loss(&self, voters: &[&Member]) -> bool {
        voters.iter().all(|voter| {
            let zone = self.zone_of(voter);
            let voters_there = voters.iter().filter(|other| self.zone_of(other) == zone).count();
            zone.is_empty() || 2 * voters_there < voters.len()
        })
    }

    fn voters_with(&self, more: &[&'a Member]) -> Vec<&'a Member> {
        self.voters.iter().chain(more.iter().copied()).collect()
    }

    /// Returns the learners that can be promoted at once, those in zones with the fewest voters first.
    fn promotable(&self) -> Vec<&'a Member> {
        let learners = self.raft.members().learners.iter();
        let ready =
            learners.filter(|learner| self.raft.caught_up(self.now, learner.id) && !self.is_marked_removed(learner));
        let mut ready: Vec<&Member> = ready.collect();
        ready.sort_by_key(|learner| self.voters_in_zone(self.zone_of(learner)));
        ready
    }

    fn promote_ready(&self) -> Option<MembershipChange> {
        self.promotable().first().map(|learner| MembershipChange::Promote(learner.id))
    }

    fn drop_replaced_learner(&self) -> Option<MembershipChange> {
        let learners = &self.raft.members().learners;
        learners.iter().find(|learner| self.is_replaced(learner)).map(|learner| MembershipChange::Remove(learner.id))
    }

    fn lost_voter(&self) -> Option<&'a Member> {
        let replaced = self.voters.iter().find(|voter| self.is_replaced(voter));
        replaced.or_else(|| self.voters.iter().find(|voter| self.is_lost(voter)))
    }

    fn marked_removed(&self) -> Option<&'a Member> {
        // the leader itself is removed last
        self.raft
            .members()
            .all()
            .filter(|member| self.is_marked_removed(member))
            .max_by_key(|member| member.id != self.raft.id)
    }

    /// Removes a lost voter before another one takes its place: until it is removed, each additional voter would
    /// have to be matched by a live one to keep the majority.
    fn remove_lost(&self, lost: &Member) -> Option<MembershipChange> {
        let replacement = !self.promotable().is_empty();
        if self.is_even() && replacement && self.voters.len() < self.core.shape.core_voters {
            return self.promote_ready();
        }
        let live = self.voters.iter().filter(|voter| !self.is_lost(voter) && !self.is_replaced(voter)).count();
        let silent_long = self.is_silent(lost.id, self.core.shape.repair_ms.max(REPAIR_SILENCE_MS));
        // without a replacement it is only removed after a long time, and never below three voters
        let given_up = silent_long && live >= MIN_CORE_VOTERS.min(self.core.shape.core_voters);
        let due = self.is_even() && live > 1 || replacement || given_up || self.is_marked_removed(lost);
        due.then_some(MembershipChange::Remove(lost.id))
    }

    /// Removes a live member only after another one has taken its place, so that any single failure is tolerated
    /// meanwhile.
    fn replace_removed(&self, removed: &Member) -> MembershipChange {
        let is_voter = self.voters.iter().any(|voter| voter.id == removed.id);
        let replacement = self.promote_ready().filter(|_| is_voter && !self.is_even());
        replacement.unwrap_or(MembershipChange::Remove(removed.id))
    }

    /// Returns the step away from an even number of voters. It tolerates no more machine failures than one voter
    /// fewer, and possibly no loss of a zone, so it is only an intermediate state.
    fn step_from_even(&self) -> Option<MembershipChange> {
        let (size, min) = (self.voters.len(), self.core.min_voters());
        let next = self.promotable().first().copied();
        let fits = |learner: &&Member| size < min || self.survives_zone_loss(&self.voters_with(&[learner]));
        match next.filter(fits) {
            Some(learner) if size < self.core.shape.core_voters => Some(MembershipChange::Promote(learner.id)),
            // a new leader has not heard from all members yet
            _ if size > min && self.core.has_heard_all(self.now) => self.remove_from_crowded_zone(),
            _ => None,
        }
    }

    fn step_from_odd(&self) -> Option<MembershipChange> {
        let size = self.voters.len();
        if size < self.core.min_voters() {
            return self.promote_ready();
        }
        self.grow_by_two().or_else(|| self.rebalance_zones())
    }

    /// Grows from three to five voters in one go, if the five tolerate the loss of a zone where the three did.
    fn grow_by_two(&self) -> Option<MembershipChange> {
        let ready = self.promotable();
        let [first, second, ..] = ready.as_slice() else { return None };
        let zones_known =
            self.voters_with(&[first, second]).iter().all(|member| self.core.controller_zones.contains_key(&member.id));
        let below_limit = self.voters.len() + 2 <= self.core.shape.core_voters;
        let fits = self.survives_zone_loss(&self.voters_with(&[first, second]))
            || !self.survives_zone_loss(&self.voters_with(&[]));
        (below_limit && zones_known && fits).then_some(MembershipChange::Promote(first.id))
    }

    /// Moves a voter out of a zone whose loss would cost the majority: first one more elsewhere, then one fewer there.
    fn rebalance_zones(&self) -> Option<MembershipChange> {
        if self.survives_zone_loss(&self.voters_with(&[])) {
            return None;
        }
        let max_in_zone = self.voters.iter().map(|voter| self.voters_in_zone(self.zone_of(voter))).max()?;
        let next = self.promotable().first().copied()?;
        let improves = !self.zone_of(next).is_empty() && self.voters_in_zone(self.zone_of(next)) + 1 < max_in_zone;
        improves.then_some(MembershipChange::Promote(next.id))
    }

    fn remove_from_crowded_zone(&self) -> Option<MembershipChange> {
        let others = self.voters.iter().filter(|voter| voter.id != self.raft.id);
        let crowded = others.max_by_key(|voter| (self.voters_in_zone(self.zone_of(voter)), voter.id));
        crowded.map(|voter| MembershipChange::Remove(voter.id))
    }
}
