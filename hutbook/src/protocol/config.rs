//! Reads the operators' configuration from JSON values. All findings are reported at once, each with its place in the
//! document.

use super::findings::{is_name, place_of, Finding, Reader};
use crate::constants::*;
use crate::state::config::{ClientLimits, Config, Group, JobClass, Kind, Limits, Policy, Route, ScalerConfig};
use jzon::JsonValue;
use std::collections::BTreeMap;

mod proxied;

pub fn read(text: &str) -> Result<Config, Vec<Finding>> {
    let mut reader = Reader::default();
    let Some(json) = reader.parse(text) else { return Err(reader.findings) };
    if !reader.check_keys("", &json, &["groups", "routes", "work", "scaler", "limits", "policy", "proxy_routes"]) {
        return Err(reader.findings);
    }
    let config = Config {
        groups: each(&mut reader, &json, "groups", group),
        routes: each(&mut reader, &json, "routes", route),
        job_classes: each(&mut reader, &json, "work", work),
        scaler: tuning(&mut reader, &json["scaler"]),
        limits: limits(&mut reader, &json["limits"]),
        proxy_routes: proxied::routes(&mut reader, &json),
        policy: policy(&mut reader, &json["policy"]),
    };
    proxied::check(&mut reader, &config);
    // names used in one part must be defined in another
    for (name, entry) in &config.routes {
        let place = place_of("routes", name);
        if !entry.group.is_empty() && !config.groups.contains_key(&entry.group) {
            reader.report(&place_of(&place, "group"), format!("names {}, which is not among the groups", entry.group));
        }
        if !entry.job_class.is_empty() && !config.job_classes.contains_key(&entry.job_class) {
            reader.report(
                &place_of(&place, "work"),
                format!("names {}, which is not among the kinds of work", entry.job_class),
            );
        }
        let kind = config.groups.get(&entry.group).map(|group| group.kind);
        if kind == Some(Kind::Model) && entry.at_most_once {
            reader.report(
                &place_of(&place, "once_only"),
                "is for tool routes; a turn may be tried again until a piece has gone out",
            );
        }
    }
    if reader.findings.is_empty() {
        Ok(config)
    } else {
        Err(reader.findings)
    }
}

fn each<T>(
    reader: &mut Reader,
    json: &JsonValue,
    key: &str,
    read_entry: impl Fn(&mut Reader, &str, &JsonValue) -> T,
) -> BTreeMap<String, T> {
    let mut entries = BTreeMap::new();
    if !json[key].is_object() || json[key].is_empty() {
        reader.report(key, "must be an object with at least one entry");
        return entries;
    }
    for (name, value) in json[key].entries() {
        let place = place_of(key, name);
        if !is_name(name) {
            reader.report(&place, "is not a name: up to 128 letters, digits, and -_.:");
        }
        let entry = read_entry(reader, &place, value);
        if entries.insert(name.to_string(), entry).is_some() {
            reader.report(&place, "stands here twice");
        }
    }
    entries
}

fn group(reader: &mut Reader, place: &str, json: &JsonValue) -> Group {
    reader.check_keys(
        place,
        json,
        &["kind", "slo_ms", "least", "most", "in_flight", "warm_jobs", "pressure_most", "cache_most", "proxied"],
    );
    let kind = match reader.text(place, json, "kind", None).as_str() {
        "tool" => Kind::Tool,
        "model" | "" => Kind::Model,
        _ => {
            reader.report(&place_of(place, "kind"), "must be model or tool");
            Kind::Model
        }
    };
    let group = Group {
        kind,
        slo_ms: reader.integer(place, json, "slo_ms", None, 1, DAY_MS),
        min_servers: reader.integer(place, json, "least", Some(1), 1, 10_000) as u32,
        max_servers: reader.integer(place, json, "most", None, 1, 10_000) as u32,
        max_in_flight: reader.integer(place, json, "in_flight", None, 1, 10_000) as u32,
        jobs_per_warmup_slot: reader.integer(place, json, "warm_jobs", Some(1), 1, 10_000) as u32,
        max_pressure: reader.number(place, json, "pressure_most", Some(8.0), 0.0, 1e6),
        max_cache_usage: reader.number(place, json, "cache_most", Some(0.9), 0.0, 1.0),
        proxy: proxied::service(reader, place, json),
    };
    if group.min_servers > group.max_servers {
        reader.report(
            &place_of(place, "least"),
            format!("is {}, more than most ({})", group.min_servers, group.max_servers),
        );
    }
    group
}

