//! Configuration documents that the operators send. What a document allows depends only on its number.

use super::shape::Shape;

/// Host name of all proxied requests.
pub const HOST: &str = "soak.example";
pub const BLUE: &str = "blue";
pub const GREEN: &str = "green";
/// Number of changes for which an added route remains in the configuration.
const CHANGES_PER_ROUTE: u64 = 3;

pub const REPEATABLE_PATH: &str = "/repeatable/";
pub const ONCE_ONLY_PATH: &str = "/once/";
pub const TURNS_PATH: &str = "/turns/";
/// Route whose requests alternate between the two services from change to change.
pub const MOVED_PATH: &str = "/moved/";

/// Returns the path of the route that change `number` adds.
pub fn added_path(number: u64) -> String {
    format!("/added{number}/")
}

/// How a configuration handles a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Allowed {
    NoRoute,
    Service(&'static str),
}

/// Returns how the document of change `number` handles a path.
pub fn allowed(number: u64, path: &str) -> Allowed {
    match path {
        MOVED_PATH => Allowed::Service(if number.is_multiple_of(2) { BLUE } else { GREEN }),
        REPEATABLE_PATH | ONCE_ONLY_PATH | TURNS_PATH => Allowed::Service(BLUE),
        _ => {
            let added = path.strip_prefix("/added").and_then(|rest| rest.trim_end_matches('/').parse::<u64>().ok());
            let is_present = added.is_some_and(|added| added <= number && number < added + CHANGES_PER_ROUTE);
            if is_present {
                Allowed::Service(BLUE)
            } else {
                Allowed::NoRoute
            }
        }
    }
}

/// Returns the document of change `number`.
pub fn document(number: u64, shape: &Shape) -> String {
    let group = |proxied| {
        let mut group = jzon::object! { kind: "model", slo_ms: 1000, least: 1, most: 50, in_flight: 32, warm_jobs: 1 };
        if proxied {
            group["proxied"] = jzon::object! { connections_most: 0, batch: 32 };
        }
        group
    };
    let mut routes = jzon::object! {};
    let mut add = |name: &str, path: &str, kind: &str, timeout_ms: u64| {
        let Allowed::Service(service) = allowed(number, path) else { return };
        let mut services = jzon::object! {};
        services[service] = 1.into();
        routes[name] = jzon::object! {
            host: HOST, prefix: path, services: services, kind: kind, timeout_ms: timeout_ms, target_ms: 400, tries: 2,
            keep_turns: kind == "stream", retention_s: shape.retention_s,
        };
    };
    // time-outs also differ from change to change
    let timeout_ms = shape.timeout_ms + number % 7 * 10;
    add("repeatable", REPEATABLE_PATH, "repeatable", timeout_ms);
    add("once", ONCE_ONLY_PATH, "once_only", timeout_ms);
    add("turns", TURNS_PATH, "stream", timeout_ms);
    add("moved", MOVED_PATH, "repeatable", timeout_ms);
    for added in number.saturating_sub(CHANGES_PER_ROUTE)..=number {
        add(&format!("added{added}"), &added_path(added), "repeatable", timeout_ms);
    }
    let mut groups = jzon::object! { own: group(false) };
    groups[BLUE] = group(true);
    groups[GREEN] = group(true);
    let document = jzon::object! {
        groups: groups,
        routes: { own: { group: "own", work: "any" } },
        work: { any: { wait_ms: 1000 } },
        proxy_routes: routes,
    };
    document.dump()
}

/// Returns a document that must be rejected: one of its routes names a service that doesn't exist.
pub fn invalid_document(number: u64, shape: &Shape) -> String {
    let mut document = jzon::parse(&document(number, shape)).expect("document() writes valid JSON");
    document["proxy_routes"]["moved"]["services"] = jzon::object! { nobody: 1 };
    document.dump()
}
