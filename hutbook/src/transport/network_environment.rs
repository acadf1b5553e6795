//! The environment of an edge daemon: real time, stores over RPC, backends over HTTP.

use super::connection_pool::faults::AnswerFaultCounts;
use super::connection_pool::{Answer, BodyRead, ConnectionSlots};
use super::connections::Connections;
use super::descriptors::DescriptorBudget;
use super::dispatch::NoAnswer;
use super::http::{call, gated_call, gauge, open_call};
use super::leader_client::{NetworkClient, StoreClient};
use super::recovery_phases::RecoveryPhases;
use super::refusals::RefusalCounts;
use super::replica_runtime::Clock;
use super::serve::{Environment, ModelCall, Stream, StreamEvent, ToolCall};
use crate::constants::*;
use crate::coordination::admission_queue::ServerProbe;
use crate::coordination::edge::Edge;
use crate::coordination::store::{StoreRequest, StoreResponse};
use crate::state::byte_budget::ByteBudget;
use crate::state::config::ClientLimits;
use std::sync::Arc;
use std::time::Duration;

/// Header with the config revision under which a request is dispatched.
pub const REVISION_HEADER: &str = "corkdrum-revision";

pub struct NetworkEnvironment {
    pub edge: Arc<Edge>,
    pub clock: Clock,
    /// Byte budget of requests in progress, including ends of turns that wait for their store.
    pub requests: Arc<ByteBudget>,
    /// Connections of clients, which share this budget.
    pub connections: Arc<Connections>,
    stores: StoreClient<NetworkClient>,
    /// Answers of this edge that refuse a request, by the code that they carry.
    pub refusals: RefusalCounts,
    pub phases: RecoveryPhases,
    /// Number of connections to servers that may be open at once.
    pub server_connections: Arc<ConnectionSlots>,
    /// What was wrong with answers of servers.
    pub answer_faults: Arc<AnswerFaultCounts>,
}

impl NetworkEnvironment {
    pub fn new(edge: Arc<Edge>, client: NetworkClient, requests: Arc<ByteBudget>) -> NetworkEnvironment {
        NetworkEnvironment::with_descriptors(edge, client, requests, DescriptorBudget::of(None))
    }

    /// Like `new`, with limits on the connections.
    pub fn with_descriptors(
        edge: Arc<Edge>,
        client: NetworkClient,
        requests: Arc<ByteBudget>,
        descriptors: DescriptorBudget,
    ) -> NetworkEnvironment {
        let connections = Connections::new(client.clock, requests.clone(), descriptors.clients);
        let stores = StoreClient::new(client.clone());
        NetworkEnvironment {
            edge,
            clock: client.clock,
            requests,
            connections,
            server_connections: ConnectionSlots::new(descriptors.servers),
            stores,
            refusals: RefusalCounts::default(),
            phases: RecoveryPhases::default(),
            answer_faults: Arc::default(),
        }
    }

    /// Returns the limits of clients that are in force.
    pub fn client_limits(&self) -> ClientLimits {
        let view = self.edge.view();
        view.config.as_ref().map_or_else(ClientLimits::default, |config| config.limits.clients)
    }

    /// Store requests that had to be repeated, by reason.
    pub fn store_retries(&self) -> &RefusalCounts {
        &self.stores.retries
    }
}

impl Environment for Arc<NetworkEnvironment> {
    type Stream = Sse;

    fn now(&self) -> u64 {
        self.clock.now()
    }

    fn random_u64(&self) -> u64 {
        random_u64()
    }

    async fn sleep(&self, ms: u64) {
        actix_rt::time::sleep(Duration::from_millis(ms)).await;
    }

    async fn store(&self, program: &str, ask: StoreRequest) -> Option<StoreResponse> {
        self.stores.ask(&self.edge.view(), program, ask).await
    }

