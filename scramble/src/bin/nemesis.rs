//! Runs many days of the in-memory fleet: random days, the drill catalogue, the invariant table, long or full-state
//! days. Prints which of them violated an invariant, and how.

use scramble::check::{RULES, SPECIFIED_RULES};
use scramble::fault_catalogue::{run, DrillResult, DRILLS};
use scramble::flags::{fail, number, parse};
use scramble::invariant_table::{evaluate_day, Failure, FAILURES};
use scramble::linearize::{check_day, program_history, CheckTotals};
use scramble::long_day::{check_invariants, report, run_long_day, ClosingFault, Plan};
use scramble::nemesis::{full_state_plan, run_full_state_day, run_random_day, FULL_STATE_KINDS, KINDS};
use scramble::scale::measure;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

const NAME: &str = "nemesis";

/// Prints a table of drills with seeds, jobs, breaches and time without service; returns true on any breach.
fn catalogue(from: u64, seeds: u64, threads: u64) -> bool {
    let mut has_breach = false;
    println!("drill                                 seeds   jobs   done breaches  without service ms: median, worst");
    for drill in &DRILLS {
        let rows = Mutex::new(vec![]);
        run_seeds(from, seeds, threads, |seed| {
            let row = run(drill, seed);
            rows.lock().unwrap().push(row);
        });
        let rows = rows.into_inner().unwrap();
        let mut gaps: Vec<u64> = rows.iter().map(|r| r.longest_gap_ms).collect();
        gaps.sort_unstable();
        let sum = |f: fn(&DrillResult) -> usize| rows.iter().map(f).sum::<usize>();
        let breaches = sum(|r| r.breaches.len());
        let (median, worst) = (gaps.get(gaps.len() / 2).unwrap_or(&0), gaps.last().unwrap_or(&0));
        println!(
            "{:<37} {seeds:>5} {:>6} {:>6} {breaches:>8} {median:>26} {worst:>6}",
            drill.0,
            sum(|r| r.jobs),
            sum(|r| r.done)
        );
        rows.iter().flat_map(|r| &r.breaches).take(3).for_each(|x| println!("  {x}"));
        has_breach |= breaches > 0;
    }
    has_breach
}

/// Prints a table of every invariant under every failure; returns true on any breach, or if some invariant was never
/// exposed to some failure.
fn table(from: u64, seeds: u64, threads: u64, only_failures: &[String]) -> bool {
    let mut failed = false;
    let (mut sums, mut gaps) = (vec![], vec![]);
    let failures: Vec<&Failure> =
        FAILURES.iter().filter(|f| only_failures.is_empty() || only_failures.iter().any(|u| u == f.name)).collect();
    for f in &failures {
        let columns = Mutex::new(vec![]);
        run_seeds(from, seeds, threads, |seed| {
            let c = std::panic::catch_unwind(|| evaluate_day(f, seed));
            match c {
                Ok(c) => columns.lock().unwrap().push(c),
                Err(_) => println!("{}, seed {seed}: the day itself failed", f.name),
            }
        });
        let columns = columns.into_inner().unwrap();
        failed |= columns.len() < seeds as usize;
        let all: Vec<_> = columns.iter().flat_map(|c| &c.breaches).collect();
        all.iter().take(6).for_each(|(line, b)| println!("{line}: {b}"));
        failed |= !all.is_empty();
        let of = |i: usize| -> usize { columns.iter().map(|c| c.exposed[i]).sum() };
        let broken = |line: &str| all.iter().filter(|b| b.0 == line).count();
        gaps.push(columns.iter().map(|c| c.longest_gap_ms).max().unwrap_or(0));
        sums.push(RULES.iter().enumerate().map(|(i, l)| (of(i), broken(l.0))).collect::<Vec<_>>());
    }
    println!("{seeds} days under each failure, seeds from {from}: times exposed while it was on / breaches");
    print!("{:<40}", "");
    failures.iter().for_each(|f| print!(" {:>12}", f.name));
    println!();
    for (i, l) in RULES.iter().enumerate() {
        print!("{:<40}", l.0);
        for c in &sums {
            let open = i < SPECIFIED_RULES && c[i].0 == 0;
            failed |= open;
            let s = if open { "OPEN".to_string() } else { format!("{}/{}", c[i].0, c[i].1) };
            print!(" {s:>12}");
        }
        println!();
    }
    print!("{:<40}", "longest time without service, ms");
    gaps.iter().for_each(|g| print!(" {g:>12}"));
    println!();
    failed
}

