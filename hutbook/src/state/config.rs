//! The operators' configuration as replicated: one document, which is always replaced as a whole.

use crate::constants::{DEFAULT_MAX_HEADER_BYTES, MAX_PROXY_BODY_BYTES, PROXY_CLIENT_IDLE_MS, REQUEST_READ_TIMEOUT_MS};
use std::collections::BTreeMap;

messages! {
    #[derive(Copy, Eq)]
    pub enum Kind {
        #[n(0)] Model,
        #[n(1)] Tool,
    }
    pub struct Group {
        #[n(0)] pub kind: Kind,
        /// Target of the 90th percentile of the latency at the group's edges, in milliseconds.
        #[n(1)] pub slo_ms: u64,
        #[n(2)] pub min_servers: u32,
        #[n(3)] pub max_servers: u32,
        /// Maximum number of jobs in flight at one server, from all edges together.
        #[n(4)] pub max_in_flight: u32,
        /// Number of finished jobs after which a cold server gets one more slot.
        #[n(5)] pub jobs_per_warmup_slot: u32,
        /// Pressure (waiting jobs) above which the preferred server is not chosen, and likewise the used share of its
        /// KV cache.
        #[n(6)] pub max_pressure: f64,
        #[n(7)] pub max_cache_usage: f64,
        /// Set for servers of proxied requests; None for those of turns and tool calls of the native API.
        #[n(8)] pub proxy: Option<ProxyGroup>,
    }
    /// Settings of a group of servers for proxied requests. Warm servers reject surplus requests without harm, so
    /// their slots are not divided among edges; cold ones are limited by rate.
    pub struct ProxyGroup {
        /// Maximum number of connections to one server, from all edges together.
        #[n(0)] pub max_connections: u32,
        /// Maximum number of jobs per second for a cold server, from all edges together; 0 if servers are never cold.
        #[n(1)] pub cold_requests_per_s: f64,
        /// Size of a server's KV cache in tokens; 0 without a cache.
        #[n(2)] pub kv_cache_tokens: u64,
        /// Number of tokens in one event of a stream.
        #[n(3)] pub tokens_per_event: u64,
        /// Number of jobs in one batch; 0 without batching.
        #[n(4)] pub max_batch_size: u32,
        #[n(5)] pub health_path: String,
    }
    #[derive(Copy, Eq)]
    pub enum RetrySemantics {
        /// May run more than once.
        #[n(0)] Repeatable,
        /// Is sent to a server at most once for each request of a client.
        #[n(1)] AtMostOnce,
        /// A stream of events; sent at most once unless it is resumable.
        #[n(2)] Stream,
    }
    /// Route of proxied requests, selected by host and longest path prefix.
    pub struct ProxyRoute {
        #[n(0)] pub host: String,
        /// Path prefix; begins and ends with a slash.
        #[n(1)] pub prefix: String,
        /// Target groups with their weights.
        #[n(2)] pub targets: Vec<(String, u32)>,
        #[n(3)] pub retry_semantics: RetrySemantics,
        /// A stream can be resumed at another server after the last event that was forwarded.
        #[n(4)] pub resumable: bool,
        /// Clients send only the new input of a turn; the conversation before it is stored here.
        #[n(5)] pub keeps_turns: bool,
        #[n(6)] pub retention_ms: u64,
        #[n(7)] pub timeout_ms: u64,
        /// Target latency of an answer or of a stream's first event, in milliseconds.
        #[n(8)] pub target_latency_ms: u64,
        /// Target for the longest pause between events, in milliseconds; 0 without a target.
        #[n(9)] pub target_event_gap_ms: u64,
        /// Priority: 0 is served first.
        #[n(10)] pub rank: u32,
        /// Maximum number of servers that one request is sent to.
        #[n(11)] pub max_attempts: u32,
        /// A server answers faster if it has recently handled the same request.
        #[n(12)] pub pinned: bool,
    }
    pub struct Route {
        #[n(0)] pub group: String,
        #[n(1)] pub job_class: String,
        #[n(2)] pub at_most_once: bool,
        #[n(3)] pub retention_ms: u64,
        #[n(4)] pub max_run_ms: u64,
        #[n(5)] pub path: String,
        /// The backend offers a lookup of a job's outcome by its key.
        #[n(6)] pub lookup: bool,
    }
    pub struct JobClass {
        /// Set point of the waiting time of this kind of work, in milliseconds.
        #[n(0)] pub target_wait_ms: u64,
        /// The lower rank is served first among jobs that have waited for equal shares of their set points.
        #[n(1)] pub rank: u32,
    }
    pub struct ScalerConfig {
        #[n(0)] pub alpha: f64,
        #[n(1)] pub beta: f64,
        #[n(2)] pub p: f64,
        #[n(3)] pub sigma: f64,
        #[n(4)] pub delta: f64,
        #[n(5)] pub k: u32,
        #[n(6)] pub gamma: u32,
        #[n(7)] pub lambda: f64,
        #[n(8)] pub generations: u32,
        #[n(9)] pub population: u32,
        /// Maximum relative change of the workload while a decision is computed.
        #[n(10)] pub max_workload_change: f64,
        /// How long scaling is suspended after a change of leader, in milliseconds.
        #[n(11)] pub cooldown_ms: u64,
        /// Minimum number of samples of each label before the forest's predictions are used.
        #[n(12)] pub min_samples_per_label: u32,
        /// Maximum number of samples retained; each decision trains a new forest on them.
        #[n(13)] pub max_samples: u32,
    }
    /// Placement and retries of proxied requests: a switch for each mechanism, and limits of some.
    pub struct Policy {
        /// Prefers a server that is believed to have cached the beginning of the prompt.
        #[n(0)] pub prefix_affinity: bool,
        /// Prefers the server where the session's last turn ran.
        #[n(1)] pub session_affinity: bool,
        /// Prefers servers in the edge's own zone.
        #[n(2)] pub own_zone: bool,
        /// Ranks a failed server last, for a time that grows with further failures.
        #[n(3)] pub failure_ejection: bool,
        /// Ranks a server last if a request waits there longer than similar requests take.
        #[n(4)] pub stall_detection: bool,
        /// Counts the requests in flight from all edges as a server's load.
        #[n(5)] pub shared_load: bool,
        /// Ranks a server last at all edges if several edges have observed failures.
        #[n(6)] pub shared_health: bool,
        /// Also sends a repeatable request to a second server if it waits longer than similar requests do.
        #[n(7)] pub hedging: bool,
        /// Scales the number of servers in use with the load.
        #[n(8)] pub scaler: bool,
        /// Maximum share of a service's servers that may be ranked last because of observations.
        #[n(9)] pub max_ejected_share: f64,
        /// Number of hedged sends allowed for each request.
        #[n(10)] pub hedge_budget: f64,
        /// Share of requests for which a record is logged. Failed ones are always logged, unless it is 0.
        #[n(11)] pub decision_log_share: f64,
        /// Additional cost of a server in another zone, in milliseconds: network latency and the price of traffic
        /// between zones.
        #[n(12)] pub other_zone_ms: f64,
        /// Breaks ties between equal servers by a random order that differs from edge to edge.
        #[n(13)] pub spread: bool,
        /// Caches the texts of turns at the edge that handled them.
        #[n(14)] pub turn_texts: bool,
    }
    pub struct Limits {
        #[n(0)] pub max_allowance: u64,
        #[n(1)] pub max_turn_tokens: u64,
        #[n(2)] pub history_retention_ms: u64,
        #[n(3)] pub max_time_left_ms: u64,
        #[cbor(n(4), default)] pub clients: ClientLimits,
    }
    #[derive(Copy, Eq)]
    /// What a client of proxied requests may send, and how long it may take.
    pub struct ClientLimits {
        /// Maximum length of a request's line and headers.
        #[n(0)] pub max_header_bytes: u32,
        #[n(1)] pub max_body_bytes: u32,
        /// How long the head of a request may take, in milliseconds.
        #[n(2)] pub header_timeout_ms: u32,
        /// How long a connection may rest between two requests, in milliseconds.
        #[n(3)] pub idle_timeout_ms: u32,
    }
    pub struct Config {
        #[n(0)] pub groups: BTreeMap<String, Group>,
        #[n(1)] pub routes: BTreeMap<String, Route>,
        #[n(2)] pub job_classes: BTreeMap<String, JobClass>,
        #[n(3)] pub scaler: ScalerConfig,
        #[n(4)] pub limits: Limits,
        /// Routes of proxied requests, by name.
        #[cbor(n(5), default)] pub proxy_routes: BTreeMap<String, ProxyRoute>,
        #[cbor(n(6), default)] pub policy: Policy,
    }
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            prefix_affinity: true,
            session_affinity: true,
            own_zone: true,
            failure_ejection: true,
            stall_detection: true,
            shared_load: true,
            shared_health: true,
            hedging: true,
            scaler: true,
            max_ejected_share: 0.3,
            hedge_budget: 0.1,
            decision_log_share: 0.0,
            other_zone_ms: 20.0,
            spread: true,
            turn_texts: true,
        }
    }
}

/// Defaults from the paper, or our own where it gives none.
impl Default for ScalerConfig {
    fn default() -> Self {
        ScalerConfig {
            alpha: 0.2,
            beta: 0.9,
            p: 0.05,
            sigma: 1.0,
            delta: 0.15,
            k: 2,
            gamma: 2,
            // not from the paper: meeting the SLO is worth more than any number of servers saved
            lambda: 0.7,
            // not from the paper
            generations: 20,
            population: 24,
            max_workload_change: 0.5,
            cooldown_ms: 15_000,
            min_samples_per_label: 20,
            max_samples: 480,
        }
    }
}

impl Default for ClientLimits {
    fn default() -> Self {
        ClientLimits {
            max_header_bytes: DEFAULT_MAX_HEADER_BYTES,
            max_body_bytes: MAX_PROXY_BODY_BYTES as u32,
            header_timeout_ms: REQUEST_READ_TIMEOUT_MS as u32,
            idle_timeout_ms: PROXY_CLIENT_IDLE_MS as u32,
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_allowance: 1_000_000,
            max_turn_tokens: 2_000,
            history_retention_ms: 86_400_000,
            max_time_left_ms: 86_400_000,
            clients: ClientLimits::default(),
        }
    }
}
