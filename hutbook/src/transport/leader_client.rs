//! Finds the leader of a group and sends requests to it.
//!
//! Messages are carried by an `RpcClient`, so that the same search runs over real connections and over the in-memory
//! fleet's network.

use super::network_environment::random_u64;
use super::refusals::RefusalCounts;
use super::replica_runtime::Clock;
use super::rpc::RpcTransport;
use crate::constants::*;
use crate::coordination::control::{CommandFence, CommandId, ControlRequest, ControlResponse, StoreAssignment};
use crate::coordination::edge::Edge;
use crate::coordination::slot_allocation::OpenJobs;
use crate::coordination::store::{StoreRequest, StoreResponse};
use crate::coordination::view::View;
use crate::protocol::wire::Body;
use crate::state::entry::Member;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

#[allow(async_fn_in_trait)]
pub trait RpcClient: Clone {
    fn now(&self) -> u64;
    /// Returns random bits.
    fn random_u64(&self) -> u64;
    async fn sleep(&self, ms: u64);
    /// Sends a request and waits for its answer. None if no answer arrived in time.
    async fn call(&self, to: &str, body: Body, ms: u64) -> Option<Body>;
}

/// Real connections and real time.
#[derive(Clone)]
pub struct NetworkClient {
    pub rpc: Arc<RpcTransport>,
    pub clock: Clock,
}

impl RpcClient for NetworkClient {
    fn now(&self) -> u64 {
        self.clock.now()
    }

    fn random_u64(&self) -> u64 {
        random_u64()
    }

    async fn sleep(&self, ms: u64) {
        actix_rt::time::sleep(Duration::from_millis(ms)).await;
    }

    async fn call(&self, to: &str, body: Body, ms: u64) -> Option<Body> {
        self.rpc.call(to, body, ms).await
    }
}

pub struct LeaderClient<S> {
    pub client: S,
    hint: Mutex<Option<String>>,
    /// Attempts that had to be repeated, by reason.
    pub retries: Arc<RefusalCounts>,
    /// Until when the current holder may search for the leader, in milliseconds; 0 while nobody searches. None if every
    /// request searches by itself.
    search: Option<AtomicU64>,
    /// Index of the address where the next request without a hint begins.
    start_index: AtomicUsize,
}

/// The right to search for the leader on behalf of all requests of the same `LeaderClient`. It is released on drop, and
/// passes to the next request once it has expired, so that one silent member can't block everybody's search.
struct Search<'a> {
    expires_at: &'a AtomicU64,
    /// The value that this holder last wrote to `expires_at`, in milliseconds.
    written: u64,
}

impl<'a> Search<'a> {
    /// Starts a search. None while another holder searches. If that holder's time has expired, `start_index` is
    /// advanced: it is waiting for a member that does not answer.
    fn begin(expires_at: &'a AtomicU64, start_index: &AtomicUsize, now: u64) -> Option<Search<'a>> {
        let current = expires_at.load(Ordering::Acquire);
        if now < current {
            return None;
        }
        let mut search = Search { expires_at, written: current };
        if !search.extend(now) {
            return None;
        }
        if current != 0 {
            start_index.fetch_add(1, Ordering::Relaxed);
        }
        Some(search)
    }

    /// Extends the search by another attempt and the pause after it. False if another request has taken it over.
    fn extend(&mut self, now: u64) -> bool {
        let until = now + LEADER_SEARCH_TRY_MS;
        let swapped = self.expires_at.compare_exchange(self.written, until, Ordering::AcqRel, Ordering::Acquire);
        // a search that was taken over must not be released by this holder
        self.written = if swapped.is_ok() { until } else { u64::MAX };
        swapped.is_ok()
    }
}

impl Drop for Search<'_> {
    fn drop(&mut self) {
        let _ = self.expires_at.compare_exchange(self.written, 0, Ordering::AcqRel, Ordering::Acquire);
    }
}

enum AnswerMeaning {
    Answer,
    /// The request was not accepted, and this copy never will be.
    Refused,
    Redirect(String),
    /// Too many requests are pending there; not accepted.
    Busy,
    /// Not accepted there; try another member.
    Retry,
    /// It may have been accepted.
    Unclear,
}

/// A pending call. If it is abandoned before its answer, the leader hint is cleared.
struct CallGuard<'a, S> {
    client: &'a LeaderClient<S>,
    to: &'a str,
    is_answered: bool,
}

impl<S> Drop for CallGuard<'_, S> {
    fn drop(&mut self) {
        if !self.is_answered {
            self.client.give_up(self.to);
        }
    }
}

