//! State that stays the same while one request is served.

use super::decision::DecisionRecord;
use super::request::{header_text, ProxyRequest};
use super::{IncomingRequest, ProxyEnvironment};
use crate::coordination::balancer::{Outcome, Placement};
use crate::coordination::control::EXTERNAL_CLIENT;
use crate::coordination::edge::Edge;
use crate::coordination::leased_view::LeasedView;
use crate::state::byte_budget::ReservedBytes;
use crate::state::config::{Group, ProxyRoute};
use actix_http::header::HeaderMap;
use bytes::Bytes;
use futures_util::future::{select, Either};
use std::pin::pin;
use std::sync::Arc;

pub(super) struct Context<'a, G> {
    pub(super) environment: &'a G,
    pub(super) edge: &'a Arc<Edge>,
    pub(super) names: &'a super::HeaderNames,
    pub(super) view: &'a LeasedView,
    pub(super) incoming: &'a IncomingRequest,
    /// The body that a server receives: the conversation so far, then the new input.
    pub(super) body: Bytes,
    /// Server where its session ran last; empty if unknown.
    pub(super) last_server: String,
    /// Memory reserved for the conversation so far.
    pub(super) memory: ReservedBytes,
    pub(super) route: &'a ProxyRoute,
    pub(super) service: &'a str,
    pub(super) request: &'a ProxyRequest,
    /// When the request arrived, in milliseconds.
    pub(super) arrived_at: u64,
    pub(super) record: &'a DecisionRecord,
}

impl<G: ProxyEnvironment> Context<'_, G> {
    pub(super) fn now(&self) -> u64 {
        self.environment.now()
    }

    /// Records that a send to a server has ended.
    pub(super) fn finish(&self, placement: &Placement, sent_at: u64, outcome: Outcome) {
        let now = self.now();
        self.edge.balancer().finish(now, placement, now - sent_at, outcome);
        self.record.note_send(&placement.server, sent_at - self.arrived_at, now - sent_at, outcome);
    }

    /// Records the load that an answer's header reports for its server, if any.
    pub(super) fn note_load(&self, placement: &Placement, headers: &HeaderMap) {
        let Some(text) = header_text(headers, self.names.server_load) else { return };
        let mut numbers = text.split(',').filter_map(|number| number.trim().parse::<u32>().ok());
        if let (Some(running), Some(waiting)) = (numbers.next(), numbers.next()) {
            self.edge.balancer().note_load(self.now(), placement, running, waiting);
        }
    }

    /// Records how long the service took, for the scaler.
    pub(super) fn note_timing(&self) {
        let is_model = |(name, group): (&String, &Group)| {
            group.proxy.as_ref().is_some_and(|settings| settings.max_batch_size > 0).then(|| name.clone())
        };
        // a program's tools are called by its model
        let caller = match (&self.request.turn, self.request.has_program) {
            (None, true) => self.view.config().and_then(|config| config.groups.iter().find_map(is_model)),
            _ => None,
        };
        let now = self.now();
        self.edge.record_latency(
            now,
            caller.as_deref().unwrap_or(EXTERNAL_CLIENT),
            self.service,
            now - self.arrived_at,
        );
    }
}

/// Awaits a future until `ends_at`. None if that time passes first.
pub(super) async fn within<G: ProxyEnvironment, T>(
    environment: &G,
    ends_at: u64,
    future: impl std::future::Future<Output = T>,
) -> Option<T> {
    let remaining = ends_at.saturating_sub(environment.now());
    match select(pin!(future), pin!(environment.sleep(remaining))).await {
        Either::Left((output, _)) => Some(output),
        Either::Right(_) => None,
    }
}