fn route(reader: &mut Reader, place: &str, json: &JsonValue) -> Route {
    reader.check_keys(place, json, &["group", "work", "once_only", "retention_s", "run_ms", "path", "lookup"]);
    let path = reader.text(place, json, "path", Some("/"));
    if !path.starts_with('/') {
        reader.report(&place_of(place, "path"), "must start with /");
    }
    Route {
        group: reader.text(place, json, "group", None),
        job_class: reader.text(place, json, "work", None),
        at_most_once: reader.boolean(place, json, "once_only", false),
        retention_ms: reader.integer(place, json, "retention_s", Some(86_400), 60, 400 * 86_400) * 1_000,
        max_run_ms: reader.integer(place, json, "run_ms", Some(DEFAULT_RUN_MS), 100, DAY_MS),
        path,
        lookup: reader.boolean(place, json, "lookup", false),
    }
}

fn work(reader: &mut Reader, place: &str, json: &JsonValue) -> JobClass {
    reader.check_keys(place, json, &["wait_ms", "rank"]);
    JobClass {
        target_wait_ms: reader.integer(place, json, "wait_ms", None, 1, DAY_MS),
        rank: reader.integer(place, json, "rank", Some(1), 0, 1_000) as u32,
    }
}

fn tuning(reader: &mut Reader, json: &JsonValue) -> ScalerConfig {
    let defaults = ScalerConfig::default();
    if json.is_null() {
        return defaults;
    }
    let place = "scaler";
    let known = [
        "alpha",
        "beta",
        "p",
        "sigma",
        "delta",
        "k",
        "gamma",
        "lambda",
        "rounds",
        "flock",
        "moved",
        "cooldown_ms",
        "label_least",
        "history",
    ];
    reader.check_keys(place, json, &known);
    ScalerConfig {
        alpha: reader.number(place, json, "alpha", Some(defaults.alpha), 0.0, 10.0),
        beta: reader.number(place, json, "beta", Some(defaults.beta), 0.01, 1.0),
        p: reader.number(place, json, "p", Some(defaults.p), 0.0001, 0.5),
        sigma: reader.number(place, json, "sigma", Some(defaults.sigma), 0.01, 100.0),
        delta: reader.number(place, json, "delta", Some(defaults.delta), 0.01, 0.99),
        k: reader.integer(place, json, "k", Some(defaults.k.into()), 1, 100) as u32,
        gamma: reader.integer(place, json, "gamma", Some(defaults.gamma.into()), 1, 100) as u32,
        lambda: reader.number(place, json, "lambda", Some(defaults.lambda), 0.0, 1.0),
        generations: reader.integer(place, json, "rounds", Some(defaults.generations.into()), 1, 500) as u32,
        population: reader.integer(place, json, "flock", Some(defaults.population.into()), 4, 500) as u32,
        max_workload_change: reader.number(place, json, "moved", Some(defaults.max_workload_change), 0.01, 100.0),
        cooldown_ms: reader.integer(place, json, "cooldown_ms", Some(defaults.cooldown_ms), 0, DAY_MS),
        min_samples_per_label: reader.integer(
            place,
            json,
            "label_least",
            Some(defaults.min_samples_per_label.into()),
            2,
            10_000,
        ) as u32,
        max_samples: reader.integer(place, json, "history", Some(defaults.max_samples.into()), 10, 10_000) as u32,
    }
}

