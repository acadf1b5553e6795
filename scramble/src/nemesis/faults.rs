//! Compound faults of a random day: a second disk loss right after a repair, long partitions, paused leaders.

use super::*;
use crate::fleet::PendingCommand;

/// Time within which a lost member is replaced if there is a spare, in milliseconds.
const REPAIR_TIMEOUT_MS: u64 = 60_000;
/// Duration of a partition, and the interval between commands on both sides of it, in milliseconds.
const PARTITION_MS: u64 = 20_000;
const PARTITION_STEP_MS: u64 = 2_500;
/// Timeout of an operator on one side of a partition, in milliseconds.
const SIDE_TIMEOUT_MS: u64 = 2_000;

impl Nemesis {
    /// Wipes a disk, and another one as soon as the first loss is repaired.
    pub(super) fn second_disk_loss(&mut self) {
        let kind = if self.draw(2) == 0 { "refuge" } else { "bothy" };
        if self.wiped_kinds.iter().any(|k| k == kind) {
            return;
        }
        // first ends all other faults of this kind of machine
        self.world.heal_partitions();
        self.world.set_message_loss(0);
        for n in self.faulty_disks.extract_if(.., |n| n.starts_with(kind)) {
            self.world.set_sync_latency(&n, Some(SYNC_MS));
        }
        for n in self.paused.extract_if(.., |n| n.starts_with(kind)) {
            self.world.unfreeze(&n);
        }
        for n in self.powered_off.extract_if(.., |n| n.starts_with(kind)) {
            self.world.start(&n);
        }
        if !self.world.until(REPAIR_TIMEOUT_MS, |w| w.has_full_membership(kind)) {
            return;
        }
        let before = self.world.voter_names_now(kind);
        let Some(first) = self.pick(&before) else { return };
        let next = self.world.names(kind).len() + 1;
        if kind == "bothy" {
            self.world.add_store(next);
        } else {
            self.world.add_controller(next, false);
        }
        self.world.spawn_traffic(10_000, 60);
        self.log_action(format!("{first} loses its disk, and another one will after the repair"));
        self.wiped_kinds.push(kind.into());
        self.world.lose_disk(&first);
        self.powered_off.push(first.clone());
        if !self.world.until(REPAIR_TIMEOUT_MS, |w| w.has_replaced(kind, &first)) {
            return self.log_action(format!("{first} was not replaced"));
        }
        let (old, new): (Vec<String>, Vec<String>) =
            self.world.voter_names_now(kind).into_iter().partition(|n| before.contains(n));
        let newest = self.draw(2) == 0;
        let Some(second) = self.pick(if newest { &new } else { &old }) else { return };
        self.log_action(format!("{second} loses its disk right after the repair (newest: {newest})"));
        self.count_kind(if newest { KINDS[7] } else { KINDS[8] });
        self.world.lose_disk(&second);
        self.powered_off.push(second);
    }

    /// Sends operators' commands through the members on each side.
    fn orders_on_both_sides(&mut self, sides: [&[String]; 2]) -> Vec<PendingCommand> {
        let mut pending = vec![];
        for side in sides {
            let controllers: Vec<String> = side.iter().filter(|n| n.starts_with("refuge")).cloned().collect();
            if controllers.is_empty() {
                continue;
            }
            // neither side knows what the other has committed: the base is the newest one observed
            let base = self.newest_reported_base();
            let request = self.next_change(base);
            let zone = ZONES[self.draw(3) as usize].to_string();
            let reads = [ControlRequest::GetConfig(0), ControlRequest::Status, ControlRequest::Evacuation(zone)];
            for request in [request].into_iter().chain(reads) {
                pending.push(self.world.send_command(&controllers, request, SIDE_TIMEOUT_MS));
            }
        }
        pending
    }

    /// Returns the newest base that was reported to any operator.
    fn newest_reported_base(&self) -> u64 {
        use crate::observations::{ControlInvocation, ControlOutcome};
        let inner = self.world.0.borrow();
        let answers = inner.observed.control_operations.iter().filter_map(|seen| match (&seen.order, &seen.outcome) {
            (ControlInvocation::PutConfig { number, .. }, ControlOutcome::Accepted(_)) if self.numbered => {
                Some(*number)
            }
            (ControlInvocation::PutConfig { .. }, ControlOutcome::Accepted(revision)) => Some(*revision),
            (_, ControlOutcome::Number { number, .. }) if self.numbered => Some(*number),
            (_, ControlOutcome::Config { revision, .. }) if !self.numbered => Some(*revision),
            _ => None,
        });
        answers.max().unwrap_or(0)
    }

    /// Cuts off a side with one or both leaders and some edges from the rest for twenty seconds; clients and operators
    /// reach both sides.
    pub(super) fn long_partition(&mut self) {
        let leaders = |kind: &str| self.world.confirmed_leader(kind);
        let (kind, mut side): (_, Vec<String>) = match self.draw(3) {
            0 => (KINDS[12], leaders("refuge").into_iter().chain(leaders("bothy")).collect()),
            1 => (KINDS[14], leaders("refuge").into_iter().collect()),
            _ => (KINDS[15], leaders("bothy").into_iter().collect()),
        };
        if side.is_empty() || (kind == KINDS[12] && side.len() < 2) {
            return;
        }
        side.extend(self.world.names("trailhead").into_iter().filter(|_| self.draw(2) == 0));
        let rest: Vec<String> = self.world.process_names().into_iter().filter(|n| !side.contains(n)).collect();
        let direction = self.draw(3);
        for inside in &side {
            for outside in &rest {
                match direction {
                    0 => self.world.block_link(inside, outside, true),
                    1 => self.world.block_link(outside, inside, false),
                    _ => self.world.block_link(inside, outside, false),
                }
            }
        }
        self.log_action(format!("cut for 20 s, way {direction}: {}", side.join(" ")));
        self.count_kind(KINDS[9 + direction as usize]);
        self.count_kind(kind);
        self.world.spawn_traffic(PARTITION_MS, 60);
        let until = self.world.now() + PARTITION_MS;
        while self.world.now() < until {
            self.orders_on_both_sides([&side, &rest]);
            self.world.run(PARTITION_STEP_MS);
        }
        self.world.heal_partitions();
        self.log_action("the partition heals".into());
    }

    /// Pauses leaders for a while; commands arrive while they are paused and are processed when they resume.
    pub(super) fn frozen_leader(&mut self) {
        let mut kinds = vec!["refuge", "bothy"];
        if self.draw(2) == 0 {
            kinds.remove(self.draw(2) as usize);
        }
        let all = kinds.iter().filter_map(|kind| self.world.confirmed_leader(kind));
        let paused: Vec<String> = all.filter(|n| self.active_nodes().contains(n)).collect();
        if paused.is_empty() {
            return;
        }
        let rest: Vec<String> = self.world.process_names().into_iter().filter(|n| !paused.contains(n)).collect();
        self.world.spawn_traffic(5_000, 60);
        paused.iter().for_each(|n| self.world.freeze(n));
        self.orders_on_both_sides([&paused, &rest]);
        let pause = 200 + self.draw(3) * self.draw(7_000);
        self.world.run(pause);
        self.orders_on_both_sides([&paused, &rest]);
        let pause = self.draw(600);
        self.world.run(pause);
        paused.iter().for_each(|n| self.world.unfreeze(n));
        self.orders_on_both_sides([&paused, &rest]);
        self.count_kind(KINDS[13]);
        self.log_action(format!("woken: {}", paused.join(" ")));
    }
}
