//! Settings of a process: from a settings file, from flags, or both; flags win.

use super::findings::{is_name, Finding, Reader};
use super::memory_check;
use crate::constants::{DAY_MS, MAX_MEMORY_MB, MIN_DESCRIPTORS, MIN_DISK_MB};
use crate::coordination::control::RedundancySettings;
use getopts::Options;
use std::net::SocketAddr;
use std::path::PathBuf;

#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Address at which other processes reach this one; unused in programs that only call.
    pub wire: SocketAddr,
    /// Address that peers are given instead, if they reach this process at another one, as behind a relay.
    pub advertise: Option<SocketAddr>,
    /// Address at which clients or operators reach this process.
    pub http: SocketAddr,
    pub zone: String,
    pub seeds: Vec<SocketAddr>,
    pub data: Option<PathBuf>,
    pub log: String,
    /// How long a planned stop waits for work in progress, in milliseconds; by default as long as any work may last.
    pub stop_ms: Option<u64>,
    /// Form a new cluster: set by hand, once, on one machine.
    pub bootstraps_cluster: bool,
    /// Form a new cluster together with these members, including this one: the same list on each, and only on the
    /// fleet's first start. An empty data directory without it always joins an existing cluster.
    pub bootstrap_members: Vec<SocketAddr>,
    /// What operators call this machine; empty if it has no name.
    pub name: String,
    /// Address that serves only readiness.
    pub ready: Option<SocketAddr>,
    /// Address of the listener for proxied requests.
    pub proxy_addr: Option<SocketAddr>,
    /// Number of threads that serve HTTP; by default as many as the machine can use.
    pub workers: Option<usize>,
    /// How long a stopping edge still accepts connections, in milliseconds: until load balancers have seen that it is
    /// not ready.
    pub drain_ms: u64,
    /// The machine's memory in MB, of which each part of the process takes its share. If absent, the parts are bounded
    /// by constants only.
    pub memory_mb: Option<u64>,
    /// Number of descriptors that the process may open; the system's limit applies as well.
    pub descriptors: Option<u64>,
    /// The machine's disk in MB, of which a store takes a share for texts. If absent, it is bounded by a constant.
    pub disk_mb: Option<u64>,
    pub shape: RedundancySettings,
}

impl Settings {
    /// Returns the address that peers are given.
    pub fn advertised_addr(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.wire)
    }
}

/// Role of the program that reads its settings.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum NodeRole {
    Controller,
    Store,
    Edge,
}

impl NodeRole {
    pub fn name(self) -> &'static str {
        match self {
            NodeRole::Controller => "refuge",
            NodeRole::Store => "bothy",
            NodeRole::Edge => "trailhead",
        }
    }

    fn about(self) -> &'static str {
        match self {
            NodeRole::Controller => "replicates the fleet's control state and manages the fleet (controller)",
            NodeRole::Store => "stores programs and jobs (store)",
            NodeRole::Edge => "serves clients and dispatches their requests (edge)",
        }
    }
}

pub enum Start {
    Run(Box<Settings>),
    /// Help, version or check result: to be printed before exiting with success.
    Print(String),
}

fn options(role: NodeRole) -> Options {
    let mut options = Options::new();
    options.optopt("s", "settings", "JSON file with the settings below, under their long names", "FILE");
    options.optopt("w", "wire", "address at which other processes reach this one", "IP:PORT");
    options.optopt("", "advertise", "address that peers are given instead, if they reach it at another one", "IP:PORT");
    options.optopt("H", "http", "address at which clients and operators reach this one", "IP:PORT");
    options.optopt("c", "cell", "the zone in which this process runs", "NAME");
    options.optmulti("S", "seed", "wire address of another process, for first contact (up to three)", "IP:PORT");
    options.optopt("", "name", "what operators call this machine", "NAME");
    options.optopt("", "ready", "additional address that serves only readiness (GET /readyz or /ready)", "IP:PORT");
    options.optopt("l", "log", "log level: error, warn, info or debug (default info)", "LEVEL");
    if role == NodeRole::Edge {
        options.optopt("", "front", "address of the listener for proxied requests", "IP:PORT");
        options.optopt(
            "",
            "stop-s",
            "how long a planned stop waits for work in progress (default: as long as any may last)",
            "S",
        );
    }
    options.optopt(
        "",
        "descriptors",
        "number of descriptors that the process may open (default: the system's limit)",
        "N",
    );
    options.optopt("", "memory-mb", "memory of the machine; each part of the process takes its share of it", "MB");
    if role != NodeRole::Edge {
        options.optopt("d", "data", "data directory; created if it is missing", "DIR");
    }
    if role == NodeRole::Store {
        options.optopt("", "disk-mb", "disk of the machine; texts of turns take their share of it", "MB");
    }
    if role == NodeRole::Controller {
        options.optflag("", "found", "form a new cluster; only on one machine, and only once");
    }
    options.optflag("", "check", "check the settings, report what is wrong with them, and exit");
    options.optflag("h", "help", "print this text");
    options.optflag("V", "version", "print the version");
    options
}