fn limits(reader: &mut Reader, json: &JsonValue) -> Limits {
    let defaults = Limits::default();
    if json.is_null() {
        return defaults;
    }
    let place = "limits";
    reader.check_keys(
        place,
        json,
        &[
            "allowance_most",
            "turn_cap",
            "history_s",
            "time_left_most_s",
            "header_bytes_most",
            "body_bytes_most",
            "header_ms",
            "idle_ms",
        ],
    );
    Limits {
        max_allowance: reader.integer(place, json, "allowance_most", Some(defaults.max_allowance), 1, 1 << 50),
        max_turn_tokens: reader.integer(place, json, "turn_cap", Some(defaults.max_turn_tokens), 1, 1 << 30),
        history_retention_ms: reader.integer(
            place,
            json,
            "history_s",
            Some(defaults.history_retention_ms / 1_000),
            60,
            400 * 86_400,
        ) * 1_000,
        max_time_left_ms: reader.integer(
            place,
            json,
            "time_left_most_s",
            Some(defaults.max_time_left_ms / 1_000),
            1,
            400 * 86_400,
        ) * 1_000,
        clients: client_limits(reader, place, json),
    }
}

fn client_limits(reader: &mut Reader, place: &str, json: &JsonValue) -> ClientLimits {
    let defaults = ClientLimits::default();
    let mut limit =
        |key: &str, default: u32, most: u64| reader.integer(place, json, key, Some(default.into()), 1, most) as u32;
    ClientLimits {
        max_header_bytes: limit("header_bytes_most", defaults.max_header_bytes, DEFAULT_MAX_HEADER_BYTES.into()),
        max_body_bytes: limit("body_bytes_most", defaults.max_body_bytes, MAX_PROXY_BODY_BYTES as u64),
        header_timeout_ms: limit("header_ms", defaults.header_timeout_ms, DAY_MS),
        idle_timeout_ms: limit("idle_ms", defaults.idle_timeout_ms, DAY_MS),
    }
}

/// Reads a document that holds only a policy.
pub fn read_policy(text: &str) -> Result<Policy, Vec<Finding>> {
    let mut reader = Reader::default();
    let Some(json) = reader.parse(text) else { return Err(reader.findings) };
    let read = policy(&mut reader, &json);
    if reader.findings.is_empty() {
        Ok(read)
    } else {
        Err(reader.findings)
    }
}

fn policy(reader: &mut Reader, json: &JsonValue) -> Policy {
    let defaults = Policy::default();
    if json.is_null() {
        return defaults;
    }
    let place = "policy";
    let known = [
        "prefix_affinity",
        "session_affinity",
        "own_zone",
        "failure_ejection",
        "stall_detection",
        "shared_load",
        "shared_health",
        "hedging",
        "scaler",
        "max_ejected_share",
        "hedge_budget",
        "decision_log_share",
        "other_zone_ms",
        "spread",
        "turn_texts",
    ];
    reader.check_keys(place, json, &known);
    Policy {
        prefix_affinity: reader.boolean(place, json, "prefix_affinity", defaults.prefix_affinity),
        session_affinity: reader.boolean(place, json, "session_affinity", defaults.session_affinity),
        own_zone: reader.boolean(place, json, "own_zone", defaults.own_zone),
        failure_ejection: reader.boolean(place, json, "failure_ejection", defaults.failure_ejection),
        stall_detection: reader.boolean(place, json, "stall_detection", defaults.stall_detection),
        shared_load: reader.boolean(place, json, "shared_load", defaults.shared_load),
        shared_health: reader.boolean(place, json, "shared_health", defaults.shared_health),
        hedging: reader.boolean(place, json, "hedging", defaults.hedging),
        scaler: reader.boolean(place, json, "scaler", defaults.scaler),
        max_ejected_share: reader.number(place, json, "max_ejected_share", Some(defaults.max_ejected_share), 0.0, 1.0),
        hedge_budget: reader.number(place, json, "hedge_budget", Some(defaults.hedge_budget), 0.0, 1.0),
        decision_log_share: reader.number(
            place,
            json,
            "decision_log_share",
            Some(defaults.decision_log_share),
            0.0,
            1.0,
        ),
        spread: reader.boolean(place, json, "spread", defaults.spread),
        turn_texts: reader.boolean(place, json, "turn_texts", defaults.turn_texts),
        other_zone_ms: reader.number(place, json, "other_zone_ms", Some(defaults.other_zone_ms), 0.0, 60_000.0),
    }
}

#[cfg(test)]
mod tests;
