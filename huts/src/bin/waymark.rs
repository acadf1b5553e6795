//! The operators' command line. Each command is one request to the control group.

use getopts::Options;
use hutbook::protocol::config;
use hutbook::transport::http::call;
use hutbook::transport::network_environment::random_u64;
use huts::report::{read_records, render};
use std::process::ExitCode;
use std::time::Duration;

const NAME: &str = "waymark";
/// Exit codes: the request was refused; wrong usage; no controller could be reached.
const REFUSED: u8 = 1;
const USAGE: u8 = 2;
const UNREACHED: u8 = 3;
/// Timeout of one request, during which the controller itself searches for its leader.
const REQUEST_TIMEOUT_MS: u64 = 7_000;
/// Polling interval of --wait.
const POLL_INTERVAL_MS: u64 = 200;

const COMMANDS: &str = "Commands:
  config get [--revision N]          the configuration in force, or an earlier one
  config put FILE [--base N] [--change ID]
                                     put a new one, based on revision N (default: the one in force)
  config check FILE                  validate a file locally, without contacting the fleet
  config history                     retained revisions
  server list                        all servers
  server add NAME --group G --address IP:PORT --cell C
  server leave NAME                  gets no new work from about 3 s on
  server remove NAME                 forget it
  cell evacuate CELL [--wait]        stop sending new work there; --wait until that is certain
  cell status CELL                   progress of the evacuation
  cell return CELL                   use the zone again
  store retire NODE [--wait]         take a bothy out of its group
  store status NODE                  progress of the retirement
  core members                       members of the control group
  core remove NODE                   remove a refuge from the control group
  places                             which servers each group uses
  scaler                             the scaler's decisions, with their reasons
  status                             overview
  report LOG...                      summarize the daemons' logs: the timeline of each recovery, refusals by reason and
                                     second, state by kind over time; works offline. Exit code 1: the logs hold
                                     none of these; 2: a log can't be read
";