/// Upper bound of a day's duration on one thread of a busy machine, in seconds.
const MAX_DAY_S: u64 = 4;

/// Checks that there is something to run and that it fits the time limit: a run that did nothing or was aborted would
/// look like a success.
fn check_limits(from: u64, seeds: u64, days_per_seed: u64, threads: u64, max_minutes: u64) -> Result<(), String> {
    if seeds == 0 || from.checked_add(seeds).is_none() {
        return Err(format!("{seeds} seeds from {from} are no days at all"));
    }
    let minutes = seeds.saturating_mul(days_per_seed).saturating_mul(MAX_DAY_S) / threads.clamp(1, 64) / 60;
    if minutes > max_minutes {
        return Err(format!("{seeds} seeds may take {minutes} minutes, more than --within {max_minutes}"));
    }
    Ok(())
}

/// Runs random days; returns true on any breach. A day with a breach is printed at once, since the rest may take hours.
fn days(from: u64, seeds: u64, steps: u64, threads: u64, print_log: bool) -> bool {
    let bad = AtomicU64::new(0);
    let sums = Mutex::new(([0u64; 4], 0, (0, 0)));
    let kinds = Mutex::new(BTreeMap::<&str, (u64, u64)>::new());
    let histories = Mutex::new(CheckTotals::default());
    run_seeds(from, seeds, threads, |seed| match std::panic::catch_unwind(|| run_random_day(seed, steps)) {
        Ok(day) => {
            for (kind, times) in &day.kinds {
                let mut all = kinds.lock().unwrap();
                let of = all.entry(kind).or_default();
                *of = (of.0 + times, of.1 + 1);
            }
            histories.lock().unwrap().add(&check_day(&day.observed).0);
            let mut totals = sums.lock().unwrap();
            totals.0[0] += day.observed.jobs.len() as u64;
            totals.0[1] += day.observed.jobs.iter().filter(|j| j.verdicts.iter().any(|v| v.1 == "done")).count() as u64;
            totals.0[2] += day.observed.runs.len() as u64;
            totals.1 = totals.1.max(day.observed.stall_spans.iter().map(|x| x.1 - x.0).max().unwrap_or(0));
            if day.majority_kept {
                totals.0[3] += 1;
                totals.2 = totals.2.max((day.max_outage_ms, seed));
            }
            if day.breaches.is_empty() {
                return;
            }
            bad.fetch_add(1, Ordering::Relaxed);
            println!("seed {seed}: {} breaches", day.breaches.len());
            for (line, _) in &RULES {
                let of = day.breaches.iter().filter(|b| b.rule == *line);
                of.take(3).for_each(|b| println!("  {line}: {}", b.description));
            }
            let programs =
                day.breaches.iter().filter_map(|b| b.description.strip_prefix("program ")?.split(':').next());
            if print_log {
                programs.flat_map(|p| program_history(&day.observed, p)).for_each(|line| println!("    {line}"));
                day.action_log.iter().for_each(|x| println!("    {x}"));
                day.observed
                    .quorum_losses
                    .iter()
                    .for_each(|x| println!("    {} to {} ms: no majority of {}", x.0, x.1, x.2));
            }
        }
        Err(_) => {
            bad.fetch_add(1, Ordering::Relaxed);
            println!("seed {seed}: the day itself failed");
        }
    });
    let bad = bad.into_inner();
    let (totals, still, (gap, gap_seed)) = sums.into_inner().unwrap();
    println!(
        "days {seeds} (seeds from {from}), blows {}, jobs {}, done {}, runs {}, days with a breach {bad}",
        seeds * steps,
        totals[0],
        totals[1],
        totals[2]
    );
    println!(
        "days that kept a majority of both groups within reach {}, longest time without service on them {gap} ms (seed {gap_seed})",
        totals[3]
    );
    println!("longest that a group stood still although a majority could be had {still} ms");
    let checked = histories.into_inner().unwrap();
    println!(
        "histories checked {}, operations {}, of these unclear {}, too large to decide {}",
        checked.histories, checked.operations, checked.unclear, checked.too_large
    );
    println!("{:<40} {:>6} {:>6}", "brought about", "times", "days");
    let kinds = kinds.into_inner().unwrap();
    for kind in KINDS {
        let (times, days) = kinds.get(kind).copied().unwrap_or_default();
        println!("{kind:<40} {times:>6} {days:>6}");
    }
    bad > 0
}

