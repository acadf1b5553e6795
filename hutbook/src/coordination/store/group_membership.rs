//! Moves a store group towards the members that the control group wants, one membership change at a time.

use crate::constants::ELECTION_TIMEOUT_MS;
use crate::coordination::raft::{MembershipChange, Raft};
use crate::state::entry::Member;
use std::collections::BTreeMap;

/// Returns the next single change towards the wanted members: first learners are added, then voters are
/// replaced one for one. A lost voter is removed before its replacement is promoted, a live one after it, so
/// that no step tolerates fewer failures than the one before. The leader itself is removed last.
pub fn next_membership_change(wanted: &[Member], raft: &Raft, now: u64) -> Option<MembershipChange> {
    if wanted.is_empty() {
        return None;
    }
    let members = raft.members();
    let want = |id: u64| wanted.iter().any(|target| target.id == id);
    if let Some(target) = wanted.iter().find(|target| members.all().all(|member| member.id != target.id)) {
        return Some(MembershipChange::AddLearner(target.clone()));
    }
    if let Some(target) =
        wanted.iter().find(|target| members.all().any(|member| member.id == target.id && member.addr != target.addr))
    {
        return Some(MembershipChange::UpdateAddress(target.clone()));
    }
    let ready = members.learners.iter().find(|learner| want(learner.id) && raft.caught_up(now, learner.id));
    let all_vote = !members.learners.iter().any(|learner| want(learner.id));
    let last_contact: BTreeMap<u64, u64> = raft.peer_status().into_iter().map(|peer| (peer.0, peer.2)).collect();
    let lost =
        |id: u64| id != raft.id && last_contact.get(&id).is_none_or(|at| now.saturating_sub(*at) > ELECTION_TIMEOUT_MS);
    let unwanted = members.voters.iter().filter(|voter| !want(voter.id));
    let unwanted = unwanted.max_by_key(|voter| (lost(voter.id), voter.id != raft.id));
    let surplus = members.voters.len() > wanted.len();
    let full = members.voters.len() >= wanted.len();
    if let Some(voter) = unwanted.filter(|voter| surplus || all_vote || full && ready.is_some() && lost(voter.id)) {
        return Some(MembershipChange::Remove(voter.id));
    }
    if let Some(learner) = ready.filter(|_| !surplus) {
        return Some(MembershipChange::Promote(learner.id));
    }
    members.learners.iter().find(|learner| !want(learner.id)).map(|learner| MembershipChange::Remove(learner.id))
}
