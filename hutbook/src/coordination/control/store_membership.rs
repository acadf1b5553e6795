//! Membership of store groups: wanted members, retirements, and when a retirement is complete.

use super::super::replica::{LeaderContext, Plan};
use super::super::view::{Event, StoreGroup};
use super::messages::{CheckIn, ControlCommand, ControlResponse, StoreAssignment};
use super::ControlStateMachine;
use crate::constants::*;
use crate::state::entry::{to_bytes, Member};

/// A store node as of its last check-in with this leader.
pub(super) struct StoreNode {
    pub(super) member: Member,
    pub(super) zone: String,
    pub(super) name: String,
    pub(super) last_check_in: u64,
}

impl ControlStateMachine {
    /// Returns why a store node can't be removed now: the remaining ones would have no live quorum.
    pub(super) fn removal_blocker(&self, now: u64, node: u64) -> Option<String> {
        let group =
            self.state.view.stores.values().find(|group| group.wanted.iter().any(|member| member.id == node))?;
        let remaining: Vec<u64> = group.wanted.iter().map(|member| member.id).filter(|id| *id != node).collect();
        let live = |id: &&u64| {
            self.store_nodes.get(id).is_some_and(|store| now < store.last_check_in + 4 * CHECK_IN_INTERVAL_MS)
        };
        let live_count = remaining.iter().filter(live).count();
        // the removal of the last replica is refused by `retire_node`, with the code last_copy
        (!remaining.is_empty() && live_count < remaining.len() / 2 + 1)
            .then(|| format!("{live_count} of the {} copies left have been heard from lately", remaining.len()))
    }

    pub(super) fn retire_node(&mut self, revision: u64, node: u64) -> ControlResponse {
        let entry =
            self.state.view.stores.iter().find(|(_, group)| group.wanted.iter().any(|member| member.id == node));
        let Some((id, group)) = entry.map(|(id, group)| (*id, group.clone())) else {
            if self.state.retired_nodes.contains(&node) {
                return ControlResponse::Committed(self.state.view.revision);
            }
            return ControlResponse::Unknown("no such store node is a member of a group".into());
        };
        if group.wanted.len() < 2 {
            let why = "it is the last copy of its group".to_string();
            return ControlResponse::Refused { code: "last_copy".into(), why };
        }
        let mut is = group;
        is.wanted.retain(|member| member.id != node);
        self.record_retired(node);
        self.emit(revision, Event::StoreGroup { group: id, state: is });
        self.settle_and_respond(revision)
    }

    /// Returns whether the node is an incarnation of the store machine with this name.
    pub(super) fn has_store_name(&self, node: u64, name: &str) -> bool {
        !name.is_empty()
            && (self.store_nodes.get(&node).is_some_and(|store| store.name == name)
                || self.state.store_names.iter().any(|(known, id)| *id == node && known == name))
    }

    /// Returns whether this store node is retiring or retired, by its id or its name. A name stays retired
    /// whatever disk its machine returns with.
    pub(super) fn is_retiring(&self, node: u64) -> bool {
        self.state.retired_nodes.contains(&node)
            || self.state.retired_names.iter().any(|name| self.has_store_name(node, name))
    }

    pub(super) fn knows_store_name(&self, name: &str) -> bool {
        self.state.store_names.iter().any(|(known, _)| known == name)
            || self.store_nodes.values().any(|store| !name.is_empty() && store.name == name)
    }

    /// Returns whether this leader has led long enough to have heard from every live node.
    pub(super) fn has_heard_all(&self, now: u64) -> bool {
        now >= self.ledger.leader_since + 4 * CHECK_IN_INTERVAL_MS
    }