pub fn read(role: NodeRole, args: &[String]) -> Result<Start, Vec<Finding>> {
    let options = options(role);
    let flag = |error: getopts::Fail| vec![Finding { place: "flags".into(), what: error.to_string() }];
    let matches = options.parse(args).map_err(flag)?;
    if matches.opt_present("help") {
        let head = format!(
            "{} {}: {}\n\nUsage: {} [options]",
            role.name(),
            env!("CARGO_PKG_VERSION"),
            role.about(),
            role.name()
        );
        return Ok(Start::Print(options.usage(&head)));
    }
    if matches.opt_present("version") {
        return Ok(Start::Print(format!("{} {}\n", role.name(), env!("CARGO_PKG_VERSION"))));
    }
    let mut reader = Reader::default();
    matches.free.iter().for_each(|argument| reader.report("flags", format!("unexpected argument {argument}")));
    let file = matches.opt_str("settings").map(|file_path| match std::fs::read_to_string(&file_path) {
        Ok(text) => reader.parse(&text).unwrap_or(jzon::JsonValue::Null),
        Err(error) => {
            reader.report(&file_path, error.to_string());
            jzon::JsonValue::Null
        }
    });
    let none = jzon::object! {};
    let file = file.as_ref().unwrap_or(&none);
    let mut known_keys = vec!["wire", "advertise", "http", "cell", "seeds", "log", "name", "ready"];
    known_keys.extend((role == NodeRole::Edge).then_some("front"));
    known_keys.extend(["memory_mb", "descriptors"]);
    known_keys.extend((role == NodeRole::Store).then_some("disk_mb"));
    known_keys.push(if role == NodeRole::Edge { "stop_s" } else { "data" });
    if !file.is_null() {
        reader.check_keys("", file, &known_keys);
    }
    let pick = |reader: &mut Reader, key: &str| {
        matches.opt_str(key).or_else(|| (!file[key].is_null()).then(|| reader.text("", file, key, None)))
    };
    let address = |reader: &mut Reader, key: &str, text: Option<String>| match text {
        None => {
            reader.report(key, "is missing");
            SocketAddr::from(([127, 0, 0, 1], 0))
        }
        Some(text) => socket(reader, key, &text),
    };
    let (wire, http) = (pick(&mut reader, "wire"), pick(&mut reader, "http"));
    let (wire, http) = (address(&mut reader, "wire", wire), address(&mut reader, "http", http));
    let advertise = pick(&mut reader, "advertise").map(|text| socket(&mut reader, "advertise", &text));
    if wire == http && wire.port() != 0 {
        reader.report("http", "is the same address as wire");
    }
    let zone = pick(&mut reader, "cell").unwrap_or_default();
    if !is_name(&zone) {
        reader.report("cell", "must be a name: up to 128 letters, digits, and -_.:");
    }
    let machine_name = pick(&mut reader, "name").unwrap_or_default();
    if !machine_name.is_empty() && !is_name(&machine_name) {
        reader.report("name", "must be a name: up to 128 letters, digits, and -_.:");
    }
    let ready = pick(&mut reader, "ready").map(|text| socket(&mut reader, "ready", &text));
    let front = if role == NodeRole::Edge { pick(&mut reader, "front") } else { None };
    let front = front.map(|text| socket(&mut reader, "front", &text));
    let log = pick(&mut reader, "log").unwrap_or_else(|| "info".into());
    if !["error", "warn", "info", "debug"].contains(&log.as_str()) {
        reader.report("log", "must be error, warn, info or debug");
    }
    let data = if role == NodeRole::Edge { None } else { pick(&mut reader, "data").map(PathBuf::from) };
    if role != NodeRole::Edge && data.is_none() {
        reader.report("data", "is missing");
    }
    let flag = if role == NodeRole::Edge { matches.opt_str("stop-s") } else { None };
    let stop_ms = match flag.map(|text| text.parse::<u64>()) {
        Some(Ok(seconds)) if seconds <= DAY_MS / 1_000 => Some(seconds * 1_000),
        Some(_) => {
            reader.report("stop-s", "must be a number of seconds, at most one day");
            None
        }
        None if file["stop_s"].is_null() => None,
        None => Some(reader.integer("", file, "stop_s", None, 0, DAY_MS / 1_000) * 1_000),
    };
    let descriptors = match matches.opt_str("descriptors").map(|text| text.parse::<u64>()) {
        Some(Ok(number)) if number >= MIN_DESCRIPTORS => Some(number),
        Some(_) => {
            reader.report("descriptors", format!("must be a number, at least {MIN_DESCRIPTORS}"));
            None
        }
        None if file["descriptors"].is_null() => None,
        None => Some(reader.integer("", file, "descriptors", None, MIN_DESCRIPTORS, u64::MAX >> 1)),
    };
    let min_mb = memory_check::min_mb(role);
    let memory_mb = megabytes(&mut reader, file, ("memory-mb", "memory_mb"), matches.opt_str("memory-mb"), (0, min_mb));
    if let Some((place, why)) = memory_mb.and_then(|(place, mb)| Some((place, memory_check::shortfall(role, mb)?))) {
        reader.report(place, why);
    }
    let disk_flag = if role == NodeRole::Store { matches.opt_str("disk-mb") } else { None };
    let disk_mb = megabytes(&mut reader, file, ("disk-mb", "disk_mb"), disk_flag, (MIN_DISK_MB, MIN_DISK_MB));
    let disk_mb = disk_mb.map(|(_, mb)| mb);
    let memory_mb = memory_mb.map(|(_, mb)| mb);
    let mut seeds = matches.opt_strs("seed");
    if seeds.is_empty() && !file["seeds"].is_null() {
        if !file["seeds"].is_array() {
            reader.report("seeds", "must be a list of addresses");
        }
        for (i, text) in file["seeds"].members().enumerate() {
            match text.as_str() {
                Some(text) => seeds.push(text.to_string()),
                None => reader.report(&format!("seeds[{i}]"), "must be a text"),
            }
        }
    }
    let found = role == NodeRole::Controller && matches.opt_present("found");
    if seeds.is_empty() && !found {
        reader.report("seeds", "are missing: a process needs the address of another one to join its fleet");
    }
    if seeds.len() > 3 {
        reader.report("seeds", "must be at most three");
    }
    let seeds = seeds.iter().enumerate().map(|(i, text)| socket(&mut reader, &format!("seeds[{i}]"), text)).collect();
    if !reader.findings.is_empty() {
        return Err(reader.findings);
    }
    if matches.opt_present("check") {
        let memory =
            memory_mb.map_or(String::new(), |mb| format!("memory: {}\n", memory_check::describe_parts(role, mb)));
        return Ok(Start::Print(format!("the settings are in order\n{memory}")));
    }
    let settings = Settings {
        wire,
        advertise,
        http,
        zone,
        seeds,
        data,
        log,
        stop_ms,
        bootstraps_cluster: found,
        bootstrap_members: vec![],
        name: machine_name,
        ready,
        proxy_addr: front,
        workers: None,
        drain_ms: 0,
        memory_mb,
        descriptors,
        disk_mb,
        shape: RedundancySettings::default(),
    };
    Ok(Start::Run(Box::new(settings)))
}

