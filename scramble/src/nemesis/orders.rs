//! Operators' commands of a random day beyond single changes: resent, concurrent, and hundreds in a row.

use super::*;
use crate::fleet::{put_config_request, PendingCommand};

/// Timeout of an operator's read, in milliseconds.
const READ_TIMEOUT_MS: u64 = 1_000;
/// Upper bound of the timeout of an operator who gives up early, in milliseconds; a later answer is lost.
const MAX_IMPATIENT_MS: u64 = 12;
/// Minimum number of changes in a row; up to as many more are added.
const MIN_CHANGES: u64 = 120;
/// Number of changes between reads of the configuration history: less than half of what the history holds.
const CHANGES_PER_HISTORY_READ: u64 = 24;
/// Number of consecutive failed changes after which the series is given up.
const MAX_FAILED_CHANGES: u64 = 3;

/// Returns a distinct document for each change; all of them are the same JSON value.
fn document(change: u64) -> String {
    let bits = (0..24).map(|bit| if change >> bit & 1 == 1 { '\t' } else { ' ' });
    CONFIG.chars().chain(bits).collect()
}

impl Nemesis {
    /// Returns the base that the next change must name: the active number or revision.
    pub(super) fn current_base(&self) -> u64 {
        if !self.numbered {
            return self.world.config_revision();
        }
        match self.world.issue(ControlRequest::Status) {
            Some(ControlResponse::Json(text)) => {
                jzon::parse(&text).ok().and_then(|v| v["config_number"].as_u64()).unwrap_or(0)
            }
            _ => 0,
        }
    }

    /// Returns a new change on this base; every call makes another document.
    pub(super) fn next_change(&mut self, base: u64) -> ControlRequest {
        self.world.record_planned_change();
        self.changes += 1;
        let number = if self.numbered { base + 1 } else { 0 };
        put_config_request(base, number, &format!("n{}", self.changes), &document(self.changes))
    }

    /// Returns the controllers, starting with this one.
    fn members_from(&self, first: u64) -> Vec<String> {
        let mut members = self.world.names("refuge");
        let count = members.len().max(1);
        members.rotate_left(first as usize % count);
        members
    }

    /// Sends all kinds of reads at once, each through another member.
    pub(super) fn read_everything(&mut self) {
        let zones = ZONES.map(|zone| ControlRequest::Evacuation(zone.into()));
        let all = [ControlRequest::GetConfig(0), ControlRequest::Status].into_iter().chain(zones);
        let pending: Vec<PendingCommand> =
            all.map(|read| self.world.send_command(&self.members_from(self.draw(8)), read, READ_TIMEOUT_MS)).collect();
        for read in &pending {
            self.world.wait_for_answer(read, READ_TIMEOUT_MS);
        }
        self.world.read_history(READ_TIMEOUT_MS);
    }

    /// Loses the answer to a command, then resends the same command through other members, with or without a change of
    /// leader in between.
    pub(super) fn lost_answer(&mut self) {
        let evacuates = self.draw(3) == 0 && self.evacuated_zone.is_none();
        let request = match evacuates {
            true => ControlRequest::Evacuate { zone: ZONES[self.draw(3) as usize].into(), evacuated: true },
            false => {
                let base = self.current_base();
                self.next_change(base)
            }
        };
        let first = self.draw(8);
        let timeout_ms = 1 + self.draw(MAX_IMPATIENT_MS);
        let lost = self.world.send_command(&self.members_from(first), request.clone(), timeout_ms);
        self.world.wait_for_answer(&lost, timeout_ms + 1);
        let leader = self.world.confirmed_leader("refuge").filter(|l| self.active_nodes().contains(l));
        let leader_killed = self.draw(2) == 0 && leader.is_some() && self.powered_off.len() < 2;
        if let Some(leader) = leader.filter(|_| leader_killed) {
            self.world.kill(&leader);
            self.powered_off.push(leader);
        }
        self.count_kind(if leader_killed { KINDS[1] } else { KINDS[0] });
        let mut answers = vec![];
        for copy in 1..=3 {
            let resent =
                self.world.send_command(&self.members_from(first + copy), request.clone(), OPERATOR_TIMEOUT_MS);
            answers.push(summary(&self.world.wait_for_answer(&resent, OPERATOR_TIMEOUT_MS * 2)));
        }
        self.log_action(format!("an answer lost, sent again (leader killed: {leader_killed}): {}", answers.join(", ")));
        if let ControlRequest::Evacuate { zone, .. } = request {
            self.clear_evacuation(&zone);
        }
    }

    /// Clears an evacuation; returns true once that is committed.
    fn clear_evacuation(&mut self, zone: &str) -> bool {
        (0..3).any(|_| {
            let back = ControlRequest::Evacuate { zone: zone.into(), evacuated: false };
            matches!(self.world.issue(back), Some(ControlResponse::Committed(_)))
        })
    }