    pub(super) fn plan_named_retirement(&self, now: u64, name: String) -> Plan<ControlResponse> {
        if self.state.retired_names.contains(&name) {
            return Plan::Reply(ControlResponse::Committed(self.state.view.revision));
        }
        if !self.knows_store_name(&name) {
            return Plan::Reply(self.unknown_store_name(now));
        }
        let is_live =
            |store: &&StoreNode| now < store.last_check_in + self.shape.repair_ms.max(4 * CHECK_IN_INTERVAL_MS);
        let stays = |store: &&StoreNode| store.name != name && !self.is_retiring(store.member.id);
        // a machine that returned with an empty disk counts as one, not two
        let remaining = self.store_nodes.values().filter(is_live).filter(stays).map(|store| store.member.addr.as_str());
        let remaining = remaining.collect::<std::collections::BTreeSet<_>>().len();
        if remaining >= self.shape.store_replicas {
            return Plan::Propose(to_bytes(&ControlCommand::RetireNamed(name)));
        }
        if !self.has_heard_all(now) {
            return Plan::Reply(ControlResponse::Busy);
        }
        let why = format!("{remaining} live machines would be left for {} copies", self.shape.store_replicas);
        Plan::Reply(ControlResponse::Refused { code: "too_few".into(), why })
    }

    pub(super) fn unknown_store_name(&self, now: u64) -> ControlResponse {
        if !self.has_heard_all(now) {
            return ControlResponse::Busy;
        }
        ControlResponse::Unknown("no store machine of that name has been heard of".into())
    }

    /// Returns whether a retirement is complete: the machine is in no group, and every group has all its replicas
    /// without it, each of them live. What was committed is then on a majority of the new members, so that the next
    /// failure is tolerated.
    pub(super) fn is_retired(&self, now: u64, name: &str) -> bool {
        let ids =
            |members: &[Member]| members.iter().map(|member| member.id).collect::<std::collections::BTreeSet<_>>();
        let gone = |group: &StoreGroup| {
            group.wanted.iter().chain(&group.actual).all(|member| !self.has_store_name(member.id, name))
        };
        let live = |member: &Member| {
            self.store_nodes.get(&member.id).is_some_and(|store| now < store.last_check_in + 2 * CHECK_IN_INTERVAL_MS)
        };
        let whole = |group: &StoreGroup| {
            group.actual.len() >= self.shape.store_replicas
                && ids(&group.wanted) == ids(&group.actual)
                && group.actual.iter().all(live)
        };
        self.state.retired_names.iter().any(|retired| retired == name)
            && self.state.view.stores.values().all(|group| gone(group) && whole(group))
    }

    /// Returns the next change to a store group's wanted members, if one is due.
    pub(super) fn next_store_change(&self, now: u64) -> Option<(u32, StoreGroup)> {
        let view = &self.state.view;
        let repair_ms = self.shape.repair_ms;
        let live = |id: u64| self.store_nodes.get(&id).is_some_and(|store| now < store.last_check_in + repair_ms);
        // another node has taken its address: it is certainly dead, and need not be waited for
        let is_replaced = |member: &Member| {
            let old = self.store_nodes.get(&member.id).map_or(0, |store| store.last_check_in);
            let other = |store: &StoreNode| {
                store.member.id != member.id
                    && store.member.addr == member.addr
                    && store.last_check_in > old + CHECK_IN_INTERVAL_MS / 2
            };
            self.store_nodes.values().any(other)
        };
        let free = |store: &&StoreNode| {
            now < store.last_check_in + 2 * CHECK_IN_INTERVAL_MS
                && !self.is_retiring(store.member.id)
                && view
                    .stores
                    .values()
                    .all(|group| group.wanted.iter().chain(&group.actual).all(|member| member.id != store.member.id))
        };
        let Some((id, group)) = view.stores.iter().next() else {
            let store = self.store_nodes.values().find(free)?;
            return Some((
                1,
                StoreGroup { wanted: vec![store.member.clone()], bootstrap_member: store.member.id, actual: vec![] },
            ));
        };
        // one change at a time: the previous one must have taken effect
        let ids =
            |members: &[Member]| members.iter().map(|member| member.id).collect::<std::collections::BTreeSet<_>>();
        let settled = ids(&group.wanted) == ids(&group.actual);
        let dead = group.wanted.iter().find(|member| is_replaced(member)).or_else(|| {
            // a new leader has not heard from the nodes yet
            group.wanted.iter().find(|member| !live(member.id) && now > self.ledger.leader_since + repair_ms)
        });
        // a retiring member is treated like a dead one: not removed before another one votes in its place
        let dead = dead.or_else(|| group.wanted.iter().find(|member| settled && self.is_retiring(member.id)));
        let zone_of = |member: &Member| self.store_nodes.get(&member.id).map(|store| store.zone.as_str());
        let staying: Vec<&Member> =
            group.wanted.iter().filter(|member| dead.is_none_or(|dead| dead.id != member.id)).collect();
        let in_zone = |zone: &str| staying.iter().filter(|member| zone_of(member) == Some(zone)).count();
        let spare = self.store_nodes.values().filter(free).min_by_key(|store| in_zone(&store.zone));
        let mut changed = group.clone();
        if group.wanted.len() < self.shape.store_replicas && dead.is_none() {
            changed.wanted.push(spare.filter(|_| settled)?.member.clone());
            return Some((*id, changed));
        }
        // a dead replica is replaced if a spare is available; the new one comes first
        if let Some(dead) = dead {
            let spare = spare?;
            // the node that was to bootstrap the group lost its disk, or never learned of it: the group was not formed
            if group.actual.is_empty() && group.bootstrap_member == dead.id && is_replaced(dead) {
                changed.bootstrap_member = spare.member.id;
            }
            changed.wanted.retain(|member| member.id != dead.id);
            changed.wanted.push(spare.member.clone());
            return Some((*id, changed));
        }
        // the loss of a zone with most of the replicas would cost the group its quorum
        let spare = spare.filter(|_| settled)?;
        let crowded = group
            .wanted
            .iter()
            .filter(|member| zone_of(member).is_some_and(|zone| in_zone(zone) * 2 > group.wanted.len()));
        let moving = crowded
            .max_by_key(|member| member.id)
            .filter(|member| zone_of(member).is_some_and(|zone| in_zone(&spare.zone) + 1 < in_zone(zone)))?;
        changed.wanted.retain(|member| member.id != moving.id);
        changed.wanted.push(spare.member.clone());
        Some((*id, changed))
    }

