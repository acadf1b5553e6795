//! Crowds of clients that stay outside the limits, at each port of real processes with little memory. No process may end
//! or take more than its machine's memory, and ordinary clients must still be answered.

mod crowd;

use crowd::*;
use rstest::rstest;
use rustix::process::Signal;
use std::net::SocketAddr;
use tokio::io::AsyncWriteExt;

/// Length of a long plain answer, in bytes; the longest that an edge accepts from a server is 8 MiB.
const LONG_ANSWER: &str = "/plain/4000000";
const LONGEST_ANSWER: &str = "/plain/8388608";
/// Descriptors that an edge must keep for the fleet's own connections while clients take all that they can get.
const KEPT_DESCRIPTORS: usize = 32;

fn get(path: &str) -> Vec<u8> {
    request("GET", path, "", "")
}

fn api_request(path: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n").into_bytes()
}

#[rstest]
#[case::long(LONG_ANSWER)]
#[case::longest(LONGEST_ANSWER)]
#[case::of_once_only_requests("/once/4000000")]
fn plain_answers_that_nobody_reads(#[case] path: &str) {
    run(async {
        let mut site = Site::start().await;
        let clients = crowd(100, site.front(), || get(path)).await;
        site.holds_out().await;
        drop(clients);
    });
}

#[test]
fn plain_answers_read_in_drips() {
    run(async {
        let mut site = Site::start().await;
        let clients = crowd(100, site.front(), || get(LONG_ANSWER)).await;
        let reading = drip(clients);
        site.holds_out().await;
        reading.abort();
    });
}

#[test]
fn pipelined_requests_for_long_answers() {
    run(async {
        let mut site = Site::start().await;
        let pipelined = || (0..50).flat_map(|_| get(LONG_ANSWER)).collect();
        let clients = crowd(30, site.front(), pipelined).await;
        site.holds_out().await;
        drop(clients);
    });
}

#[test]
fn pipelined_requests_with_large_heads() {
    run(async {
        let mut site = Site::start().await;
        let filler = format!("x-filler: {}\r\n", "h".repeat(12_000));
        let pipelined = || {
            let first = request("GET", "/stream/10000/20000", &filler, "");
            first.into_iter().chain((0..30).flat_map(|_| request("GET", "/plain/1", &filler, ""))).collect()
        };
        let clients = crowd(200, site.front(), pipelined).await;
        site.holds_out().await;
        drop(clients);
    });
}

#[rstest]
#[case::of_small_events(100, "/stream/200/20000")]
#[case::of_large_events(20, "/stream/200/200000")]
#[case::of_one_event_each(20, "/stream/1/4000000")]
fn streams_that_nobody_reads(#[case] clients: usize, #[case] path: &str) {
    run(async {
        let mut site = Site::start().await;
        let clients = crowd(clients, site.front(), || get(path)).await;
        site.holds_out().await;
        drop(clients);
    });
}

#[test]
fn streams_whose_event_comes_in_many_parts() {
    run(async {
        let mut site = Site::start().await;
        let clients = crowd(20, site.front(), || get("/parts/4000/1000")).await;
        site.holds_out().await;
        drop(clients);
    });
}

#[test]
fn an_unread_stream_leaves_its_server_once_its_time_is_over() {
    run(async {
        let site = Site::start().await;
        let clients = crowd(20, site.front(), || get("/brief/2000/20000")).await;
        wait_until("the server answers", || site.server.answering.get() > 0).await;
        wait_until("no answer is being written", || site.server.answering.get() == 0).await;
        drop(clients);
    });
}

#[test]
fn an_unread_answer_is_given_up_once_its_time_is_over() {
    run(async {
        let site = Site::start().await;
        let headers = "corkdrum-time-left-ms: 2000\r\n";
        let clients = crowd(3, site.front(), || request("GET", LONGEST_ANSWER, headers, "")).await;
        wait_for_resets(clients).await;
    });
}

#[rstest]
#[case::of_proxied_requests(Site::front)]
#[case::of_the_api(|site: &Site| site.http(EDGE))]
fn idle_connections(#[case] addr: fn(&Site) -> SocketAddr) {
    run(async {
        let mut site = Site::start().await;
        let clients = crowd(3_000, addr(&site), Vec::new).await;
        site.holds_out().await;
        drop(clients);
    });
}

