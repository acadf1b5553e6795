//! The parts of the operators' configuration for proxied requests: the services that accept them, and their routes.

use super::{each, is_name, Reader};
use crate::constants::*;
use crate::protocol::findings::place_of;
use crate::state::config::{Config, ProxyGroup, ProxyRoute, RetrySemantics};
use jzon::JsonValue;
use std::collections::{BTreeMap, BTreeSet};

/// Reads how a group's servers accept proxied requests; None if they serve turns and tool calls of corkdrum's own API.
pub(super) fn service(reader: &mut Reader, group: &str, json: &JsonValue) -> Option<ProxyGroup> {
    let json = &json["proxied"];
    if json.is_null() {
        return None;
    }
    let place = &place_of(group, "proxied");
    reader.check_keys(
        place,
        json,
        &["connections_most", "cold_per_s", "cache_tokens", "event_tokens", "batch", "health_path"],
    );
    let health_path = reader.text(place, json, "health_path", Some("/health"));
    if !health_path.starts_with('/') {
        reader.report(&place_of(place, "health_path"), "must start with /");
    }
    Some(ProxyGroup {
        max_connections: reader.integer(place, json, "connections_most", Some(0), 0, 1_000_000) as u32,
        cold_requests_per_s: reader.number(place, json, "cold_per_s", Some(0.0), 0.0, 1e6),
        kv_cache_tokens: reader.integer(place, json, "cache_tokens", Some(0), 0, 1 << 40),
        tokens_per_event: reader.integer(place, json, "event_tokens", Some(1), 1, 1_000_000),
        max_batch_size: reader.integer(place, json, "batch", Some(0), 0, 10_000) as u32,
        health_path,
    })
}

/// Reads all routes of proxied requests, by name; a configuration may have none.
pub(super) fn routes(reader: &mut Reader, json: &JsonValue) -> BTreeMap<String, ProxyRoute> {
    if json["proxy_routes"].is_null() {
        return BTreeMap::new();
    }
    each(reader, json, "proxy_routes", route)
}

fn route(reader: &mut Reader, place: &str, json: &JsonValue) -> ProxyRoute {
    let known = [
        "host",
        "prefix",
        "services",
        "kind",
        "resumable",
        "keep_turns",
        "retention_s",
        "timeout_ms",
        "target_ms",
        "gap_ms",
        "rank",
        "tries",
        "pinned",
    ];
    reader.check_keys(place, json, &known);
    let prefix = reader.text(place, json, "prefix", None);
    let is_whole = prefix.starts_with('/') && prefix.ends_with('/');
    if !prefix.is_empty() && !is_whole {
        reader.report(&place_of(place, "prefix"), "must begin and end with /");
    }
    ProxyRoute {
        host: reader.text(place, json, "host", None),
        prefix,
        targets: weights(reader, place, &json["services"]),
        retry_semantics: nature(reader, place, json),
        resumable: reader.boolean(place, json, "resumable", false),
        keeps_turns: reader.boolean(place, json, "keep_turns", false),
        retention_ms: reader.integer(place, json, "retention_s", Some(60), 1, 86_400) * 1_000,
        timeout_ms: reader.integer(place, json, "timeout_ms", None, 1, DAY_MS),
        target_latency_ms: reader.integer(place, json, "target_ms", None, 1, DAY_MS),
        target_event_gap_ms: reader.integer(place, json, "gap_ms", Some(0), 0, DAY_MS),
        rank: reader.integer(place, json, "rank", Some(1), 0, 1_000) as u32,
        max_attempts: reader.integer(place, json, "tries", Some(1), 1, 10) as u32,
        pinned: reader.boolean(place, json, "pinned", false),
    }
}

fn nature(reader: &mut Reader, place: &str, json: &JsonValue) -> RetrySemantics {
    match reader.text(place, json, "kind", None).as_str() {
        "repeatable" | "" => RetrySemantics::Repeatable,
        "once_only" => RetrySemantics::AtMostOnce,
        "stream" => RetrySemantics::Stream,
        _ => {
            reader.report(&place_of(place, "kind"), "must be repeatable, once_only or stream");
            RetrySemantics::Repeatable
        }
    }
}

/// Reads the services that share a route's requests, each with its weight.
fn weights(reader: &mut Reader, place: &str, json: &JsonValue) -> Vec<(String, u32)> {
    let place = &place_of(place, "services");
    if !json.is_object() {
        reader.report(place, "must be an object of services and their weights");
        return vec![];
    }
    let names: Vec<String> = json.entries().map(|(name, _)| name.to_string()).collect();
    let all: Vec<(String, u32)> = names
        .into_iter()
        .map(|name| (name.clone(), reader.integer(place, json, &name, None, 0, 1_000_000) as u32))
        .collect();
    if all.iter().all(|(_, weight)| *weight == 0) {
        reader.report(place, "must have weights that don't add up to 0");
    }
    all
}

/// Checks that routes and services are consistent with each other.
pub(super) fn check(reader: &mut Reader, config: &Config) {
    let mut places = BTreeSet::new();
    for (name, route) in &config.proxy_routes {
        let place = place_of("proxy_routes", name);
        if !places.insert((&route.host, &route.prefix)) {
            reader.report(&place, "shares its host and prefix with another route");
        }
        for (service, _) in &route.targets {
            let group = config.groups.get(service);
            if !is_name(service) || group.is_none_or(|group| group.proxy.is_none()) {
                reader.report(
                    &place_of(&place, "services"),
                    format!("names {service}, which is no group that takes proxied requests"),
                );
            }
        }
    }
}
