//! Logs as JSON lines on stderr.

use crate::constants::DISK_SAY_MS;
use std::io::Write;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

pub fn start(program: &'static str, level: &str) {
    let mut b = env_logger::Builder::new();
    b.filter_level(log::LevelFilter::Warn);
    b.filter_module("hutbook", level.parse().unwrap_or(log::LevelFilter::Info));
    b.filter_module("huts", level.parse().unwrap_or(log::LevelFilter::Info));
    b.filter_module(program, level.parse().unwrap_or(log::LevelFilter::Info));
    b.format(move |f, r| {
        let at = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
        let line = jzon::object! {
            at_ms: at, level: r.level().as_str().to_lowercase(), program: program,
            from: r.module_path().unwrap_or(""), text: r.args().to_string(),
        };
        writeln!(f, "{}", line.dump())
    });
    // a second start in one process keeps the first one's settings
    let _ = b.try_init();
}

/// When something that goes on was last said.
#[derive(Default)]
pub struct Seldom(Option<Instant>);

impl Seldom {
    /// Is it time to say it again?
    pub fn again(&mut self) -> bool {
        let due = self.0.is_none_or(|t| t.elapsed().as_millis() as u64 >= DISK_SAY_MS);
        if due {
            self.0 = Some(Instant::now());
        }
        due
    }
}