#[rstest]
#[case::idle_on_proxy(Site::front, "")]
#[case::idle_on_api(|site: &Site| site.http(EDGE), "")]
#[case::with_streams(Site::front, "/stream/10000/20000")]
#[case::idle_on_wire(|site: &Site| site.wire(EDGE), "")]
fn connections_beyond_the_descriptors(#[case] addr: fn(&Site) -> SocketAddr, #[case] path: &str) {
    const DESCRIPTORS: u64 = 256;
    run(async {
        let mut site = Site::start_with_descriptors(Some(DESCRIPTORS)).await;
        let sent = || if path.is_empty() { vec![] } else { get(path) };
        let clients = crowd(400, addr(&site), sent).await;
        sleep(1_000).await;
        let open = site.descriptors(EDGE);
        assert!(open <= DESCRIPTORS as usize - KEPT_DESCRIPTORS, "{open} descriptors of {DESCRIPTORS} are open");
        site.holds_out().await;
        drop(clients);
    });
}

#[test]
fn heads_that_do_not_end() {
    run(async {
        let mut site = Site::start().await;
        let head = format!("GET /plain/1 HTTP/1.1\r\nhost: crowd.example\r\nx-filler: {}", "h".repeat(120_000));
        let clients = crowd(600, site.front(), || head.clone().into_bytes()).await;
        site.holds_out().await;
        drop(clients);
    });
}

#[test]
fn large_heads_of_requests_under_way() {
    run(async {
        let mut site = Site::start().await;
        let fillers: String = (0..60).map(|n| format!("x-filler-{n}: {}\r\n", "h".repeat(1_900))).collect();
        let clients = crowd(300, site.front(), || request("GET", "/stream/10000/20000", &fillers, "")).await;
        site.holds_out().await;
        drop(clients);
    });
}

#[test]
fn bodies_that_stop() {
    run(async {
        let mut site = Site::start().await;
        let body = "b".repeat(60_000);
        let truncated = || {
            let mut bytes = request("POST", "/once/1", "", &body);
            bytes.truncate(bytes.len() - 10);
            bytes
        };
        let clients = crowd(600, site.front(), truncated).await;
        site.holds_out().await;
        drop(clients);
    });
}

#[test]
fn bodies_in_chunks_of_one_byte() {
    run(async {
        let mut site = Site::start().await;
        let chunks = "1\r\nb\r\n".repeat(60_000);
        let sent =
            || [request("POST", "/once/1", "transfer-encoding: chunked\r\n", ""), chunks.clone().into()].concat();
        let clients = crowd(100, site.front(), sent).await;
        site.holds_out().await;
        drop(clients);
    });
}

#[test]
fn thousands_of_query_parts() {
    run(async {
        let mut site = Site::start().await;
        let query: String = (0..15_000).map(|n| format!("{n:x}&")).collect();
        let pipelined = || (0..20).flat_map(|_| api_request(&format!("/v1/jobs/j?{query}"))).collect();
        let clients = crowd(100, site.http(EDGE), pipelined).await;
        site.holds_out().await;
        drop(clients);
    });
}

#[rstest]
#[case::of_an_edge(EDGE)]
#[case::of_a_store(STORE)]
#[case::of_a_controller(CONTROLLER)]
fn metrics_that_nobody_reads(#[case] name: &str) {
    run(async {
        let mut site = Site::start().await;
        let pipelined = || (0..200).flat_map(|_| api_request("/metrics")).collect();
        let clients = crowd(1_500, site.http(name), pipelined).await;
        site.holds_out().await;
        drop(clients);
    });
}

#[rstest]
#[case::of_a_controller(CONTROLLER, 4_000_000)]
#[case::of_a_store(STORE, 1_000_000)]
#[case::of_an_edge(EDGE, 1_000_000)]
fn bodies_at_the_api_that_stop(#[case] name: &str, #[case] length: usize) {
    run(async {
        let mut site = Site::start().await;
        let head = format!("PUT /v1/config HTTP/1.1\r\nhost: x\r\nif-match: 1\r\ncontent-length: {length}\r\n\r\n");
        let body = "b".repeat(length - 10);
        let clients = crowd(60, site.http(name), || format!("{head}{body}").into_bytes()).await;
        site.holds_out().await;
        drop(clients);
    });
}

