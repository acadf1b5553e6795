//! Health of the servers that handle proxied requests, aggregated over all edges: their load, and which are bad.
//!
//! With its lease renewal each edge reports its requests in flight at each server, and the outcomes of its requests
//! since the last report. The control group's leader aggregates the reports and sends every edge a digest with two
//! bytes per server, its load and its verdict. None of this is replicated: a new leader starts without evidence.

use super::view::View;
use crate::constants::*;
use crate::state::config::Policy;
use std::collections::BTreeMap;

messages! {
    /// What one edge has observed of one server since its last report.
    #[derive(Default, Eq)]
    pub struct ServerReport {
        #[n(0)] pub server: String,
        /// Requests in flight there now.
        #[n(1)] pub in_flight: u32,
        /// Of these, those that have waited longer than similar requests take.
        #[n(2)] pub stalled: u32,
        #[n(3)] pub failed: u32,
        #[n(4)] pub succeeded: u32,
        /// Sum over the succeeded requests of their latency relative to similar requests, in percent.
        #[n(5)] pub slowness: u32,
    }
    /// Load and verdict of all servers, in the order of the view's servers at `revision`.
    #[derive(Default, Eq)]
    pub struct FleetDigest {
        #[n(0)] pub revision: u64,
        /// Requests in flight at each server, at most 255.
        #[cbor(n(1), with = "minicbor::bytes")] pub load: Vec<u8>,
        #[cbor(n(2), with = "minicbor::bytes")] pub verdicts: Vec<u8>,
    }
}

/// The fleet's verdict on one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Verdict {
    #[default]
    Sound,
    /// Several edges recently found it bad: other servers are preferred.
    Suspect,
    /// It was suspect, and receives an occasional repeatable request as a trial.
    OnTrial,
}

impl Verdict {
    fn byte(self) -> u8 {
        match self {
            Verdict::Sound => 0,
            Verdict::Suspect => 1,
            Verdict::OnTrial => 2,
        }
    }

    /// Decodes a verdict. An unknown byte means `Sound`.
    pub fn from_byte(byte: u8) -> Verdict {
        match byte {
            1 => Verdict::Suspect,
            2 => Verdict::OnTrial,
            _ => Verdict::Sound,
        }
    }
}

/// The last report of one edge: (server, in flight, stalled).
struct EdgeReport {
    at: u64,
    servers: Vec<(String, u32, u32)>,
}

/// State of a server between sound and suspect.
#[derive(Clone, Copy)]
enum Standing {
    Sound,
    Suspect { until: u64 },
    OnTrial { successes: f64 },
}

/// Evidence about one server, decaying exponentially.
struct Evidence {
    at: u64,
    failed: f64,
    succeeded: f64,
    /// Sum over the succeeded requests of their latency relative to similar requests, 1.0 being equal.
    slowness: f64,
    /// The edges that most recently reported a problem with it, and when.
    reporters: [(u64, u64); MAX_REPORTERS],
    standing: Standing,
    /// Number of consecutive times that it became suspect.
    times_suspected: u32,
}

impl Evidence {
    fn new(now: u64) -> Evidence {
        let reporters = [(0, 0); MAX_REPORTERS];
        Evidence {
            at: now,
            failed: 0.0,
            succeeded: 0.0,
            slowness: 0.0,
            reporters,
            standing: Standing::Sound,
            times_suspected: 0,
        }
    }

    fn decay(&mut self, now: u64) {
        let age = now.saturating_sub(self.at) as f64;
        let factor = (-age / EVIDENCE_DECAY_MS as f64).exp();
        self.at = now;
        for sum in [&mut self.failed, &mut self.succeeded, &mut self.slowness] {
            *sum *= factor;
        }
    }

    fn add_reporter(&mut self, now: u64, node: u64) {
        let previous = self.reporters.iter().position(|(reporter, _)| *reporter == node);
        let oldest = || (0..MAX_REPORTERS).min_by_key(|i| self.reporters[*i].1).unwrap_or(0);
        let index = previous.unwrap_or_else(oldest);
        self.reporters[index] = (node, now);
    }

    /// Returns the number of edges that recently reported a problem.
    fn reporters(&self, now: u64) -> usize {
        self.reporters.iter().filter(|(_, at)| *at > 0 && now < at + EVIDENCE_DECAY_MS).count()
    }

