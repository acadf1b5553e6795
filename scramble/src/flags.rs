//! Command lines of the proof programs.

use getopts::{Matches, Options};

/// Parses, or prints what is wrong and ends with 2; --help ends well.
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

/// A number flag with a default; anything else ends the program.
pub fn number(name: &str, m: &Matches, key: &str, default: u64) -> u64 {
    match m.opt_str(key).map(|s| s.parse()) {
        None => default,
        Some(Ok(n)) => n,
        Some(Err(_)) => fail(name, &format!("--{key} must be a whole number")),
    }
}