#[test]
fn configurations_that_nobody_reads() {
    run(async {
        let mut site = Site::start().await;
        let padding = " ".repeat(1_500_000);
        let (_, text, revision) =
            site.fleet.call_controllers("GET", "/v1/config", &[], "").await.expect("the configuration");
        let put = site.fleet.put_config(revision.expect("a revision"), "padded", &format!("{text}{padding}")).await;
        assert!(put.is_some_and(|(status, _)| status == 200));
        let clients = crowd(100, site.http(CONTROLLER), || api_request("/v1/config")).await;
        site.holds_out().await;
        drop(clients);
    });
}

#[rstest]
#[case::of_an_edge(EDGE)]
#[case::of_a_store(STORE)]
#[case::of_a_controller(CONTROLLER)]
fn frames_that_stop(#[case] name: &str) {
    run(async {
        let mut site = Site::start().await;
        let mut frame = 8_000_000u32.to_be_bytes().to_vec();
        frame.resize(1_000_000, 0);
        let clients = crowd(100, site.wire(name), || frame.clone()).await;
        site.holds_out().await;
        wait_for_ends(clients).await;
    });
}

#[rstest]
#[case::of_an_edge(EDGE)]
#[case::of_a_store(STORE)]
#[case::of_a_controller(CONTROLLER)]
fn idle_connections_at_the_wire(#[case] name: &str) {
    run(async {
        let mut site = Site::start().await;
        let clients = crowd(3_000, site.wire(name), Vec::new).await;
        site.holds_out().await;
        wait_for_ends(clients).await;
    });
}

#[test]
fn turns_with_long_kept_texts() {
    run(async {
        let mut site = Site::start().await;
        // given a conversation of some 3 MB
        let first = new_id();
        let headers = format!("corkdrum-job: {first}\r\ncorkdrum-program: p\r\n");
        let turn =
            format!("POST /turn/150/20000 HTTP/1.1\r\nhost: crowd.example\r\n{headers}content-length: 1\r\n\r\n.");
        let mut stream = tokio::net::TcpStream::connect(site.front()).await.expect("the edge is listening");
        stream.write_all(turn.as_bytes()).await.expect("an open connection");
        let answer = read_answer(&mut stream).await;
        assert!(answer.is_some_and(|(status, _)| status == 200), "the first turn was not served");
        // when many turns go on from it at once
        let next = || {
            request("POST", "/turn/10000/20000", &format!("corkdrum-program: p\r\ncorkdrum-before: {first}\r\n"), ".")
        };
        let clients = crowd(60, site.front(), next).await;
        site.holds_out().await;
        drop(clients);
    });
}

#[test]
fn long_answers_of_turns_that_are_kept() {
    run(async {
        let mut site = Site::start().await;
        let turn = || request("POST", "/turn/100/20000", "corkdrum-program: p\r\n", ".");
        let clients: Vec<_> = crowd(60, site.front(), turn).await;
        let reading: Vec<_> = clients
            .into_iter()
            .map(|mut stream| actix_rt::spawn(async move { read_answer(&mut stream).await.is_some() }))
            .collect();
        site.holds_out().await;
        reading.iter().for_each(|task| task.abort());
    });
}

#[rstest]
#[case::http_10("GET /plain/2000 HTTP/1.0\r\nhost: crowd.example\r\ncorkdrum-job: odd-1\r\n\r\n")]
#[case::head("HEAD /plain/2000 HTTP/1.1\r\nhost: crowd.example\r\ncorkdrum-job: odd-2\r\n\r\n")]
#[case::expects_continue(
    "POST /once/2000 HTTP/1.1\r\nhost: crowd.example\r\ncorkdrum-job: odd-3\r\nexpect: 100-continue\r\ncontent-length: 1000\r\n\r\n"
)]
#[case::too_many_headers(&format!("GET /plain/1 HTTP/1.1\r\nhost: x\r\n{}\r\n", "a: b\r\n".repeat(4_000)))]
#[case::no_http(&"\u{0}\u{16}\u{3}".repeat(40_000))]
#[case::length_and_chunks(
    "POST /once/1 HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\nGET"
)]
fn odd_requests(#[case] sent: &str) {
    run(async {
        let mut site = Site::start().await;
        for addr in [site.front(), site.http(EDGE), site.http(CONTROLLER)] {
            drop(crowd(50, addr, || sent.as_bytes().to_vec()).await);
            let clients = crowd(50, addr, || sent.as_bytes().to_vec()).await;
            drop(clients);
        }
        site.holds_out().await;
    });
}