    async fn model(&self, call: ModelCall) -> Result<Result<Sse, u16>, NoAnswer> {
        let mut messages = jzon::array![];
        if !call.prefix.is_empty() {
            let _ = messages.push(jzon::object! { role: "system", content: call.prefix.as_str() });
        }
        for (role, text) in &call.messages {
            let _ = messages.push(jzon::object! { role: *role, content: text.as_str() });
        }
        let body = jzon::object! {
            model: "any", stream: true, messages: messages, max_tokens: call.max_tokens, user: call.program.as_str(),
            stream_options: { include_usage: true, continuous_usage_stats: true },
        };
        let path = if call.path == "/" { "/v1/chat/completions" } else { &call.path };
        let url = format!("http://{}{path}", call.addr);
        let revision = call.revision.to_string();
        let headers = [
            ("content-type", "application/json"),
            ("idempotency-key", call.key.as_str()),
            (REVISION_HEADER, revision.as_str()),
        ];
        let answer = open_call("POST", &url, &headers, body.dump(), call.run_ms, call.gate).await?;
        if answer.status.as_u16() != 200 {
            return Ok(Err(answer.status.as_u16()));
        }
        let deadline = self.clock.now() + call.run_ms;
        Ok(Ok(Sse { answer, buffer: vec![], usage: None, clock: self.clock, deadline }))
    }

    async fn tool(&self, call: ToolCall) -> Result<(u16, String), NoAnswer> {
        let revision = call.revision.to_string();
        let headers = [
            ("content-type", "application/json"),
            ("idempotency-key", call.key.as_str()),
            (REVISION_HEADER, revision.as_str()),
        ];
        let url = format!("http://{}{}", call.addr, call.path);
        let (status, body, _) = gated_call("POST", &url, &headers, call.body, call.run_ms, call.gate).await?;
        // a body that isn't JSON is a backend fault, not an answer
        if jzon::parse(&body).is_err() {
            return Ok((502, String::new()));
        }
        Ok((status, body))
    }

    async fn probe(&self, addr: &str) -> Option<ServerProbe> {
        let response = call("GET", &format!("http://{addr}/metrics"), &[], String::new(), PROBE_TIMEOUT_MS).await;
        // any answer shows that the server is up; values missing from it stay unknown
        let (_, text, _) = response.ok()?;
        let value = |name: &str| gauge(&text, name).unwrap_or(0.0);
        Some(ServerProbe {
            pressure: value("vllm:num_requests_waiting"),
            cache: value("vllm:gpu_cache_usage_perc"),
            started_at: (value("process_start_time_seconds") * 1_000.0) as u64,
        })
    }

    async fn lookup(&self, addr: &str, key: &str) -> Option<(u16, String)> {
        let response = call("GET", &format!("http://{addr}/v1/jobs/{key}"), &[], String::new(), RPC_TIMEOUT_MS).await;
        response.ok().filter(|(status, _, _)| *status == 200).map(|(status, body, _)| (status, body))
    }
}

/// Returns a random number from the operating system, never 0.
pub fn random_u64() -> u64 {
    getrandom::u64().expect("the operating system provides random numbers") | 1
}

/// A backend's server-sent events, read line by line.
pub struct Sse {
    answer: Answer,
    buffer: Vec<u8>,
    usage: Option<u64>,
    clock: Clock,
    deadline: u64,
}

impl Sse {
    fn next_line(&mut self) -> Option<String> {
        let end_of_line = self.buffer.iter().position(|b| *b == b'\n')?;
        let line: Vec<u8> = self.buffer.drain(..=end_of_line).collect();
        Some(String::from_utf8_lossy(&line).trim().to_string())
    }
}

impl Stream for Sse {
    async fn next(&mut self) -> StreamEvent {
        loop {
            while let Some(line) = self.next_line() {
                let Some(data) = line.strip_prefix("data:") else { continue };
                let data = data.trim();
                if data == "[DONE]" {
                    return StreamEvent::End(self.usage);
                }
                // skipping an unreadable chunk would lose part of the text
                let Ok(json) = jzon::parse(data) else { return StreamEvent::Broken };
                if let Some(count) = json["usage"]["completion_tokens"].as_u64() {
                    self.usage = Some(count);
                }
                if let Some(text) = json["choices"][0]["delta"]["content"].as_str().filter(|text| !text.is_empty()) {
                    // the token count of this very chunk, if the server reports one while streaming
                    return StreamEvent::Text(text.to_string(), json["usage"]["completion_tokens"].as_u64());
                }
            }
            if self.buffer.len() > MAX_BODY_BYTES {
                return StreamEvent::Broken;
            }
            let remaining = self.deadline.saturating_sub(self.clock.now());
            match actix_rt::time::timeout(Duration::from_millis(remaining), self.answer.next()).await {
                Ok(BodyRead::Bytes(bytes)) => self.buffer.extend_from_slice(&bytes),
                // a stream that ends without its end marker is broken
                _ => return StreamEvent::Broken,
            }
        }
    }
}
