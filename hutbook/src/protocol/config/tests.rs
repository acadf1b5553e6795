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