    fn mean_slowness(&self) -> Option<f64> {
        (self.succeeded >= MIN_SLOWNESS_SAMPLES).then(|| self.slowness / self.succeeded)
    }
}

/// Evidence of all edges, aggregated by the control group's leader.
#[derive(Default)]
pub struct FleetHealth {
    edges: BTreeMap<u64, EdgeReport>,
    servers: BTreeMap<String, Evidence>,
    digest: FleetDigest,
    digest_at: u64,
    /// Number of reports that were rejected as implausible.
    pub rejected_reports: u64,
}

impl FleetHealth {
    /// Records an edge's reports. Those of unlisted servers are ignored.
    pub fn record_report(&mut self, now: u64, view: &View, node: u64, reports: Vec<ServerReport>) {
        let mut servers = Vec::with_capacity(reports.len());
        for report in reports {
            let Some(listed) = view.servers.get(&report.server) else { continue };
            let max_in_flight = listed.slots.max(1).saturating_mul(MAX_LOAD_SLOTS);
            if report.in_flight > max_in_flight || report.stalled > report.in_flight {
                self.rejected_reports += 1;
                continue;
            }
            let evidence = self.servers.entry(report.server.clone()).or_insert_with(|| Evidence::new(now));
            evidence.decay(now);
            if report.failed + report.stalled > 0 {
                evidence.add_reporter(now, node);
            }
            let succeeded = report.succeeded.min(max_in_flight);
            evidence.failed += f64::from(report.failed.min(max_in_flight));
            evidence.succeeded += f64::from(succeeded);
            let slowness = f64::from(report.slowness) / 100.0;
            evidence.slowness += slowness.min(f64::from(succeeded) * MAX_SLOWNESS);
            if slowness > SUSPECT_SLOWNESS * f64::from(succeeded) && succeeded > 0 {
                evidence.add_reporter(now, node);
            }
            if let Standing::OnTrial { successes } = &mut evidence.standing {
                *successes += f64::from(succeeded);
            }
            servers.push((report.server, report.in_flight, report.stalled));
        }
        self.edges.insert(node, EdgeReport { at: now, servers });
    }

    /// Returns the current digest, recomputed at most every `SLOT_DIVISION_INTERVAL_MS` unless the view has changed.
    pub fn digest(&mut self, now: u64, view: &View) -> FleetDigest {
        if now >= self.digest_at || self.digest.revision != view.revision {
            self.digest_at = now + SLOT_DIVISION_INTERVAL_MS;
            self.edges.retain(|_, report| now < report.at + FLEET_REPORT_VALID_MS);
            self.servers.retain(|server, _| view.servers.contains_key(server));
            self.update_standings(now, view);
            self.digest = self.make_digest(view);
        }
        self.digest.clone()
    }

    /// Returns the requests in flight and stalled at each server, and the number of edges with stalled ones.
    fn sums(&self) -> BTreeMap<&str, (u32, u32, u32)> {
        let mut sums: BTreeMap<&str, (u32, u32, u32)> = BTreeMap::new();
        for (server, in_flight, stalled) in self.edges.values().flat_map(|report| &report.servers) {
            let sum = sums.entry(server).or_default();
            sum.0 += in_flight;
            sum.1 += stalled;
            sum.2 += u32::from(*stalled > 0);
        }
        sums
    }

    fn make_digest(&self, view: &View) -> FleetDigest {
        let sums = self.sums();
        let load = |server: &String| sums.get(server.as_str()).map_or(0, |sum| sum.0.min(255) as u8);
        let verdict = |server: &String| self.verdict(server).byte();
        FleetDigest {
            revision: view.revision,
            load: view.servers.keys().map(load).collect(),
            verdicts: view.servers.keys().map(verdict).collect(),
        }
    }

    pub fn verdict(&self, server: &str) -> Verdict {
        match self.servers.get(server).map(|evidence| evidence.standing) {
            Some(Standing::Suspect { .. }) => Verdict::Suspect,
            Some(Standing::OnTrial { .. }) => Verdict::OnTrial,
            _ => Verdict::Sound,
        }
    }

