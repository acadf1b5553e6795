//! Runs a whole fleet on one machine, drills it, and says what was seen.

use scramble::drills::{run, Order, DRILLS};
use scramble::flags::{fail, number, parse};
use scramble::walk::Deployment;

const NAME: &str = "traverse";

fn main() {
    let mut o = getopts::Options::new();
    o.optmulti("", "drill", &format!("one of: {} (default calm), or all", DRILLS.join(", ")), "NAME");
    o.optopt("", "deployment", "glenmorven, tianguis or both (glenmorven)", "NAME");
    o.optopt("", "seconds", "how long callers arrive in each drill (15)", "N");
    o.optopt("", "rate", "hundredths of today's rates (100)", "N");
    o.optopt("", "seed", "of arrivals (1)", "N");
    o.optopt("", "runs", "of each drill, with seeds counting up (1)", "N");
    o.optopt("", "port", "loopback ports are taken from here on (21000)", "N");
    o.optopt(
        "",
        "dir",
        "folder for data, ledgers and logs; emptied first (a new one under the temporary folder)",
        "DIR",
    );
    o.optflag("", "quiet", "only the table");
    let m = parse(NAME, &mut o);
    let mut drills = m.opt_strs("drill");
    if drills.is_empty() {
        drills.push("calm".into());
    }
    if drills == ["all"] {
        drills = DRILLS.iter().map(|d| d.to_string()).collect();
    }
    if let Some(d) = drills.iter().find(|d| !DRILLS.contains(&d.as_str())) {
        fail(NAME, &format!("no drill is called {d}; there are: {}", DRILLS.join(", ")));
    }
    let deps = match m.opt_str("deployment").as_deref() {
        None | Some("glenmorven") => vec![Deployment::Glenmorven],
        Some("tianguis") => vec![Deployment::Tianguis],
        Some("both") => vec![Deployment::Glenmorven, Deployment::Tianguis],
        Some(_) => fail(NAME, "--deployment must be glenmorven, tianguis or both"),
    };
    let n = |k: &str, d| number(NAME, &m, k, d);
    let dir = m.opt_str("dir").map(std::path::PathBuf::from);
    let dir = dir.unwrap_or_else(|| std::env::temp_dir().join(format!("traverse-{}", std::process::id())));
    let (mut table, mut bad) = (vec![], false);
    for drill in &drills {
        for dep in &deps {
            let (mut jobs, mut breaches, mut gap, mut failed) = (0, 0, 0, 0);
            for i in 0..n("runs", 1) {
                let o = Order {
                    drill: drill.clone(),
                    deployment: *dep,
                    seconds: n("seconds", 15),
                    rate: n("rate", 100),
                    seed: n("seed", 1) + i,
                    port: n("port", 21_000) as u16,
                };
                match actix_rt::System::new().block_on(run(&o, &dir)) {
                    Ok(x) => {
                        if !m.opt_present("quiet") {
                            println!("== {drill}, {dep:?}, seed {}\n{}", o.seed, x.text);
                        }
                        x.breaches.iter().take(20).for_each(|b| println!("BREACH {}: {}", b.line, b.what));
                        jobs += x.jobs;
                        breaches += x.breaches.len();
                        gap = gap.max(x.gap_ms);
                    }
                    Err(e) => {
                        println!("== {drill}, {dep:?}, seed {}: the drill itself failed: {e}", o.seed);
                        failed += 1;
                    }
                }
            }
            bad |= breaches + failed > 0;
            let dep = format!("{dep:?}");
            table.push(format!(
                "{drill:<20} {dep:<11} {:>4} {failed:>6} {jobs:>6} {breaches:>8} {gap:>8}",
                n("runs", 1)
            ));
        }
    }
    println!("drill                deployment  runs failed   jobs breaches   gap ms");
    table.iter().for_each(|t| println!("{t}"));
    std::process::exit(i32::from(bad));
}
