use super::*;
use crate::state::config::{Group, Kind};

fn grant(no: u64, term: u64) -> Grant {
    let shares = BTreeMap::from([("s1".to_string(), 3)]);
    Grant { no, term, rev: 0, update: Update::Events(vec![]), shares, cold: BTreeMap::new(), edges: 1 }
}

fn claims(e: &Edge, now: u64) -> u32 {
    e.renewal(now).held.iter().map(|h| h.share).sum()
}

#[test]
fn an_edge_whose_licence_lapsed_claims_no_share_and_takes_none_that_was_repeated() {
    // given an edge that holds three slots of a server
    let e = Edge::new(1, "a", "e1");
    let set = Group {
        kind: Kind::Model,
        slo_ms: 500,
        least: 1,
        most: 4,
        in_flight: 8,
        warm_jobs: 1,
        pressure_most: 4.0,
        cache_most: 0.9,
        pass: None,
    };
    let mut l = Line::new("lang", "a", set, BTreeMap::new());
    l.servers.entry("s1".into()).or_default().usable = true;
    e.lanes.write().unwrap().insert("lang".into(), Arc::new(Mutex::new(l)));
    e.granted(10, 0, grant(1, 1));
    assert_eq!(claims(&e, 100), 3);
    // when it sleeps until its licence has lapsed, then it claims nothing on waking
    assert_eq!(claims(&e, LICENCE_MS), 0);
    // and what a new leader repeats of a claim made before it slept is not taken
    e.granted(LICENCE_MS + 10, 1_400, grant(1, 2));
    assert_eq!(claims(&e, LICENCE_MS + 20), 0);
    // while what that leader gives from then on is
    e.granted(LICENCE_MS + 40, LICENCE_MS + 20, grant(2, 2));
    assert_eq!(claims(&e, LICENCE_MS + 50), 3);
}
