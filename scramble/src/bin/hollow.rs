//! Runs many simulated edges, servers and clients in one process, beside a real fleet.

use hutbook::transport::daemon::metric;
use hutbook::transport::http::{self, HttpRequest, HttpResponse};
use scramble::flags::{fail, number, parse};
use scramble::hollow::{start_servers, HollowNodes};
use scramble::process_fleet::ZONES;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

const NAME: &str = "hollow";

struct Settings {
    nodes: Arc<HollowNodes>,
    edges: usize,
    seeds: Vec<String>,
    real_edges: Vec<String>,
    at: SocketAddr,
}

fn main() {
    let mut options = getopts::Options::new();
    options.optopt("", "http", "loopback address to listen on", "IP:PORT");
    options.optopt("", "edges", "hollow edges to start on POST /v1/edges (0)", "N");
    options.optopt("", "servers", "hollow servers that listen from the start (0)", "N");
    options.optopt("", "server-port", "loopback port of the first hollow server (25000)", "N");
    options.optmulti("", "seed", "a controller's RPC address (may be repeated)", "IP:PORT");
    options.optmulti("", "trailhead", "a real edge's HTTP address, for clients (may be repeated)", "IP:PORT");
    let matches = parse(NAME, &mut options);
    let Some(at) = matches
        .opt_str("http")
        .and_then(|address| address.parse::<SocketAddr>().ok())
        .filter(|address| address.ip().is_loopback())
    else {
        fail(NAME, "--http must be a loopback IP address and a port")
    };
    let n = |k: &str, d| number(NAME, &matches, k, d);
    let (count, first) = (n("servers", 0) as usize, n("server-port", 25_000));
    if first as usize + count > usize::from(u16::MAX) {
        fail(NAME, "--server-port plus --servers exceeds the last port");
    }
    let settings = Arc::new(Settings {
        nodes: Arc::default(),
        edges: n("edges", 0) as usize,
        seeds: matches.opt_strs("seed"),
        real_edges: matches.opt_strs("trailhead"),
        at,
    });
    let started_at = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64());
    let r = actix_rt::System::new().block_on(async move {
        start_servers(first as u16, count, started_at).await?;
        let (s, _) =
            http::serve(at, 1, hutbook::constants::MAX_BODY_BYTES, Arc::new(AtomicBool::new(false)), move |request| {
                serve(settings.clone(), request)
            })?;
        s.await
    });
    if let Err(e) = r {
        fail(NAME, &format!("{at}: {e}"));
    }
}

async fn serve(settings: Arc<Settings>, request: HttpRequest) -> HttpResponse {
    let path: Vec<&str> = request.path.iter().map(String::as_str).collect();
    let number = |k: &str| request.query.get(k).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
    match (request.method.as_str(), path.as_slice()) {
        ("GET", ["readyz"]) => HttpResponse::text("ready\n".into()),
        ("GET", ["metrics"]) => {
            let mut text = String::new();
            settings.nodes.metrics().iter().for_each(|(n, v)| metric(&mut text, n, &[], v));
            HttpResponse::text(text)
        }
        ("POST", ["v1", "edges"]) => {
            settings.nodes.start_edges(settings.edges, &ZONES, &settings.seeds, settings.at);
            HttpResponse::text("they come\n".into())
        }
        ("POST", ["v1", "callers"]) => {
            actix_rt::spawn(settings.nodes.clone().generate_jobs(
                settings.real_edges.clone(),
                number("rate"),
                number("ms"),
            ));
            HttpResponse::text("they call\n".into())
        }
        _ => HttpResponse::error(404, "unknown_path", "nothing is served there"),
    }
}
