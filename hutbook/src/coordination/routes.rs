//! Routes of proxied requests, selected by host and longest path prefix.

use crate::state::config::{Config, ProxyRoute};
use std::collections::HashMap;

#[derive(Debug)]
struct Prefix {
    prefix: String,
    route: String,
}

/// All routes of a configuration by host, longest prefix first.
#[derive(Debug, Default)]
pub(super) struct RouteTable {
    by_host: HashMap<String, Vec<Prefix>>,
}

impl RouteTable {
    pub(super) fn new(config: &Config) -> RouteTable {
        let mut by_host: HashMap<String, Vec<Prefix>> = HashMap::new();
        for (name, route) in &config.proxy_routes {
            let prefix = Prefix { prefix: route.prefix.clone(), route: name.clone() };
            by_host.entry(route.host.clone()).or_default().push(prefix);
        }
        let longest_first = |a: &Prefix, b: &Prefix| {
            let by_length = b.prefix.len().cmp(&a.prefix.len());
            by_length.then_with(|| a.prefix.cmp(&b.prefix)).then_with(|| a.route.cmp(&b.route))
        };
        by_host.values_mut().for_each(|prefixes| prefixes.sort_by(longest_first));
        RouteTable { by_host }
    }

    /// Returns the name of the route that matches a request. A port in `host` is ignored if no route names it.
    pub(super) fn find(&self, host: &str, path: &str) -> Option<&str> {
        let of_host = |host: &str| {
            let prefixes = self.by_host.get(host)?;
            prefixes.iter().find(|prefix| path.starts_with(prefix.prefix.as_str())).map(|prefix| prefix.route.as_str())
        };
        of_host(host).or_else(|| of_host(host.rsplit_once(':')?.0))
    }
}

/// Selects a service of a route by weight; deterministic for a given `draw`.
pub fn pick_service(route: &ProxyRoute, draw: u64) -> Option<&str> {
    let sum: u64 = route.targets.iter().map(|(_, weight)| u64::from(*weight)).sum();
    let mut offset = draw.checked_rem(sum)?;
    for (service, weight) in &route.targets {
        if offset < u64::from(*weight) {
            return Some(service);
        }
        offset -= u64::from(*weight);
    }
    None
}