struct Request {
    method: &'static str,
    path: String,
    headers: Vec<(&'static str, String)>,
    body: String,
}

fn request(method: &'static str, path: impl Into<String>) -> Request {
    Request { method, path: path.into(), headers: vec![], body: String::new() }
}

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optmulti(
        "c",
        "core",
        "a refuge's HTTP address (several; or the CORKDRUM_CORE variable, with commas)",
        "IP:PORT",
    );
    options.optopt("", "revision", "of a configuration", "N");
    options.optopt("", "base", "revision that a new configuration builds on; 0 where there is none", "N");
    options.optopt("", "change", "id of the change: sent again, it gets its first answer again", "ID");
    options.optopt("", "group", "of a server", "NAME");
    options.optopt("", "address", "of a server", "IP:PORT");
    options.optopt("", "cell", "of a server", "NAME");
    options.optflag("", "wait", "until it is done");
    options.optflag("", "anyway", "remove a server though it has work");
    options.optflag("h", "help", "this text");
    options.optflag("V", "version", "the version");
    let args: Vec<String> = std::env::args().skip(1).collect();
    let matches = match options.parse(&args) {
        Ok(matches) => matches,
        Err(e) => return usage(&e.to_string()),
    };
    if matches.opt_present("help") {
        print!("{}\n{COMMANDS}", options.usage(&format!("Usage: {NAME} [options] COMMAND")));
        return ExitCode::SUCCESS;
    }
    if matches.opt_present("version") {
        println!("{NAME} {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let mut controllers = matches.opt_strs("core");
    if controllers.is_empty() {
        let list = std::env::var("CORKDRUM_CORE").unwrap_or_default();
        controllers = list.split(',').filter(|addr| !addr.is_empty()).map(String::from).collect();
    }
    let words: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    if let ["config", "check", file] = words.as_slice() {
        return check(file);
    }
    if let ["report", logs @ ..] = words.as_slice() {
        return report(logs);
    }
    let command = match parse_command(&words, &matches) {
        Ok(command) => command,
        Err(e) => return usage(&e),
    };
    if controllers.is_empty() {
        return usage("no refuge given: use --core IP:PORT");
    }
    actix_rt::System::new().block_on(run(&controllers, &words, command, &matches))
}

fn usage(what: &str) -> ExitCode {
    eprintln!("{NAME}: {what}\n{NAME}: try --help");
    ExitCode::from(USAGE)
}

fn check(file: &str) -> ExitCode {
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(e) => return usage(&format!("{file}: {e}")),
    };
    match config::read(&text) {
        Ok(_) => {
            println!("{file}: valid");
            ExitCode::SUCCESS
        }
        Err(findings) => {
            findings.iter().for_each(|finding| eprintln!("{file}: {finding}"));
            ExitCode::from(REFUSED)
        }
    }
}

fn report(logs: &[&str]) -> ExitCode {
    if logs.is_empty() {
        return usage("report: name which logs to read");
    }
    let mut records = vec![];
    for log in logs {
        match std::fs::read(log) {
            // a truncated line at the end of a log does not invalidate the rest
            Ok(bytes) => records.extend(read_records(log, &String::from_utf8_lossy(&bytes))),
            Err(e) => return usage(&format!("{log}: {e}")),
        }
    }
    match render(&records) {
        Some(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        None => {
            eprintln!("{NAME}: no phase, refusal or state found in {}", logs.join(", "));
            ExitCode::from(REFUSED)
        }
    }
}

fn parse_command(words: &[&str], matches: &getopts::Matches) -> Result<Request, String> {
    let required = |option: &str| matches.opt_str(option).ok_or(format!("--{option} is missing"));
    Ok(match words {
        ["config", "get"] => request(
            "GET",
            matches
                .opt_str("revision")
                .map_or("/v1/config".into(), |revision| format!("/v1/config?revision={revision}")),
        ),
        ["config", "put", file] => {
            let body = std::fs::read_to_string(file).map_err(|e| format!("{file}: {e}"))?;
            let id = matches.opt_str("change").unwrap_or_else(|| format!("{:016x}", random_u64()));
            let mut headers = vec![("change-id", id)];
            headers.extend(matches.opt_str("base").map(|base| ("if-match", base)));
            Request { headers, body, ..request("PUT", "/v1/config") }
        }
        ["config", "history"] => request("GET", "/v1/config/history"),
        ["server", "list"] => request("GET", "/v1/servers"),
        ["server", "add", name] => {
            let server =
                jzon::object! { group: required("group")?, address: required("address")?, cell: required("cell")? };
            Request { body: server.dump(), ..request("PUT", format!("/v1/servers/{name}")) }
        }
        ["server", "leave", name] => request("POST", format!("/v1/servers/{name}/leaving")),
        ["server", "remove", name] => request(
            "DELETE",
            format!("/v1/servers/{name}{}", if matches.opt_present("anyway") { "?anyway=true" } else { "" }),
        ),
        ["cell", "evacuate", zone] => request("PUT", format!("/v1/cells/{zone}/evacuation")),
        ["cell", "status", zone] => request("GET", format!("/v1/cells/{zone}/evacuation")),
        ["cell", "return", zone] => request("DELETE", format!("/v1/cells/{zone}/evacuation")),
        ["store", "retire", name] => request("PUT", format!("/v1/stores/{name}/retirement")),
        ["store", "status", name] => request("GET", format!("/v1/stores/{name}/retirement")),
        ["core", "members"] => request("GET", "/v1/core/members"),
        ["core", "remove", name] => request("DELETE", format!("/v1/core/members/{name}")),
        ["places"] => request("GET", "/v1/places"),
        ["scaler"] => request("GET", "/v1/scaler"),
        ["status"] => request("GET", "/v1/status"),
        [] => return Err("no command".into()),
        unknown => return Err(format!("unknown command: {}", unknown.join(" "))),
    })
}

/// Sends a request to the controllers in turn until one answers it. Each forwards to the leader on its own.
async fn send(controllers: &[String], command: &Request) -> Option<(u16, String, Option<String>)> {
    let headers: Vec<(&str, &str)> = command.headers.iter().map(|(name, value)| (*name, value.as_str())).collect();
    let mut last = None;
    for controller in controllers {
        if let Ok((status, body, response_headers)) = call(
            command.method,
            &format!("http://{controller}{}", command.path),
            &headers,
            command.body.clone(),
            REQUEST_TIMEOUT_MS,
        )
        .await
        {
            let etag = response_headers.get("etag").map(|value| value.trim_matches('"').to_string());
            last = Some((status, body, etag));
            if status != 503 {
                break;
            }
        }
    }
    last
}

async fn run(controllers: &[String], words: &[&str], mut command: Request, matches: &getopts::Matches) -> ExitCode {
    // a put without a base is based on the revision in force, so that a concurrent change makes it fail instead of
    // being overwritten
    if command.path == "/v1/config"
        && command.method == "PUT"
        && !command.headers.iter().any(|header| header.0 == "if-match")
    {
        match send(controllers, &request("GET", "/v1/config")).await {
            Some((200, _, Some(etag))) => command.headers.push(("if-match", etag)),
            Some((404, _, _)) => command.headers.push(("if-match", "0".into())),
            Some((status, body, _)) => return print_response(status, &body),
            None => return unreached(controllers),
        }
    }
    let Some((status, body, _)) = send(controllers, &command).await else { return unreached(controllers) };
    if !(200..300).contains(&status) || !matches.opt_present("wait") {
        return print_response(status, &body);
    }
    let progress = match words {
        ["cell", "evacuate", zone] => request("GET", format!("/v1/cells/{zone}/evacuation")),
        ["store", "retire", name] => request("GET", format!("/v1/stores/{name}/retirement")),
        _ => return print_response(status, &body),
    };
    loop {
        match send(controllers, &progress).await {
            Some((200, body, _)) if jzon::parse(&body).is_ok_and(|value| value["done"] == true) => {
                return print_response(200, &body)
            }
            Some((404, body, _)) => return print_response(404, &body),
            _ => actix_rt::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await,
        }
    }
}

fn unreached(controllers: &[String]) -> ExitCode {
    eprintln!("{NAME}: no refuge answered at {}", controllers.join(", "));
    ExitCode::from(UNREACHED)
}

fn print_response(status: u16, body: &str) -> ExitCode {
    let text = jzon::parse(body).map_or(body.to_string(), |json| json.pretty(2));
    if (200..300).contains(&status) {
        println!("{text}");
        return ExitCode::SUCCESS;
    }
    eprintln!("{text}");
    ExitCode::from(if status == 503 { UNREACHED } else { REFUSED })
}
