//! Cases of the second review: the project's own programs as processes, against small stand-ins.
//!
//! `rig-2 CASE ROOT RECORD`. Exit code 1: the rule was broken; 0: it held; 2: the case couldn't run.

mod clients;
mod first_absence;
mod first_loss;
mod first_start;
mod fleet;
mod gone;
mod http;
mod record;
mod servers;
mod setup;

use std::process::ExitCode;

/// Whether the disruption is part of this run.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, root, record] = args.as_slice() else {
        eprintln!("usage: rig-2 CASE ROOT RECORD");
        return ExitCode::from(2);
    };
    let broken = match case.as_str() {
        "first-absence" => first_absence::run(root, record),
        "first-loss" => first_loss::run(root, record),
        "first-start" => first_start::run(root, record),
        "gone" => gone::run(root, record),
        _ => None,
    };
    match broken {
        Some(true) => ExitCode::from(1),
        Some(false) => ExitCode::SUCCESS,
        None => ExitCode::from(2),
    }
}