    /// Two operators claim the same number with different documents, and each resends its own.
    pub(super) fn same_number(&mut self) {
        let base = self.current_base();
        let requests = [self.next_change(base), self.next_change(base)];
        let mut pending = vec![];
        for copy in 0..3 {
            for request in &requests {
                let by = self.members_from(self.draw(8));
                // some of the commands give up before their answer arrives
                let timeout_ms =
                    if copy < 2 && self.draw(3) == 0 { self.draw(MAX_IMPATIENT_MS) + 1 } else { OPERATOR_TIMEOUT_MS };
                pending.push(self.world.send_command(&by, request.clone(), timeout_ms));
                let pause = self.draw(15);
                self.world.run(pause);
            }
        }
        let answers: Vec<String> =
            pending.iter().map(|p| summary(&self.world.wait_for_answer(p, OPERATOR_TIMEOUT_MS * 2))).collect();
        self.count_kind(KINDS[2]);
        self.log_action(format!("two operators on {base}, three times each: {}", answers.join(", ")));
    }

    /// Sends three configurations on one base, the evacuation of two zones and its reversal, and a retirement at once.
    pub(super) fn concurrent_orders(&mut self) {
        let base = self.current_base();
        let mut all: Vec<ControlRequest> = (0..3).map(|_| self.next_change(base)).collect();
        let zones: Vec<&str> =
            ZONES.into_iter().filter(|c| self.evacuated_zone.as_deref() != Some(*c)).take(2).collect();
        for zone in &zones {
            all.extend([true, false].map(|evacuated| ControlRequest::Evacuate { zone: zone.to_string(), evacuated }));
        }
        all.push(self.retirement_request());
        let mut pending = vec![];
        for request in all {
            let by = self.members_from(self.draw(8));
            pending.push(self.world.send_command(&by, request, OPERATOR_TIMEOUT_MS));
        }
        let answers: Vec<String> =
            pending.iter().map(|p| summary(&self.world.wait_for_answer(p, OPERATOR_TIMEOUT_MS * 2))).collect();
        self.count_kind(KINDS[3]);
        self.log_action(format!("eight orders at once on {base}: {}", answers.join(", ")));
        for zone in zones {
            self.clear_evacuation(zone);
        }
    }

    /// Returns a command that retires a store if another one can replace it; otherwise a read of an old retirement.
    fn retirement_request(&mut self) -> ControlRequest {
        let healthy: Vec<String> = self.active_nodes().into_iter().filter(|n| n.starts_with("bothy")).collect();
        let healthy: Vec<String> =
            healthy.into_iter().filter(|n| !self.faulty_disks.contains(n) && !self.retired.contains(n)).collect();
        let voters: Vec<String> =
            self.world.voter_names_now("bothy").into_iter().filter(|n| healthy.contains(n)).collect();
        if healthy.len() < 4 || voters.len() < 3 || !self.retired.is_empty() {
            return ControlRequest::Retirement(1);
        }
        let retiring = voters[self.draw(voters.len() as u64) as usize].clone();
        let id = self.world.id(&retiring);
        self.retired.push(retiring);
        // adds a new spare, since the present one replaces the retired store
        self.world.add_store(self.world.names("bothy").len() + 1);
        ControlRequest::Retire(id)
    }

    /// Makes hundreds of changes; then one controller restarts, or all of them, or one that was down during all changes
    /// returns.
    pub(super) fn many_changes(&mut self) {
        let controllers: Vec<String> = self.active_nodes().into_iter().filter(|n| n.starts_with("refuge")).collect();
        let leader = self.world.confirmed_leader("refuge");
        let others: Vec<String> = controllers.iter().filter(|n| Some(*n) != leader.as_ref()).cloned().collect();
        let Some(other) = self.pick(&others) else { return };
        let restart = self.draw(3);
        if restart == 2 {
            self.world.kill(&other);
            self.powered_off.push(other.clone());
        }
        let (mut base, mut accepted, mut failed) = (self.current_base(), 0, 0);
        for change in 0..MIN_CHANGES + self.draw(MIN_CHANGES) {
            // the history lists only the last few changes
            if change.is_multiple_of(CHANGES_PER_HISTORY_READ) {
                self.world.read_history(OPERATOR_TIMEOUT_MS);
            }
            let request = self.next_change(base);
            match self.world.issue(request) {
                Some(ControlResponse::Committed(revision)) => {
                    (base, accepted, failed) = (if self.numbered { base + 1 } else { revision }, accepted + 1, 0);
                }
                _ if failed == MAX_FAILED_CHANGES => break,
                _ => (base, failed) = (self.current_base(), failed + 1),
            }
        }
        let restarted: Vec<String> = match restart {
            0 => vec![other],
            1 => controllers,
            _ => {
                self.powered_off.retain(|n| *n != other);
                vec![other]
            }
        };
        if restart < 2 {
            restarted.iter().for_each(|n| self.world.kill(n));
            self.world.run(300);
        }
        restarted.iter().for_each(|n| self.world.start(n));
        self.log_action(format!("{accepted} changes, then restarted: {}", restarted.join(" ")));
        if accepted >= 100 {
            self.count_kind(KINDS[4 + restart as usize]);
        }
    }
}
