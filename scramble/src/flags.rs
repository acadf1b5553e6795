//! Command-line flags of the test programs.

use getopts::{Matches, Options};

/// Parses the command line. Exits with 2 and a message if it is invalid, and with 0 for --help.
pub fn parse(name: &str, o: &mut Options) -> Matches {
    o.optflag("h", "help", "this text");
    let args: Vec<String> = std::env::args().skip(1).collect();
    match o.parse(&args) {
        Ok(m) if m.opt_present("help") => {
            print!("{}", o.usage(&format!("Usage: {name} [options]")));
            std::process::exit(0)
        }
        Ok(m) => m,
        Err(e) => fail(name, &e.to_string()),
    }
}

pub fn fail(name: &str, what: &str) -> ! {
    eprintln!("{name}: {what}");
    std::process::exit(2)
}

/// Returns the value of a numeric flag, or its default. Exits with 2 if it is not a whole number.
pub fn number(name: &str, m: &Matches, key: &str, default: u64) -> u64 {
    match m.opt_str(key).map(|s| s.parse()) {
        None => default,
        Some(Ok(n)) => n,
        Some(Err(_)) => fail(name, &format!("--{key} must be a whole number")),
    }
}
