//! Runs the soak test for a range of seeds, each on a new fleet of real processes, and prints the findings.

use scramble::flags::{fail, number, parse};
use scramble::soak::plan::KINDS;
use scramble::soak::report;
use scramble::soak::shape::{first_ephemeral_port, max_supported_processes, MIN_PROCESSES, PORTS_PER_PROCESS};
use scramble::soak::{run, Settings};
use std::path::PathBuf;

const NAME: &str = "soak";

fn kinds(list: Option<String>) -> Vec<String> {
    let Some(list) = list else { return KINDS.iter().map(|kind| kind.to_string()).collect() };
    let named: Vec<String> = list.split(',').map(|kind| kind.trim().to_string()).collect();
    if let Some(unknown) = named.iter().find(|kind| !KINDS.contains(&kind.as_str())) {
        fail(NAME, &format!("--faults: no event is called '{unknown}'; there are: {}", KINDS.join(", ")));
    }
    named
}

/// Reads all settings and checks them before anything starts.
fn settings(matches: &getopts::Matches) -> (Settings, u64) {
    let number_of = |key, default| number(NAME, matches, key, default);
    let seeds = number_of("seeds", 1);
    if seeds == 0 {
        fail(NAME, "--seeds must be 1 or more");
    }
    let (processes, supported) = (number_of("processes", 9) as usize, max_supported_processes());
    if processes < MIN_PROCESSES {
        fail(NAME, &format!("--processes is {processes}; the smallest fleet has {MIN_PROCESSES}"));
    }
    if processes > supported {
        fail(
            NAME,
            &format!("--processes is {processes}; this machine supports {supported} (half of its memory, 300 at most)"),
        );
    }
    let port = number_of("port", 27_000);
    let (ports, ephemeral) = (PORTS_PER_PROCESS * processes, first_ephemeral_port());
    if port < 1_024 || port as usize + ports > ephemeral {
        fail(NAME, &format!("--port is {port}; {ports} ports from it on must lie between 1024 and {ephemeral}"));
    }
    let folder = matches.opt_str("out").map(PathBuf::from);
    let folder = folder.unwrap_or_else(|| std::env::temp_dir().join(format!("soak-{}", std::process::id())));
    if let Err(error) = std::fs::create_dir_all(&folder) {
        fail(NAME, &format!("--out {}: {error}", folder.display()));
    }
    let settings = Settings {
        seed: number_of("first-seed", 1),
        seconds: number_of("seconds", 20).max(1),
        processes,
        kinds: kinds(matches.opt_str("faults")),
        folder,
        port: port as u16,
        recovery_ms: number_of("recovery-ms", 10_000),
        is_quiet: matches.opt_present("quiet"),
    };
    (settings, seeds)
}

/// Runs one seed. Returns true if nothing was found. The folder is kept only if there are findings or `--out` was
/// given.
async fn run_seed(settings: &Settings, keeps_folder: bool) -> bool {
    match run(settings).await {
        Ok(outcome) => {
            println!("{}", report::summary(settings.seed, &outcome));
            if !outcome.findings.is_empty() {
                println!("{}", report::findings(settings, &outcome));
            }
            if let Err(error) = report::write(&settings.folder, &outcome) {
                eprintln!("{NAME}: {}: {error}", settings.folder.display());
            }
            if outcome.findings.is_empty() && !keeps_folder {
                let _ = std::fs::remove_dir_all(&settings.folder);
            } else {
                println!("kept in {}", settings.folder.display());
            }
            outcome.findings.is_empty()
        }
        Err(error) => {
            println!("seed {}: the run itself failed: {error}", settings.seed);
            false
        }
    }
}

fn main() {
    let mut options = getopts::Options::new();
    options.optopt("", "first-seed", "the first seed (1)", "N");
    options.optopt("", "seeds", "how many seeds, counting up (1)", "K");
    options.optopt("", "seconds", "how long events occur in each run (20)", "S");
    let supported = max_supported_processes();
    options.optopt("", "processes", &format!("daemons of a fleet (9; this machine supports {supported})"), "P");
    options.optopt("", "faults", &format!("kinds of events, separated by commas: {}", KINDS.join(", ")), "LIST");
    options.optopt(
        "",
        "recovery-ms",
        "time in which requests must be served again after all processes are back (10000)",
        "MS",
    );
    options.optopt("", "port", "first loopback port to use (27000)", "N");
    options.optopt("", "out", "folder for the plan, history, logs and plot of each run", "DIR");
    options.optflag("", "quiet", "print only the figures and findings of each run, no progress");
    let matches = parse(NAME, &mut options);
    let (settings, seeds) = settings(&matches);
    let keeps_folder = matches.opt_present("out");
    let mut failed_seeds = 0;
    for seed in settings.seed..settings.seed + seeds {
        let folder = settings.folder.join(format!("seed-{seed}"));
        let settings = Settings { seed, folder, ..settings.clone() };
        let is_clean = actix_rt::System::new().block_on(async {
            tokio::select! {
                clean = run_seed(&settings, keeps_folder) => Some(clean),
                // dropping the run kills the processes of the fleet
                _ = tokio::signal::ctrl_c() => None,
            }
        });
        match is_clean {
            Some(clean) => failed_seeds += u64::from(!clean),
            None => {
                println!("interrupted at seed {seed}");
                std::process::exit(130);
            }
        }
    }
    println!("{seeds} seeds, {failed_seeds} with findings");
    std::process::exit(i32::from(failed_seeds > 0));
}
