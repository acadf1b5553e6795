//! Runs a whole fleet on one machine, applies drills or measures it at several sizes, and prints the results.

use scramble::drills::{run, DrillSettings, DRILLS};
use scramble::fault_script::Deployment;
use scramble::flags::{fail, number, parse};
use scramble::sweep;

const NAME: &str = "traverse";

/// Default numbers of edges and servers. The first four have twice as many servers as edges; the others vary the ratio,
/// so that the effects of the two can be separated.
const SIZES: &str = "6x12,25x50,100x200,400x800,25x800,100x50,100x800,400x100";

fn run_scale(matches: &getopts::Matches) -> ! {
    let number_of = |key: &str, default| number(NAME, matches, key, default);
    let list = |key: &str, default: &str| matches.opt_str(key).unwrap_or_else(|| default.into());
    let size = |text: &str| {
        let (edges, servers) = text.split_once('x')?;
        Some((edges.parse().ok()?, servers.parse().ok()?))
    };
    let sizes: Option<Vec<(usize, usize)>> = list("sizes", SIZES).split(',').map(size).collect();
    let rates: Result<Vec<u64>, _> =
        list("rates", "20,40,80").split(',').filter(|rate| !rate.is_empty()).map(str::parse).collect();
    let (Some(sizes), Ok(rates)) = (sizes, rates) else { fail(NAME, "--sizes like 6x12,25x50 and --rates like 20,40") };
    let plan = sweep::SweepPlan {
        sizes,
        real_edges: number_of("trailheads", 2) as usize,
        seconds: number_of("seconds", 10),
        rates,
        changes: number_of("changes", 10),
        kills: number_of("kills", 3),
        routes: number_of("routes", 0) as usize,
        port: number_of("port", 21_000) as u16,
    };
    let files = rustix::process::getrlimit(rustix::process::Resource::Nofile).current.unwrap_or(u64::MAX);
    if let Some(reason) = sweep::refusal_reason(&plan, sweep::memory_kb(), files) {
        fail(NAME, &reason);
    }
    let folder = matches.opt_str("dir").map(std::path::PathBuf::from);
    let folder = folder.unwrap_or_else(|| std::env::temp_dir().join(format!("traverse-{}", std::process::id())));
    let output_folder = matches.opt_str("out").map_or(folder.with_extension("scale"), std::path::PathBuf::from);
    let (mut report, mut is_failed) = (sweep::Report::default(), false);
    for size in &plan.sizes {
        let started = std::time::Instant::now();
        let result = actix_rt::System::new().block_on(sweep::run(&plan, *size, &folder, &mut report));
        let outcome = result.as_ref().map_or_else(|error| format!("FAILED: {error}"), |_| "measured".into());
        println!("{} edges before {} servers: {outcome}, {:.0} s", size.0, size.1, started.elapsed().as_secs_f64());
        is_failed |= result.is_err();
    }
    let memory =
        sweep::leader_costs(&[&plan.sizes[..], &[sweep::ZONE_SIZE, sweep::REGION_SIZE, sweep::TARGET_SIZE]].concat());
    let tables = format!("{}\n{}\n{memory}", report.slopes(), report.timings());
    let files = [
        ("roles.csv", report.csv()),
        ("waits.csv", report.timings_csv()),
        ("slopes.md", tables.clone()),
        ("scale.svg", report.plot()),
    ];
    for (name, text) in files {
        if let Err(error) =
            std::fs::create_dir_all(&output_folder).and_then(|_| std::fs::write(output_folder.join(name), text))
        {
            fail(NAME, &format!("{}: {error}", output_folder.display()));
        }
    }
    println!("{tables}\nwritten to {}", output_folder.display());
    std::process::exit(i32::from(is_failed));
}

