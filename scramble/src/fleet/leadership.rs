//! The leader and the members of a group, determined from all nodes together.
//!
//! A single node can be wrong about both: a leader that was frozen resumes with its old role, term and members, and
//! keeps them until it learns of a newer term or loses its quorum. So only a leader that a majority of its voters
//! follow in its own term counts.

use super::*;
use hutbook::coordination::raft::Raft;
use hutbook::state::entry::Members;

impl Inner {
    /// Returns whether this node is running and follows the leader of this id in this term.
    fn follows(&self, name: &str, leader: u64, term: u64) -> bool {
        self.is_running(name) && self.raft(name).is_some_and(|raft| raft.term == term && raft.leader == Some(leader))
    }

    /// Returns whether a majority of the voters that this node lists, itself included, follow it.
    fn is_confirmed(&self, name: &str, raft: &Raft) -> bool {
        let leader = self.nodes[name].id;
        let voters = &raft.members().voters;
        let is_voter = |id: u64| voters.iter().any(|member| member.id == id);
        let following =
            self.nodes.iter().filter(|(n, node)| is_voter(node.id) && self.follows(n, leader, raft.term)).count();
        raft.role == Role::Leader && self.is_running(name) && following > voters.len() / 2
    }

    /// Returns the node of this kind that a majority confirms as leader; the one of the newest term if there are
    /// several.
    pub(super) fn confirmed_leader(&self, kind: &str) -> Option<String> {
        let of_kind = self.nodes.keys().filter(|name| name.starts_with(kind));
        let rafts = of_kind.filter_map(|name| Some((name, self.raft(name)?)));
        let confirmed = rafts.filter(|(name, raft)| self.is_confirmed(name, raft));
        confirmed.max_by_key(|(_, raft)| raft.term).map(|(name, _)| name.clone())
    }
}

impl World {
    /// Returns the leader of a kind's group, if a majority follows one now.
    pub fn confirmed_leader(&self, kind: &str) -> Option<String> {
        self.0.borrow().confirmed_leader(kind)
    }

    /// Returns the members of a kind's group as its confirmed leader lists them.
    pub fn members(&self, kind: &str) -> Option<Members> {
        let inner = self.0.borrow();
        let leader = inner.confirmed_leader(kind)?;
        inner.raft(&leader).map(|raft| raft.members().clone())
    }

    /// Returns the number of voters of a kind's group; 0 while no leader is confirmed.
    pub fn voters_now(&self, kind: &str) -> usize {
        self.members(kind).map_or(0, |members| members.voters.len())
    }

    /// Returns the names of this kind's voters; none while no leader is confirmed.
    pub fn voter_names_now(&self, kind: &str) -> Vec<String> {
        let Some(members) = self.members(kind) else { return vec![] };
        let votes = |name: &String| members.voters.iter().any(|voter| voter.id == self.id(name));
        self.names(kind).into_iter().filter(votes).collect()
    }

    /// Returns whether there are at least three voters, all of them up with their disks, no learner is being added,
    /// and the members are committed.
    pub fn has_full_membership(&self, kind: &str) -> bool {
        let Some(members) = self.members(kind) else { return false };
        let up = self.voter_names_now(kind).iter().filter(|name| self.is_up(name)).count();
        let agreed = {
            let inner = self.0.borrow();
            let leader = inner.confirmed_leader(kind);
            leader.and_then(|leader| inner.raft(&leader).map(|raft| raft.committed_members()))
        };
        members.voters.len() >= 3
            && up == members.voters.len()
            && members.learners.is_empty()
            && agreed.as_ref() == Some(&members)
    }

    /// Returns whether the group has its full membership without this machine.
    pub fn has_replaced(&self, kind: &str, lost: &str) -> bool {
        self.has_full_membership(kind) && !self.voter_names_now(kind).iter().any(|name| name == lost)
    }
}