#[test]
fn clients_that_leave_in_the_middle_of_long_answers() {
    run(async {
        let mut site = Site::start().await;
        for _ in 0..10 {
            drop(crowd(50, site.front(), || get(LONG_ANSWER)).await);
            drop(crowd(10, site.front(), || get("/stream/200/200000")).await);
        }
        site.holds_out().await;
        wait_until("no answer is being written", || site.server.answering.get() == 0).await;
    });
}

#[test]
fn connections_to_servers_are_closed_once_their_clients_have_left() {
    run(async {
        let site = Site::start().await;
        let clients = crowd(50, site.front(), || get("/plain/2000")).await;
        wait_until("the server is connected", || site.server.connections.get() > 0).await;
        drop(clients);
        wait_until("its connections are closed", || site.server.connections.get() == 0).await;
    });
}

#[test]
fn freed_memory_goes_back() {
    run(async {
        let mut site = Site::start().await;
        let at_rest = site.memory_kb(EDGE, "VmRSS:");
        let clients = crowd(100, site.front(), || get(LONG_ANSWER)).await;
        site.holds_out().await;
        drop(clients);
        let spare_kb = EDGE_MEMORY_MB * 1_000 / 4;
        wait_until("memory goes back", || {
            let resident = site.memory_kb(EDGE, "VmRSS:");
            println!("{resident} KB resident, {at_rest} KB at rest");
            resident < at_rest + spare_kb
        })
        .await;
    });
}

#[test]
fn an_edge_stops_beside_unread_streams() {
    run(async {
        let mut site = Site::start().await;
        let clients = crowd(50, site.front(), || get("/stream/10000/20000")).await;
        sleep(500).await;
        site.fleet.signal(EDGE, Signal::TERM);
        let mut exit = None;
        for _ in 0..600 {
            exit = site.fleet.take_exit(EDGE);
            if exit.is_some() {
                break;
            }
            sleep(100).await;
        }
        assert_eq!(exit, Some(scramble::process_fleet::Exit::Code(0)));
        drop(clients);
    });
}

#[test]
fn several_crowds_at_once() {
    run(async {
        let mut site = Site::start().await;
        let head = format!("GET /plain/1 HTTP/1.1\r\nhost: crowd.example\r\nx-filler: {}", "h".repeat(60_000));
        let mut clients = crowd(60, site.front(), || get(LONG_ANSWER)).await;
        clients.extend(crowd(20, site.front(), || get("/stream/200/200000")).await);
        clients.extend(crowd(100, site.front(), || head.clone().into_bytes()).await);
        clients.extend(crowd(500, site.front(), Vec::new).await);
        clients.extend(crowd(500, site.http(EDGE), Vec::new).await);
        clients.extend(crowd(200, site.http(EDGE), || (0..50).flat_map(|_| api_request("/metrics")).collect()).await);
        let frame = [8_000_000u32.to_be_bytes().to_vec(), vec![0; 300_000]].concat();
        clients.extend(crowd(30, site.wire(EDGE), || frame.clone()).await);
        site.holds_out().await;
        drop(clients);
    });
}

#[rstest]
#[case::longest_plain(LONGEST_ANSWER, 8_388_608)]
#[case::long_stream("/stream/200/200000", 200 * 200_000)]
#[case::largest_event("/stream/1/8000000", 8_000_000)]
fn the_largest_answers_are_given_in_calm(#[case] path: &str, #[case] least_bytes: usize) {
    run(async {
        let mut site = Site::start().await;
        // beside small requests
        let small = crowd(20, site.front(), || get("/plain/2000")).await;
        let body = site.patient_request("GET", path, "", "").await;
        assert!(body.len() >= least_bytes, "{} bytes", body.len());
        site.is_alive_within_memory();
        drop(small);
    });
}