/// Returns what an answer means for the next attempt.
fn meaning_of(answer: &Body) -> AnswerMeaning {
    let redirect = |member: &Option<Member>| {
        member.as_ref().map_or(AnswerMeaning::Retry, |member| AnswerMeaning::Redirect(member.addr.clone()))
    };
    match answer {
        Body::ControlResponse(response) => match &**response {
            ControlResponse::NotLeader(member) => redirect(member),
            ControlResponse::OutcomeUnknown => AnswerMeaning::Unclear,
            ControlResponse::Busy => AnswerMeaning::Busy,
            _ => AnswerMeaning::Answer,
        },
        Body::StoreResponse(response) => match &**response {
            StoreResponse::NotLeader(member) => redirect(member),
            StoreResponse::OutcomeUnknown => AnswerMeaning::Unclear,
            StoreResponse::Busy(None) => AnswerMeaning::Busy,
            StoreResponse::Busy(Some(_)) => AnswerMeaning::Refused,
            _ => AnswerMeaning::Answer,
        },
        _ => AnswerMeaning::Unclear,
    }
}

impl<S> LeaderClient<S> {
    fn set_hint(&self, hint: Option<String>) {
        *self.hint.lock().unwrap_or_else(|e| e.into_inner()) = hint;
    }

    /// Records that this address did not answer in time: the next request begins at another one.
    fn give_up(&self, to: &str) {
        let mut hint = self.hint.lock().unwrap_or_else(|e| e.into_inner());
        if hint.as_deref().is_none_or(|hint| hint == to) {
            *hint = None;
            self.start_index.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Returns why an attempt is repeated, as a label for counters.
fn retry_reason(answer: Option<&Body>) -> &'static str {
    let Some(answer) = answer else { return "no_answer" };
    match answer {
        Body::ControlResponse(response) => match &**response {
            ControlResponse::NotLeader(None) => "no_leader",
            ControlResponse::NotLeader(Some(_)) => "not_leader",
            ControlResponse::OutcomeUnknown => "outcome_unknown",
            _ => "busy",
        },
        Body::StoreResponse(response) => match &**response {
            StoreResponse::NotLeader(None) => "no_leader",
            StoreResponse::NotLeader(Some(_)) => "not_leader",
            StoreResponse::OutcomeUnknown => "outcome_unknown",
            _ => "busy",
        },
        _ => "other_process",
    }
}

impl<S: RpcClient> LeaderClient<S> {
    pub fn new(client: S) -> LeaderClient<S> {
        LeaderClient {
            client,
            hint: Mutex::default(),
            retries: Arc::default(),
            search: None,
            start_index: AtomicUsize::new(0),
        }
    }

    /// Creates a client shared by many concurrent requests. While the leader is unknown, one request searches for it
    /// and the others wait for the result; otherwise each of them would query a group without a leader over and over.
    /// Repeated attempts are counted in `retries`.
    pub fn shared(client: S, retries: Arc<RefusalCounts>) -> LeaderClient<S> {
        LeaderClient {
            client,
            hint: Mutex::default(),
            retries,
            search: Some(AtomicU64::new(0)),
            start_index: AtomicUsize::new(0),
        }
    }

    fn hint(&self) -> Option<String> {
        self.hint.lock().unwrap_or_else(|e| e.into_inner()).clone()
    }

    /// Clears the hint if it names this address, which is not the leader; a hint that another request has found
    /// meanwhile stays.
    fn forget(&self, address: &str) {
        let mut hint = self.hint.lock().unwrap_or_else(|e| e.into_inner());
        if hint.as_deref() == Some(address) {
            *hint = None;
        }
    }

    /// Sends a request until it is answered or the time is over; `attempt_ms` bounds one attempt. None means that it
    /// may have run. Only for requests that may be repeated; operator commands use `run_operator_command`. A refusal is
    /// returned only if no other copy of the request may have been accepted. It is safe to cancel at any time.
    pub async fn ask(&self, addrs: &[String], body: Body, ms: u64, attempt_ms: u64) -> Option<Body> {
        let deadline = self.client.now() + ms;
        let mut position = self.start_index.load(Ordering::Relaxed);
        let mut is_unclear = false;
        let mut next = self.hint();
        let mut search: Option<Search> = None;
        let mut pauses = 0;
        loop {
            let now = self.client.now();
            if now >= deadline {
                return None;
            }
            if let (Some(expires_at), None) = (&self.search, &next) {
                next = self.hint();
                // a request that waited too long for a silent member has lost its search to another
                if next.is_none() && !search.as_mut().is_some_and(|s| s.extend(now)) {
                    search = Search::begin(expires_at, &self.start_index, now);
                    // the member that the previous holder is waiting for isn't asked again
                    position = position.max(self.start_index.load(Ordering::Relaxed));
                }
                if next.is_none() && search.is_none() {
                    self.client.sleep(LEADER_RETRY_MS.min(deadline - now)).await;
                    continue;
                }
            }
            let to = match next.take() {
                Some(address) => address,
                None => {
                    position += 1;
                    addrs.get((position - 1) % addrs.len().max(1))?.clone()
                }
            };
            let mut guard = CallGuard { client: self, to: &to, is_answered: false };
            let answer = self.client.call(&to, body.clone(), attempt_ms.min(deadline - now)).await;
            guard.is_answered = answer.is_some();
            drop(guard);
            let meaning = answer.as_ref().map_or(AnswerMeaning::Unclear, meaning_of);
            if !matches!(meaning, AnswerMeaning::Answer | AnswerMeaning::Refused) {
                self.retries.count(retry_reason(answer.as_ref()));
            }
            is_unclear |= matches!(meaning, AnswerMeaning::Unclear);
            match meaning {
                AnswerMeaning::Answer => {
                    self.set_hint(Some(to));
                    return answer;
                }
                AnswerMeaning::Refused if !is_unclear => {
                    self.set_hint(Some(to));
                    return answer;
                }
                AnswerMeaning::Redirect(address) if address != to => next = Some(address),
                AnswerMeaning::Busy | AnswerMeaning::Refused => {
                    // a busy leader is alive: searching elsewhere would only load the other members
                    search = None;
                    self.set_hint(Some(to.clone()));
                    self.back_off(deadline, &mut pauses).await;
                    next = Some(to);
                }
                _ => {
                    self.forget(&to);
                    self.back_off(deadline, &mut pauses).await;
                }
            }
        }
    }

    /// Waits between two attempts of one request, longer each time up to a bound, with jitter so that requests that
    /// started together don't retry together.
    async fn back_off(&self, deadline: u64, pauses: &mut u32) {
        let max_pause_ms = (LEADER_RETRY_MS << *pauses).min(MAX_LEADER_RETRY_MS);
        *pauses = (*pauses + 1).min(LEADER_RETRY_DOUBLINGS);
        let jitter = self.client.random_u64() % (max_pause_ms - LEADER_RETRY_MS / 2);
        let remaining = deadline.saturating_sub(self.client.now());
        self.client.sleep(remaining.min(LEADER_RETRY_MS / 2 + jitter)).await;
    }

    /// Waits between two attempts, but never beyond `deadline`.
    async fn pause(&self, deadline: u64) {
        let remaining = deadline.saturating_sub(self.client.now());
        self.client.sleep(remaining.min(LEADER_RETRY_MS)).await;
    }

    /// Sends a request to the controllers. None if nobody answered in time; it may have run then.
    pub async fn ask_controllers(
        &self,
        addrs: &[String],
        request: ControlRequest,
        ms: u64,
        attempt_ms: u64,
    ) -> Option<ControlResponse> {
        match self.ask(addrs, Body::ControlRequest(Box::new(request)), ms, attempt_ms).await {
            Some(Body::ControlResponse(response)) => Some(*response),
            _ => None,
        }
    }

    /// Runs one operator command under its own id. If a later command could undo it, it is fenced, so that late copies
    /// of it have no effect.
    pub async fn run_operator_command(
        &self,
        addrs: &[String],
        request: ControlRequest,
        ms: u64,
        attempt_ms: u64,
    ) -> Option<ControlResponse> {
        let Some(subject) = request.subject() else {
            return self.ask_controllers(addrs, request, ms, attempt_ms).await;
        };
        let deadline = self.client.now() + ms;
        let id = command_id(&self.client);
        let mut fence = None;
        // a fence read later than this could lie after a command that the client has since given elsewhere
        let fence_end = deadline.min(self.client.now() + FENCE_TIMEOUT_MS);
        loop {
            let (step_deadline, step_attempt_ms) =
                if fence.is_none() { (fence_end, FENCE_TRY_TIMEOUT_MS) } else { (deadline, attempt_ms) };
            let left = step_deadline.saturating_sub(self.client.now());
            let number = self
                .ask_controllers(addrs, ControlRequest::LastCommandNumber(subject.clone()), left, step_attempt_ms)
                .await?;
            let ControlResponse::LastCommandNumber { last, term, leader_time: at } = number else {
                return Some(number);
            };
            // whichever node leads now, the command is applied only if nothing was committed on its subject since it
            // arrived
            let after = *fence.get_or_insert(last);
            let left = deadline.saturating_sub(self.client.now());
            let stamp = CommandFence { id, previous_number: after, term, leader_time: at, remaining_ms: left };
            let order = ControlRequest::Fenced { fence: stamp, command: Box::new(request.clone()) };
            match self.ask_controllers(addrs, order, left, attempt_ms).await? {
                ControlResponse::Expired => self.pause(deadline).await,
                answer => return Some(answer),
            }
        }
    }
}

fn command_id<S: RpcClient>(client: &S) -> CommandId {
    let mut id = CommandId::default();
    id[..8].copy_from_slice(&client.random_u64().to_le_bytes());
    id[8..].copy_from_slice(&client.random_u64().to_le_bytes());
    id
}

/// The store groups as seen by an edge, with one remembered leader for each group.
pub struct StoreClient<S> {
    client: S,
    groups: Mutex<BTreeMap<u32, Arc<LeaderClient<S>>>>,
    /// Attempts that had to be repeated, over all groups.
    pub retries: Arc<RefusalCounts>,
}

impl<S: RpcClient> StoreClient<S> {
    pub fn new(client: S) -> StoreClient<S> {
        StoreClient { client, groups: Mutex::default(), retries: Arc::default() }
    }

    pub async fn ask(&self, view: &View, program: &str, request: StoreRequest) -> Option<StoreResponse> {
        let group = view.store_group_of(program)?;
        let group_view = view.stores.get(&group)?;
        let mut addrs: Vec<String> =
            group_view.actual.iter().chain(&group_view.wanted).map(|m| m.addr.clone()).collect();
        addrs.dedup();
        let leader_client = {
            let mut groups = self.groups.lock().unwrap_or_else(|e| e.into_inner());
            let leader_client = || Arc::new(LeaderClient::shared(self.client.clone(), self.retries.clone()));
            groups.entry(group).or_insert_with(leader_client).clone()
        };
        match leader_client
            .ask(&addrs, Body::StoreRequest { group, ask: Box::new(request) }, STORE_TIMEOUT_MS, RPC_TIMEOUT_MS)
            .await
        {
            Some(Body::StoreResponse(response)) => Some(*response),
            _ => None,
        }
    }
}

/// Asks a store group's own leader which jobs are open, as requested by the controllers.
pub async fn open_jobs<S: RpcClient>(
    client: &S,
    own_addr: &str,
    group: u32,
    duty: &StoreAssignment,
) -> Option<OpenJobs> {
    let request = Body::StoreRequest { group, ask: Box::new(StoreRequest::ListOpenJobs) };
    match client.call(own_addr, request, RPC_TIMEOUT_MS).await {
        Some(Body::StoreResponse(response)) => match *response {
            StoreResponse::OpenJobs(jobs) => Some(OpenJobs { term: duty.term, asked_at: duty.leader_time, jobs }),
            _ => None,
        },
        _ => None,
    }
}

/// Renews an edge's lease in an endless loop, early if jobs wait without a slot. `on_change` is called whenever the
/// edge gains or loses the lease.
pub async fn renew_lease<S: RpcClient>(
    edge: &Edge,
    leader_client: &LeaderClient<S>,
    seeds: &[String],
    on_change: impl Fn(bool),
) {
    let client = &leader_client.client;
    let mut had_lease = false;
    loop {
        let sent = client.now();
        let mut addrs: Vec<String> = edge.view().controllers.iter().map(|member| member.addr.clone()).collect();
        // seeds are for the first contact, and for the case that all known controllers have moved away
        addrs.extend(seeds.iter().cloned());
        let request = ControlRequest::Renew(edge.build_renewal(sent));
        if let Some(ControlResponse::Grant(grant)) =
            leader_client.ask_controllers(&addrs, request, LEASE_MS, LEASE_RENEW_TIMEOUT_MS).await
        {
            edge.apply_grant(client.now(), sent, *grant);
        }
        edge.dispatch_all_queued(client.now());
        let has_lease = edge.has_lease(client.now());
        if has_lease != had_lease {
            on_change(has_lease);
            had_lease = has_lease;
        }
        while client.now() < sent + LEASE_RENEW_INTERVAL_MS {
            client.sleep(QUEUE_CHECK_INTERVAL_MS).await;
            if client.now() > sent + EARLY_RENEW_INTERVAL_MS && edge.is_starved(client.now()) {
                break;
            }
        }
    }
}

/// Processes an edge's queues in an endless loop: dispatches what can run and ends what has expired.
pub async fn run_queues<S: RpcClient>(edge: &Edge, client: &S) {
    let mut look_at = 0;
    loop {
        client.sleep(QUEUE_CHECK_INTERVAL_MS).await;
        let now = client.now();
        edge.clear_lapsed_shares(now);
        edge.dispatch_all_queued(now);
        if now >= look_at {
            look_at = now + QUEUE_SAMPLE_INTERVAL_MS;
            edge.sample_queues(now);
        }
    }
}