/// Runs the grown load for ten retention periods with each closing fault, and twice that load; returns true on any
/// violation.
fn long_days(from: u64, seeds: u64, threads: u64, scale: u64) -> bool {
    let grown = Plan::grown(scale);
    let plans = [
        ("all without power", grown.clone()),
        ("a disk lost as well", Plan { closing: ClosingFault::PowerAndDisk, ..grown.clone() }),
        ("twice the load", Plan { load_percent: 200, ..grown }),
    ];
    let bad = AtomicU64::new(0);
    let all = seeds * plans.len() as u64;
    run_seeds(from * plans.len() as u64, all, threads, |number| {
        let (seed, (name, plan)) = (number / plans.len() as u64, &plans[number as usize % plans.len()]);
        let seen = run_long_day(seed, plan);
        let breaches = check_invariants(plan, &seen);
        bad.fetch_add(u64::from(!breaches.is_empty()), Ordering::Relaxed);
        let lines = report(&seen, &breaches).join("\n  ");
        println!("long day, {name}, seed {seed}, scale {scale}:\n  {lines}");
    });
    let bad = bad.into_inner();
    println!("long days {all}, with a breach {bad}");
    bad > 0
}

/// Runs days with nearly full stores; returns true on any violation.
fn full_state_days(from: u64, seeds: u64, threads: u64, print_log: bool) -> bool {
    let bad = AtomicU64::new(0);
    let kinds = Mutex::new(BTreeMap::<&str, (u64, u64)>::new());
    run_seeds(from, seeds, threads, |seed| {
        let Ok(day) = std::panic::catch_unwind(|| run_full_state_day(seed)) else {
            bad.fetch_add(1, Ordering::Relaxed);
            return println!("seed {seed}: the day itself failed: {:?}", full_state_plan(seed));
        };
        for (kind, times) in &day.kinds {
            let mut all = kinds.lock().unwrap();
            let of = all.entry(kind).or_default();
            *of = (of.0 + times, of.1 + 1);
        }
        if day.violations.is_empty() {
            return;
        }
        bad.fetch_add(1, Ordering::Relaxed);
        println!("seed {seed}: {} breaches", day.violations.len());
        day.violations.iter().for_each(|violation| println!("  {}: {}", violation.invariant, violation.detail));
        if print_log {
            println!("    {:?}", day.plan);
            report(&day.record, &[]).iter().for_each(|line| println!("    {line}"));
        }
    });
    let bad = bad.into_inner();
    println!("full-state days {seeds} (seeds from {from}), days with a breach {bad}");
    println!("{:<40} {:>6} {:>6}", "brought about", "times", "days");
    let kinds = kinds.into_inner().unwrap();
    for kind in FULL_STATE_KINDS {
        let (times, days) = kinds.get(kind).copied().unwrap_or_default();
        println!("{kind:<40} {times:>6} {days:>6}");
    }
    bad > 0
}