fn main() {
    let mut options = getopts::Options::new();
    options.optmulti("", "drill", &format!("one of: {} (default calm), or all", DRILLS.join(", ")), "NAME");
    options.optopt("", "deployment", "glenmorven, tianguis or both (glenmorven)", "NAME");
    options.optopt("", "seconds", "how long clients arrive in each drill (15)", "N");
    options.optopt("", "rate", "percentage of the deployment's usual rates (100)", "N");
    options.optopt("", "seed", "seed of the arrivals (1)", "N");
    options.optopt("", "runs", "runs of each drill, with consecutive seeds (1)", "N");
    options.optopt("", "port", "first loopback port to use (21000)", "N");
    options.optopt(
        "",
        "dir",
        "folder for data, ledgers and logs; emptied first (a new one in the temporary folder)",
        "DIR",
    );
    options.optflag("", "quiet", "print only the table");
    options.optflag(
        "",
        "scale",
        "no drill: run real daemons beside hollow nodes at several sizes and measure each role's usage",
    );
    options.optopt("", "sizes", "with --scale: edges x servers, separated by commas", "LIST");
    options.optopt("", "trailheads", "with --scale: number of edges that are real processes (2)", "N");
    options.optopt("", "rates", "with --scale: jobs a second, one phase each, separated by commas (20,40,80)", "LIST");
    options.optopt(
        "",
        "changes",
        "with --scale: configuration changes, and servers that leave and are listed again (10)",
        "N",
    );
    options.optopt("", "kills", "with --scale: how often the controllers' leader is killed (3)", "N");
    options.optopt("", "routes", "with --scale: routes added to the configuration (0)", "N");
    options.optopt("", "out", "with --scale: folder for tables and plot (beside the data folder)", "DIR");
    let matches = parse(NAME, &mut options);
    if matches.opt_present("scale") {
        run_scale(&matches);
    }
    let mut drills = matches.opt_strs("drill");
    if drills.is_empty() {
        drills.push("calm".into());
    }
    if drills == ["all"] {
        drills = DRILLS.iter().map(|drill| drill.to_string()).collect();
    }
    if let Some(drill) = drills.iter().find(|drill| !DRILLS.contains(&drill.as_str())) {
        fail(NAME, &format!("no drill is called {drill}; there are: {}", DRILLS.join(", ")));
    }
    let deployments = match matches.opt_str("deployment").as_deref() {
        None | Some("glenmorven") => vec![Deployment::Glenmorven],
        Some("tianguis") => vec![Deployment::Tianguis],
        Some("both") => vec![Deployment::Glenmorven, Deployment::Tianguis],
        Some(_) => fail(NAME, "--deployment must be glenmorven, tianguis or both"),
    };
    let number_of = |key: &str, default| number(NAME, &matches, key, default);
    let folder = matches.opt_str("dir").map(std::path::PathBuf::from);
    let folder = folder.unwrap_or_else(|| std::env::temp_dir().join(format!("traverse-{}", std::process::id())));
    let (mut table, mut is_failed) = (vec![], false);
    for drill in &drills {
        for deployment in &deployments {
            let (mut jobs, mut breaches, mut longest_gap_ms, mut failed) = (0, 0, 0, 0);
            for run_index in 0..number_of("runs", 1) {
                let settings = DrillSettings {
                    drill: drill.clone(),
                    deployment: *deployment,
                    seconds: number_of("seconds", 15),
                    rate: number_of("rate", 100),
                    seed: number_of("seed", 1) + run_index,
                    port: number_of("port", 21_000) as u16,
                };
                match actix_rt::System::new().block_on(run(&settings, &folder)) {
                    Ok(outcome) => {
                        if !matches.opt_present("quiet") {
                            println!("== {drill}, {deployment:?}, seed {}\n{}", settings.seed, outcome.text);
                        }
                        outcome
                            .breaches
                            .iter()
                            .take(20)
                            .for_each(|breach| println!("BREACH {}: {}", breach.rule, breach.description));
                        jobs += outcome.jobs;
                        breaches += outcome.breaches.len();
                        longest_gap_ms = longest_gap_ms.max(outcome.gap_ms);
                    }
                    Err(error) => {
                        println!(
                            "== {drill}, {deployment:?}, seed {}: the drill itself failed: {error}",
                            settings.seed
                        );
                        failed += 1;
                    }
                }
            }
            is_failed |= breaches + failed > 0;
            let deployment = format!("{deployment:?}");
            table.push(format!(
                "{drill:<20} {deployment:<11} {:>4} {failed:>6} {jobs:>6} {breaches:>8} {longest_gap_ms:>8}",
                number_of("runs", 1)
            ));
        }
    }
    println!("drill                deployment  runs failed   jobs breaches   gap ms");
    table.iter().for_each(|row| println!("{row}"));
    std::process::exit(i32::from(is_failed));
}