/// Reads a size of the machine, from its flag or else from the settings file, and returns it with the name it was given
/// under. `names` are those of the flag and the field; of `least`, the first is the minimum that is accepted and the
/// second the one that is reported.
fn megabytes<'a>(
    reader: &mut Reader,
    file: &jzon::JsonValue,
    names: (&'a str, &'a str),
    flag: Option<String>,
    least: (u64, u64),
) -> Option<(&'a str, u64)> {
    let (flag_name, field) = names;
    match flag.map(|mb| mb.parse::<u64>()) {
        Some(Ok(mb)) if (least.0..=MAX_MEMORY_MB).contains(&mb) => Some((flag_name, mb)),
        Some(_) => {
            reader.report(flag_name, format!("must be a number of megabytes from {} to {MAX_MEMORY_MB}", least.1));
            None
        }
        None if file[field].is_null() => None,
        None => Some((field, reader.integer("", file, field, None, least.0, MAX_MEMORY_MB))),
    }
}

fn socket(reader: &mut Reader, place: &str, text: &str) -> SocketAddr {
    match text.parse::<SocketAddr>() {
        Ok(addr) if addr.port() != 0 && !addr.ip().is_unspecified() => addr,
        _ => {
            reader.report(place, format!("{text} must be an IP address and a port that other machines can reach"));
            SocketAddr::from(([127, 0, 0, 1], 0))
        }
    }
}

#[cfg(test)]
mod tests;
