use super::*;

#[test]
fn every_fault_is_found_at_once_with_its_place() {
    // given a document with a fault in each part
    let t = r#"{"groups":{"lang":{"kind":"modle","slo_ms":0,"least":9,"most":3,"in_flight":8,"colour":1}},
        "routes":{"chat":{"group":"long","work":"chat"}},"work":{"talk":{"wait_ms":"soon"}},"scaler":{"k":0},"extra":1}"#;
    // when it is read
    let f = read(t).unwrap_err();
    let p: Vec<&str> = f.iter().map(|f| f.place.as_str()).collect();
    // then every one is told, with its place
    for want in [
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
        assert!(p.contains(&want), "{want} not in {p:?}");
    }
    assert!(read("{").unwrap_err()[0].what.contains("not JSON"));
}

#[rstest::rstest]
#[case(include_str!("../../../../examples/glenmorven.json"))]
#[case(include_str!("../../../../examples/tianguis.json"))]
fn the_example_configurations_are_taken(#[case] text: &str) {
    assert!(read(text).is_ok(), "{:?}", read(text).unwrap_err());
}

#[test]
fn a_bad_policy_is_refused_whole_with_every_finding_and_its_place() {
    // given a policy with an unknown switch, a share over 1, a budget under 0 and a switch that is no switch
    let text = r#"{"telepathy":true,"max_ejected_share":1.5,"hedge_budget":-0.1,"hedging":"yes"}"#;
    let found = read_policy(text).unwrap_err();
    // then each is told with its place
    let places: Vec<&str> = found.iter().map(|f| f.place.as_str()).collect();
    for want in ["policy.telepathy", "policy.max_ejected_share", "policy.hedge_budget", "policy.hedging"] {
        assert!(places.contains(&want), "{want} not in {places:?}");
    }
    assert!(read_policy("[]").is_err());
}

#[test]
fn a_policy_says_only_what_differs() {
    let policy = read_policy(r#"{"hedging":false}"#).unwrap();
    assert_eq!(policy, Policy { hedging: false, ..Policy::default() });
    assert_eq!(read_policy("{}").unwrap(), Policy::default());
}
