//! Stand-in model or tool server. Its work is a delay. It records each run that it starts in a ledger file, and it can
//! drop answers or behave incorrectly on purpose.

use bytes::Bytes;
use hutbook::transport::answer_stream::answer_stream;
use hutbook::transport::http::{self, HttpRequest, HttpResponse, ResponseBody};
use hutbook::transport::network_environment::REVISION_HEADER;
use hutbook::transport::replica_runtime::Clock;
use scramble::flags::{fail, number, parse};
use scramble::observations::{run_to_json, RunRecord};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const NAME: &str = "bivouac";

struct Backend {
    name: String,
    is_model: bool,
    slots: u64,
    chunk_ms: u64,
    chunks: u64,
    work_ms: u64,
    warmup_jobs: u64,
    lose_every: u64,
    fault: String,
    /// Start time of the process in seconds since the epoch.
    started_at: f64,
    ledger: Mutex<Box<dyn Write + Send>>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    running: u32,
    runs_started: u64,
    runs_finished: u64,
    answers: BTreeMap<String, String>,
}

/// Guard of one run, from its line in the ledger to its end.
struct Run(Arc<Backend>);

impl Drop for Run {
    fn drop(&mut self) {
        self.0.state.lock().unwrap().running -= 1;
    }
}

impl Backend {
    fn start_run(self: &Arc<Self>, request: &HttpRequest) -> (Run, u64) {
        let header = |name: &str| request.headers.get(name).cloned().unwrap_or_default();
        let at = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
        let mut state = self.state.lock().unwrap();
        state.running += 1;
        state.runs_started += 1;
        let record = RunRecord {
            at,
            server: self.name.clone(),
            key: header("idempotency-key"),
            running: state.running,
            finished: state.runs_finished,
            config_revision: header(REVISION_HEADER).parse().unwrap_or(0),
        };
        let mut ledger = self.ledger.lock().unwrap();
        let _ = writeln!(ledger, "{}", run_to_json(&record).dump());
        let _ = ledger.flush();
        (Run(self.clone()), state.runs_started)
    }

    /// Returns the factor by which work is slower: like a real server, when it has more jobs than slots or isn't warm
    /// yet.
    fn slowdown(&self) -> u64 {
        let state = self.state.lock().unwrap();
        let load_factor = u64::from(state.running).div_ceil(self.slots.max(1)).max(1);
        if state.runs_finished < self.warmup_jobs {
            load_factor * 3
        } else {
            load_factor
        }
    }

    fn finish_run(&self) {
        self.state.lock().unwrap().runs_finished += 1;
    }
}

fn main() {
    let mut options = getopts::Options::new();
    options.optopt("", "http", "address to listen on", "IP:PORT");
    options.optopt("", "name", "name in the ledger", "NAME");
    options.optopt("", "kind", "model or tool", "KIND");
    options.optopt("", "slots", "concurrent jobs at full speed (8)", "N");
    options.optopt("", "piece-ms", "model: time between two chunks (20)", "MS");
    options.optopt("", "pieces", "model: chunks of an answer (12)", "N");
    options.optopt("", "work-ms", "tool: time for a job (60)", "MS");
    options.optopt("", "cold", "jobs until it is warm; three times slower until then (4)", "N");
    options.optopt("", "lose-every", "do the work of every Nth job but drop its answer (0: never)", "N");
    options.optopt("", "fault", "kind of incorrect behaviour: json, stream, usage or load", "WHAT");
    options.optopt("", "ledger", "file to record every run in", "FILE");
    let matches = parse(NAME, &mut options);
    let Some(addr) = matches.opt_str("http").and_then(|value| value.parse::<SocketAddr>().ok()) else {
        fail(NAME, "--http must be an IP number and a port")
    };
    let ledger: Box<dyn Write + Send> = match matches.opt_str("ledger") {
        None => Box::new(std::io::sink()),
        Some(file) => match std::fs::File::options().create(true).append(true).open(&file) {
            Ok(file) => Box::new(file),
            Err(error) => fail(NAME, &format!("{file}: {error}")),
        },
    };
    let backend = Arc::new(Backend {
        name: matches.opt_str("name").unwrap_or_else(|| addr.to_string()),
        is_model: matches.opt_str("kind").as_deref() != Some("tool"),
        slots: number(NAME, &matches, "slots", 8),
        chunk_ms: number(NAME, &matches, "piece-ms", 20),
        chunks: number(NAME, &matches, "pieces", 12),
        work_ms: number(NAME, &matches, "work-ms", 60),
        warmup_jobs: number(NAME, &matches, "cold", 4),
        lose_every: number(NAME, &matches, "lose-every", 0),
        fault: matches.opt_str("fault").unwrap_or_default(),
        started_at: SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64()),
        ledger: Mutex::new(ledger),
        state: Mutex::default(),
    });
    let result = actix_rt::System::new().block_on(async move {
        let (server, _) = http::serve(
            addr,
            1,
            hutbook::constants::MAX_BODY_BYTES,
            Arc::new(AtomicBool::new(false)),
            move |request| serve(backend.clone(), request),
        )?;
        server.await
    });
    if let Err(error) = result {
        fail(NAME, &format!("{addr}: {error}"));
    }
}