    /// Returns the number of servers that are suspect or on trial.
    pub fn suspect_count(&self) -> usize {
        self.servers.keys().filter(|server| self.verdict(server) != Verdict::Sound).count()
    }

    /// Updates each server's state: sound, suspect or on trial.
    fn update_standings(&mut self, now: u64, view: &View) {
        let share =
            view.config.as_ref().map_or(Policy::default().max_ejected_share, |config| config.policy.max_ejected_share);
        let stalled: BTreeMap<String, u32> =
            self.sums().iter().map(|(server, sum)| (server.to_string(), sum.1)).collect();
        let mut services: BTreeMap<&str, Vec<&String>> = BTreeMap::new();
        for server in view.servers.values().filter(|server| view.is_proxied(&server.group)) {
            services.entry(&server.group).or_default().push(&server.name);
        }
        for servers in services.into_values() {
            let median = self.median_slowness(&servers);
            let mut free = max_ejected(servers.len(), share);
            let is_ejected = |server: &&&String| self.verdict(server) != Verdict::Sound;
            free = free.saturating_sub(servers.iter().filter(is_ejected).count());
            let mut bad: Vec<(f64, &String)> = vec![];
            for name in servers {
                let Some(evidence) = self.servers.get_mut(name) else { continue };
                evidence.decay(now);
                let badness = badness_score(evidence, now, stalled.get(name).copied().unwrap_or(0), median);
                match evidence.standing {
                    Standing::Suspect { until } if now >= until => {
                        evidence.standing = Standing::OnTrial { successes: 0.0 };
                        (evidence.failed, evidence.succeeded, evidence.slowness) = (0.0, 0.0, 0.0);
                    }
                    Standing::OnTrial { .. } if badness > 0.0 => mark_suspect(evidence, now),
                    Standing::OnTrial { successes } if successes >= TRIAL_SUCCESSES => {
                        evidence.standing = Standing::Sound;
                        evidence.times_suspected = 0;
                    }
                    Standing::Sound if badness > 0.0 => bad.push((badness, name)),
                    _ => {}
                }
            }
            bad.sort_by(|a, b| b.0.total_cmp(&a.0));
            for (_, name) in bad.into_iter().take(free) {
                if let Some(evidence) = self.servers.get_mut(name) {
                    mark_suspect(evidence, now);
                }
            }
        }
    }

    /// Returns the median slowness of a service's servers with enough samples; 1 if there are none.
    fn median_slowness(&self, servers: &[&String]) -> f64 {
        let means = servers.iter().filter_map(|server| self.servers.get(*server)?.mean_slowness());
        let mut means: Vec<f64> = means.collect();
        means.sort_by(f64::total_cmp);
        means.get(means.len() / 2).copied().unwrap_or(1.0)
    }
}

/// Returns the maximum number of a service's servers that may be suspect: a share, and at least one if there are
/// others.
pub fn max_ejected(servers: usize, share: f64) -> usize {
    let limit = (servers as f64 * share) as usize;
    let has_another = servers > 1 && share > 0.0;
    limit.max(usize::from(has_another))
}

/// Returns a score above 0 if the server is bad; a higher score is worse.
fn badness_score(evidence: &Evidence, now: u64, stalled: u32, median_slowness: f64) -> f64 {
    // with a report from a single edge, the fault may be at that edge
    if evidence.reporters(now) < MIN_REPORTERS {
        return 0.0;
    }
    let total = evidence.failed + evidence.succeeded + f64::from(stalled);
    let lost = evidence.failed + f64::from(stalled);
    if lost >= MIN_LOST_REQUESTS && lost >= LOST_REQUEST_SHARE * total {
        return 1.0 + lost / total;
    }
    let slowness = evidence.mean_slowness().unwrap_or(0.0);
    let bound = SUSPECT_SLOWNESS * median_slowness.max(1.0);
    if slowness > bound {
        slowness / bound / MAX_SLOWNESS
    } else {
        0.0
    }
}

fn mark_suspect(evidence: &mut Evidence, now: u64) {
    let suspect_ms = (SUSPECT_MS << evidence.times_suspected.min(8)).min(MAX_SUSPECT_MS);
    evidence.times_suspected += 1;
    evidence.standing = Standing::Suspect { until: now + suspect_ms };
}

#[cfg(test)]
mod tests;