/// Runs a function for each seed, several at once.
fn run_seeds(from: u64, seeds: u64, threads: u64, job: impl Fn(u64) + Sync) {
    let next = AtomicU64::new(from);
    std::thread::scope(|s| {
        for _ in 0..threads.clamp(1, 64) {
            s.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= from + seeds {
                    return;
                }
                job(seed);
            });
        }
    });
}

fn main() {
    let mut options = getopts::Options::new();
    options.optopt("", "from", "first seed (1)", "N");
    options.optopt("", "seeds", "how many (100)", "N");
    options.optopt("", "blows", "faults and operators' commands of each day (20)", "N");
    options.optopt("", "threads", "days at once (4)", "N");
    options.optflag("", "deeds", "print the log of faults and commands of every day with a breach");
    options.optflag("", "catalogue", "not random days, but every drill of the catalogue with each seed");
    options.optflag("", "table", "every invariant under every failure: how often exposed, and breaches");
    options.optmulti("", "under", "with --table: only under this failure (may be repeated)", "NAME");
    options.optopt("", "within", "minutes the run may take (360)", "N");
    options.optflag("", "long-days", "ten retention periods of the grown load, then a total power loss, for each seed");
    options.optopt("", "part", "with --long-days: divisor of a full machine's capacity and load (10)", "N");
    options.optflag("", "full-state", "days with nearly full stores and additional faults, for each seed");
    options.optflag("", "scale", "how messages and CPU time grow with edges and servers");
    let matches = parse(NAME, &mut options);
    let n = |k: &str, d| number(NAME, &matches, k, d);
    let (from, seeds, steps) = (n("from", 1), n("seeds", 100), n("blows", 20));
    if matches.opt_present("scale") {
        println!("edges servers  letters/s  letters/s and edge  ms of work for a second of the fleet");
        for (e, s) in [(6, 12), (50, 250), (100, 500), (200, 1_000)] {
            let x = measure(e, s);
            let each = x.messages_per_s as f64 / x.edges as f64;
            println!("{:>5} {:>7} {:>10} {each:>19.1} {:>38.0}", x.edges, x.servers, x.messages_per_s, x.cpu_ms_per_s);
        }
        return;
    }
    let days_per_seed =
        match (matches.opt_present("table"), matches.opt_present("catalogue"), matches.opt_present("long-days")) {
            (true, _, _) => FAILURES.len(),
            (_, true, _) => DRILLS.len(),
            // three plans, each of which takes as long as ten days
            (_, _, true) => 30,
            _ => 1,
        };
    if let Err(why) = check_limits(from, seeds, days_per_seed as u64, n("threads", 4), n("within", 360)) {
        fail(NAME, &why);
    }
    if matches.opt_present("long-days") {
        let part = n("part", 10);
        if part == 0 {
            fail(NAME, "--part must be at least 1");
        }
        std::process::exit(i32::from(long_days(from, seeds, n("threads", 4), part)));
    }
    if matches.opt_present("full-state") {
        std::process::exit(i32::from(full_state_days(from, seeds, n("threads", 4), matches.opt_present("deeds"))));
    }
    if matches.opt_present("table") {
        let only_failures = matches.opt_strs("under");
        if let Some(u) = only_failures.iter().find(|u| FAILURES.iter().all(|f| f.name != u.as_str())) {
            let names: Vec<&str> = FAILURES.iter().map(|f| f.name).collect();
            fail(NAME, &format!("no failure is called {u}; there are: {}", names.join(", ")));
        }
        std::process::exit(i32::from(table(from, seeds, n("threads", 4), &only_failures)));
    }
    if matches.opt_present("catalogue") {
        std::process::exit(i32::from(catalogue(from, seeds, n("threads", 4))));
    }
    std::process::exit(i32::from(days(from, seeds, steps, n("threads", 4), matches.opt_present("deeds"))));
}
