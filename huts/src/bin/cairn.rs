//! Compares the views of two or more nodes.

use getopts::Options;
use hutbook::protocol::compare::compare;
use hutbook::transport::http::call;
use std::process::ExitCode;

const NAME: &str = "cairn";
/// Exit codes beside 0, which is agreement.
const DIFFER: u8 = 1;
const USAGE: u8 = 2;
const UNREACHED: u8 = 3;
/// Timeout of one request.
const REQUEST_TIMEOUT_MS: u64 = 2_000;

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optflag("h", "help", "this text");
    options.optflag("V", "version", "the version");
    let args: Vec<String> = std::env::args().skip(1).collect();
    let matches = match options.parse(&args) {
        Ok(matches) => matches,
        Err(e) => return usage(&e.to_string()),
    };
    if matches.opt_present("help") {
        let header = format!(
            "Usage: {NAME} IP:PORT IP:PORT...\n\nCompares the first node's view with each other node's: cluster, config, servers,\n\
             places, evacuations, group members. Name refuges, bothies and trailheads by their HTTP addresses.\n\
             Exit codes: 0 the views agree, 1 they differ, 2 wrong usage, 3 a node can't be reached."
        );
        print!("{}", options.usage(&header));
        return ExitCode::SUCCESS;
    }
    if matches.opt_present("version") {
        println!("{NAME} {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    if matches.free.len() < 2 {
        return usage("at least two nodes are required");
    }
    actix_rt::System::new().block_on(compare_nodes(&matches.free))
}

fn usage(what: &str) -> ExitCode {
    eprintln!("{NAME}: {what}\n{NAME}: try --help");
    ExitCode::from(USAGE)
}

async fn compare_nodes(addrs: &[String]) -> ExitCode {
    let mut views = vec![];
    for addr in addrs {
        let response = call("GET", &format!("http://{addr}/v1/beliefs"), &[], String::new(), REQUEST_TIMEOUT_MS).await;
        match response.ok().filter(|response| response.0 == 200).and_then(|response| jzon::parse(&response.1).ok()) {
            Some(view) => views.push(view),
            None => {
                eprintln!("{NAME}: {addr} does not return its view");
                return ExitCode::from(UNREACHED);
            }
        }
    }
    let mut any_differ = false;
    let name = |i: usize| format!("{} {}", views[i]["kind"].as_str().unwrap_or("node"), addrs[i]);
    for i in 1..views.len() {
        let differences = compare(&views[0], &views[i]);
        println!(
            "{} and {}: {}",
            name(0),
            name(i),
            if differences.is_empty() { "agree".into() } else { format!("{} differences", differences.len()) }
        );
        for difference in &differences {
            println!(
                "  {}: {} here, {} there\n    {}",
                difference.place, difference.left, difference.right, difference.why
            );
        }
        any_differ |= !differences.is_empty();
    }
    ExitCode::from(if any_differ { DIFFER } else { 0 })
}
