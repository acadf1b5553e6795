//! Runs stand-in clients against existing edges, then prints a report and the result of the checks.

use scramble::check::check;
use scramble::fault_script::{report, Deployment, LoadClients, LoadPlan};
use scramble::flags::{fail, number, parse};
use scramble::observations::run_from_json;

const NAME: &str = "rambler";

fn main() {
    let mut options = getopts::Options::new();
    options.optmulti("", "edge", "HTTP address of an edge (repeatable)", "IP:PORT");
    options.optopt("", "deployment", "glenmorven or tianguis", "NAME");
    options.optopt("", "seconds", "how long new clients arrive (10)", "N");
    options.optopt("", "rate", "percentage of the deployment's usual rates (100)", "N");
    options.optopt("", "opening", "chats that arrive together at the start (0)", "N");
    options.optopt("", "seed", "seed of the arrivals (1)", "N");
    options.optmulti("", "ledger", "ledger file of a backend, read at the end (repeatable)", "FILE");
    let matches = parse(NAME, &mut options);
    let edges = matches.opt_strs("edge");
    if edges.is_empty() {
        fail(NAME, "--edge is missing");
    }
    let deployment = match matches.opt_str("deployment").as_deref() {
        Some("tianguis") => Deployment::Tianguis,
        Some("glenmorven") | None => Deployment::Glenmorven,
        Some(_) => fail(NAME, "--deployment must be glenmorven or tianguis"),
    };
    let number_of = |key: &str, default| number(NAME, &matches, key, default);
    let plan = LoadPlan {
        deployment,
        edges,
        seconds: number_of("seconds", 10),
        rate_percent: number_of("rate", 100),
        initial_burst: number_of("opening", 0),
        seed: number_of("seed", 1),
    };
    let mut observed = actix_rt::System::new().block_on(async {
        let clients = LoadClients::new(plan);
        clients.run().await;
        let observed = clients.observed.borrow().clone();
        observed
    });
    for file in matches.opt_strs("ledger") {
        match std::fs::read_to_string(&file) {
            Ok(text) => observed.runs.extend(text.lines().filter_map(run_from_json)),
            Err(error) => fail(NAME, &format!("{file}: {error}")),
        }
    }
    print!("{}", report(&observed, &[]));
    let breaches = check(&observed);
    println!("never-list breaches: {}", breaches.len());
    breaches.iter().for_each(|breach| println!("  {}: {}", breach.rule, breach.description));
    std::process::exit(i32::from(!breaches.is_empty()));
}