async fn serve(backend: Arc<Backend>, request: HttpRequest) -> HttpResponse {
    let path: Vec<&str> = request.path.iter().map(String::as_str).collect();
    match (request.method.as_str(), path.as_slice()) {
        ("GET", ["metrics"]) if backend.fault == "load" => {
            HttpResponse::text("load: yes, quite a lot\n\u{0}vllm:num".into())
        }
        ("GET", ["metrics"]) => {
            let state = backend.state.lock().unwrap();
            let waiting = u64::from(state.running).saturating_sub(backend.slots);
            let cache_usage = (f64::from(state.running) / backend.slots.max(1) as f64).min(1.0) * 0.8;
            HttpResponse::text(format!(
                "process_start_time_seconds {:.3}\nvllm:num_requests_running {}\nvllm:num_requests_waiting {waiting}\nvllm:gpu_cache_usage_perc {cache_usage}\n",
                backend.started_at,
                state.running
            ))
        }
        ("GET", ["v1", "jobs", key]) => match backend.state.lock().unwrap().answers.get(*key) {
            Some(body) => HttpResponse {
                status: 200,
                headers: vec![],
                body: ResponseBody::Full("application/json", body.clone()),
            },
            None => HttpResponse::error(404, "unknown", "no such job was done here"),
        },
        ("POST", _) if backend.is_model => serve_model(backend.clone(), &request),
        ("POST", _) => serve_tool(backend.clone(), &request).await,
        _ => HttpResponse::error(404, "unknown_path", "nothing is served there"),
    }
}

fn serve_model(backend: Arc<Backend>, request: &HttpRequest) -> HttpResponse {
    let Ok(body) = jzon::parse(&request.body) else { return HttpResponse::error(400, "bad_json", "not JSON") };
    let key = request.headers.get("idempotency-key").cloned().unwrap_or_default();
    let reports_usage = body["stream_options"]["continuous_usage_stats"] == true && backend.fault != "usage";
    let chunk_count = body["max_tokens"].as_u64().unwrap_or(backend.chunks).min(backend.chunks);
    let (run, run_number) = backend.start_run(request);
    let mut run = Some(run);
    let (sender, receiver) = answer_stream(hutbook::constants::FREE_STREAM_BUFFER_BYTES);
    actix_rt::spawn(async move {
        let clock = Clock::start();
        let is_lost = backend.lose_every > 0 && run_number.is_multiple_of(backend.lose_every);
        for index in 0..chunk_count {
            actix_rt::time::sleep(Duration::from_millis(backend.chunk_ms * backend.slowdown())).await;
            // End the run before sending the last chunk: the client may send its next job as soon as it reads it.
            if index + 1 == chunk_count {
                backend.finish_run();
                run.take();
            }
            let event = match backend.fault.as_str() {
                "json" if index == 1 => "{\"choices\": [{\"delta\"".into(),
                "stream" if index == 2 => return,
                _ => {
                    let mut event = jzon::object! { choices: [{ delta: { content: format!("{key}/{index} ") } }] };
                    if reports_usage {
                        event["usage"] = jzon::object! { completion_tokens: index + 1 };
                    }
                    event.dump()
                }
            };
            // A failed send means that the client has disconnected; a real server stops generating as well.
            if sender.send(Bytes::from(format!("data: {event}\n\n"))).await.is_err()
                || is_lost && index == chunk_count / 2
            {
                return;
            }
        }
        if backend.fault == "usage" {
            let _ = sender.send(Bytes::from("data: [DONE]\n\n")).await;
            return sender.complete();
        }
        let event = jzon::object! { choices: [], usage: { completion_tokens: chunk_count, total_ms: clock.now() } };
        let _ = sender.send(Bytes::from(format!("data: {}\n\ndata: [DONE]\n\n", event.dump()))).await;
        sender.complete();
    });
    HttpResponse { status: 200, headers: vec![], body: ResponseBody::Events(receiver) }
}

async fn serve_tool(backend: Arc<Backend>, request: &HttpRequest) -> HttpResponse {
    let key = request.headers.get("idempotency-key").cloned().unwrap_or_default();
    let (run, run_number) = backend.start_run(request);
    actix_rt::time::sleep(Duration::from_millis(backend.work_ms * backend.slowdown())).await;
    if backend.fault == "json" {
        return HttpResponse::text("{\"half".into());
    }
    let body = jzon::object! { key: key.as_str(), run: run_number, by: backend.name.as_str() }.dump();
    backend.state.lock().unwrap().answers.insert(key, body.clone());
    backend.finish_run();
    drop(run);
    if backend.lose_every > 0 && run_number.is_multiple_of(backend.lose_every) {
        // The work is done but the answer is withheld for longer than any run may take.
        actix_rt::time::sleep(Duration::from_secs(300)).await;
    }
    HttpResponse { status: 200, headers: vec![], body: ResponseBody::Full("application/json", body) }
}