    pub(super) fn check_in(&mut self, context: LeaderContext, check_in: CheckIn) -> ControlResponse {
        let id = check_in.member.id;
        let view = &self.state.view;
        let group = view
            .stores
            .iter()
            .find(|(_, group)| group.wanted.iter().chain(&group.actual).any(|member| member.id == id));
        let mut assignment = StoreAssignment {
            cluster: view.cluster,
            controllers: self.members.voters.clone(),
            ..StoreAssignment::default()
        };
        if let Some((group_id, group)) = group {
            assignment.group = Some(*group_id);
            assignment.bootstraps_group = group.bootstrap_member == id && group.actual.is_empty();
            assignment.wanted = group.wanted.clone();
        }
        self.store_nodes.insert(
            id,
            StoreNode { member: check_in.member, zone: check_in.zone, name: check_in.name, last_check_in: context.now },
        );
        // open jobs that another term's leader asked for don't count in this term
        if let (Some((group_id, _)), Some(open)) =
            (check_in.leads_group, check_in.open_jobs.filter(|open| open.term == context.term))
        {
            self.ledger.record_open_jobs(context.now, &self.state.view, group_id, open);
        }
        (assignment.term, assignment.leader_time, assignment.needs_open_jobs) =
            (context.term, context.now, self.ledger.needs_open_jobs(context.now));
        ControlResponse::Assignment(assignment)
    }

    /// Returns the group as its leader reports it, if that differs from the recorded state.
    pub(super) fn changed_group(&self, check_in: &CheckIn) -> Option<StoreGroup> {
        let (id, members) = check_in.leads_group.as_ref()?;
        let group = self.state.view.stores.get(id)?;
        // only a member may report on the group
        group.wanted.iter().chain(&group.actual).find(|known| known.id == check_in.member.id)?;
        let mut actual: Vec<Member> = members.voters.clone();
        actual.sort();
        let mut wanted = group.wanted.clone();
        // a member that has moved is recorded with its new address
        wanted
            .iter_mut()
            .filter(|member| member.id == check_in.member.id)
            .for_each(|member| member.addr = check_in.member.addr.clone());
        let reported = StoreGroup { actual, wanted, bootstrap_member: group.bootstrap_member };
        (&reported != group).then_some(reported)
    }
}
