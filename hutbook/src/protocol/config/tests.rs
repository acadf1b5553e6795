use super::*;
use crate::state::config::RetrySemantics;

#[test]
fn every_fault_is_reported_at_once_with_its_place() {
    // given a document with a fault in each part
    let text = r#"{"groups":{"lang":{"kind":"modle","slo_ms":0,"least":9,"most":3,"in_flight":8,"colour":1}},
        "routes":{"chat":{"group":"long","work":"chat"}},"work":{"talk":{"wait_ms":"soon"}},"scaler":{"k":0},"extra":1}"#;
    // when it is read
    let findings = read(text).unwrap_err();
    let places: Vec<&str> = findings.iter().map(|finding| finding.place.as_str()).collect();
    // then every fault is reported with its place
    for wanted in [
        "extra",
        "groups.lang.kind",
        "groups.lang.slo_ms",
        "groups.lang.least",
        "groups.lang.colour",
        "routes.chat.group",
        "routes.chat.work",
        "work.talk.wait_ms",
        "scaler.k",
    ] {
        assert!(places.contains(&wanted), "{wanted} not in {places:?}");
    }
    assert!(read("{").unwrap_err()[0].what.contains("not JSON"));
}

#[rstest::rstest]
#[case(include_str!("../../../../examples/glenmorven.json"))]
#[case(include_str!("../../../../examples/tianguis.json"))]
#[case(include_str!("../../../../examples/proxied.json"))]
fn the_example_configurations_are_accepted(#[case] text: &str) {
    assert!(read(text).is_ok(), "{:?}", read(text).unwrap_err());
}

#[test]
fn a_bad_policy_is_refused_with_every_finding_and_its_place() {
    // given a policy with an unknown switch, a share over 1, a budget under 0 and a switch that is not a boolean
    let text = r#"{"telepathy":true,"max_ejected_share":1.5,"hedge_budget":-0.1,"hedging":"yes"}"#;
    let found = read_policy(text).unwrap_err();
    // then each is reported with its place
    let places: Vec<&str> = found.iter().map(|f| f.place.as_str()).collect();
    for want in ["policy.telepathy", "policy.max_ejected_share", "policy.hedge_budget", "policy.hedging"] {
        assert!(places.contains(&want), "{want} not in {places:?}");
    }
    assert!(read_policy("[]").is_err());
}

#[test]
fn a_policy_lists_only_what_differs_from_the_defaults() {
    let policy = read_policy(r#"{"hedging":false}"#).unwrap();
    assert_eq!(policy, Policy { hedging: false, ..Policy::default() });
    assert_eq!(read_policy("{}").unwrap(), Policy::default());
}

/// Returns a configuration with a service for proxied requests and this route to it.
fn with_proxy_route(route: &str) -> String {
    format!(
        r#"{{"groups":{{"app":{{"kind":"model","slo_ms":500,"most":4,"in_flight":6,"proxied":{{"connections_most":96,"batch":6}}}},
            "own":{{"kind":"model","slo_ms":500,"most":4,"in_flight":6}}}},
            "routes":{{"chat":{{"group":"own","work":"chat"}}}},"work":{{"chat":{{"wait_ms":100}}}},
            "proxy_routes":{{"fetch":{route}}}}}"#
    )
}

#[test]
fn proxied_services_and_routes_are_read() {
    let text = with_proxy_route(
        r#"{"host":"h.example","prefix":"/f/","services":{"app":3},"kind":"once_only","timeout_ms":2000,"target_ms":400,"tries":2}"#,
    );
    let config = read(&text).unwrap();
    let service = config.groups["app"].proxy.as_ref().unwrap();
    assert_eq!((service.max_connections, service.max_batch_size, service.tokens_per_event), (96, 6, 1));
    assert!(config.groups["own"].proxy.is_none());
    let route = &config.proxy_routes["fetch"];
    assert_eq!((route.host.as_str(), route.prefix.as_str()), ("h.example", "/f/"));
    assert_eq!(route.targets, [("app".to_string(), 3)]);
    assert_eq!(
        (route.retry_semantics, route.timeout_ms, route.target_latency_ms, route.max_attempts),
        (RetrySemantics::AtMostOnce, 2_000, 400, 2)
    );
}

#[rstest::rstest]
#[case::unknown_service("services", r#""services":{"none":1}"#)]
#[case::service_of_our_own_interface("services", r#""services":{"own":1}"#)]
#[case::weights_of_nothing("services", r#""services":{"app":0}"#)]
#[case::no_timeout("timeout_ms", r#""services":{"app":1},"timeout_ms":0"#)]
#[case::half_a_prefix("prefix", r#""services":{"app":1},"prefix":"/f""#)]
#[case::another_kind("kind", r#""services":{"app":1},"kind":"once""#)]
#[case::an_unknown_field("colour", r#""services":{"app":1},"colour":1"#)]
fn a_bad_proxy_route_is_refused_with_its_place(#[case] place: &str, #[case] fault: &str) {
    let sound = [r#""host":"h""#, r#""prefix":"/f/""#, r#""kind":"stream""#, r#""timeout_ms":9"#, r#""target_ms":9"#];
    let key = |field: &&&str| !fault.contains(field.split(':').next().unwrap());
    let fields: Vec<&str> = sound.iter().filter(key).copied().chain([fault]).collect();
    let found = read(&with_proxy_route(&format!("{{{}}}", fields.join(",")))).unwrap_err();
    let wanted = format!("proxy_routes.fetch.{place}");
    assert!(found.iter().any(|f| f.place == wanted), "{found:?}");
}

#[test]
fn two_proxy_routes_with_the_same_host_and_prefix_are_refused() {
    let route = r#"{"host":"h","prefix":"/f/","services":{"app":1},"kind":"stream","timeout_ms":9,"target_ms":9}"#;
    let found = read(&with_proxy_route(&format!("{route},\"again\":{route}"))).unwrap_err();
    assert!(found.iter().any(|f| f.what.contains("shares its host and prefix")), "{found:?}");
}

#[test]
fn limits_of_clients_are_read_and_have_defaults() {
    let with_limits = |limits: &str| {
        let document = include_str!("../../../../examples/glenmorven.json");
        let mut json = jzon::parse(document).expect("valid JSON");
        json["limits"] = jzon::parse(limits).expect("valid JSON");
        read(&json.dump())
    };
    // given a configuration that sets some limits, then the others have their defaults
    let limits = with_limits(r#"{"header_ms":3000,"body_bytes_most":1000}"#).unwrap().limits.clients;
    let defaults = ClientLimits::default();
    assert_eq!((limits.header_timeout_ms, limits.max_body_bytes), (3_000, 1_000));
    assert_eq!(
        (limits.idle_timeout_ms, limits.max_header_bytes),
        (defaults.idle_timeout_ms, defaults.max_header_bytes)
    );
    // and one that can't be kept is refused with its place
    for (limits, place) in
        [(r#"{"idle_ms":0}"#, "limits.idle_ms"), (r#"{"body_bytes_most":5000000}"#, "limits.body_bytes_most")]
    {
        assert_eq!(with_limits(limits).unwrap_err()[0].place, place);
    }
}
