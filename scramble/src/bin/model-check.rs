//! Explores the schedules of the consensus layer within bounds; prints what was covered, or a shortest schedule to a
//! violation.

use getopts::Options;
use scramble::flags::{fail, number, parse};
use scramble::model::scenario::{self, Scenario};
use scramble::model::{search, trace};

const NAME: &str = "model-check";
/// Default limit of distinct states per scenario.
const DEFAULT_MAX_STATES: u64 = 1_000_000;

fn main() {
    let mut options = Options::new();
    options.optopt("", "states", "end each search at about this many distinct states (default 1000000)", "N");
    options.optopt("", "depth", "maximum number of actions in a schedule", "N");
    options.optopt("", "threads", "threads of a search (default 1)", "N");
    options.optopt("", "voters", "only scenarios that start with this many voters", "N");
    options.optopt("", "only", "only scenarios whose name contains this", "TEXT");
    options.optmulti(
        "",
        "budget",
        "how often a kind of fault or request may happen, as delays=2; may be repeated",
        "K=N",
    );
    options.optflag("l", "list", "list the scenarios with their budgets");
    let flags = parse(NAME, &mut options);
    let threads = number(NAME, &flags, "threads", 1) as usize;
    let mut scenarios = scenario::all();
    if let Some(text) = flags.opt_str("only") {
        scenarios.retain(|scenario| scenario.name.contains(&text));
    }
    let voters = number(NAME, &flags, "voters", 0);
    scenarios.retain(|scenario| voters == 0 || u64::from(scenario.voters) == voters);
    for scenario in &mut scenarios {
        scenario.max_states = number(NAME, &flags, "states", DEFAULT_MAX_STATES);
        scenario.depth = number(NAME, &flags, "depth", scenario.depth.into()) as u32;
        flags.opt_strs("budget").iter().for_each(|budget| set_budget(scenario, budget));
    }
    if scenarios.is_empty() {
        fail(NAME, "no scenario matches; see --list");
    }
    if flags.opt_present("list") {
        return scenarios
            .iter()
            .for_each(|scenario| println!("{}: {:?}, {:?}", scenario.name, scenario.delivery, scenario.budget));
    }
    let mut violated = false;
    for scenario in &scenarios {
        let report = search::run(scenario, threads);
        println!("{}", trace::summary(scenario, &report));
        if let Some(counterexample) = &report.counterexample {
            print!("{}", trace::schedule(scenario, counterexample));
            violated = true;
        }
    }
    std::process::exit(i32::from(violated));
}

/// Sets a budget of the scenario from `kind=number`.
fn set_budget(scenario: &mut Scenario, text: &str) {
    let parsed = text.split_once('=').and_then(|(kind, n)| Some((kind, n.parse::<u8>().ok()?)));
    let Some((kind, n)) = parsed else { fail(NAME, "--budget must be KIND=N with N below 256") };
    let budget = &mut scenario.budget;
    let field = match kind {
        "delays" => &mut budget.delays,
        "losses" => &mut budget.losses,
        "repeats" => &mut budget.repeats,
        "time-outs" => &mut budget.time_outs,
        "heartbeats" => &mut budget.heartbeats,
        "crashes" => &mut budget.crashes,
        "cuts" => &mut budget.cuts,
        "orders" => &mut budget.orders,
        "resends" => &mut budget.resends,
        "reads" => &mut budget.reads,
        "changes" => &mut budget.changes,
        "transfers" => &mut budget.transfers,
        "compactions" => &mut budget.compactions,
        _ => fail(NAME, &format!("there is no budget for {kind}")),
    };
    *field = n;
}
