//! A turn's reservation at its store: requested before its first byte is sent, settled at its end.

use super::context::within;
use super::request::ProxyRequest;
use super::*;
use crate::coordination::edge_admission::add_jitter;
use crate::coordination::store::{StoreRequest, StoreResponse, TurnAdmission, TurnEnd, TurnRecord};
use crate::state::turn_texts::TurnText;
use std::pin::pin;

/// The result of requesting a reservation.
pub(super) enum Reservation {
    /// Reserved, with the turns before this one, oldest first, and the server where its session ran last.
    Made {
        chain: Vec<TurnRecord>,
        server: String,
    },
    BudgetSpent,
    /// The turn that it continues from is not retained.
    TurnUnknown,
    /// No reservation exists, nor will one.
    Refused {
        retry_after_ms: u64,
    },
    /// The reservation may have been made, or may still be made.
    Unclear {
        retry_after_ms: u64,
    },
}

/// How long a turn may wait for its reservation, in milliseconds: a fraction of its route's latency target.
fn max_wait_ms(target_latency_ms: u64, part: u64) -> u64 {
    (target_latency_ms / part).clamp(MIN_RESERVE_TIMEOUT_MS, MAX_RESERVE_TIMEOUT_MS)
}

/// Requests a reservation from the turn's store group, unless the group's last answer still refuses this class of turn.
pub(super) async fn reserve<G: ProxyEnvironment>(
    environment: &G,
    edge: &Edge,
    mut turn: TurnAdmission,
    target_latency_ms: u64,
    arrived_at: u64,
) -> Reservation {
    let Some(group) = edge.view().store_group_of(&turn.program) else {
        return Reservation::Refused { retry_after_ms: add_jitter(RESERVE_RETRY_AFTER_MS, environment.random_u64()) };
    };
    let class = edge.admission().class_of(&turn.program, &turn.previous_turn, turn.retention_ms > 0);
    if let Some(ms) = edge.admission().refusal(environment.now(), group, class) {
        return Reservation::Refused { retry_after_ms: add_jitter(ms, environment.random_u64()) };
    }
    let stores_texts = edge.view().config.as_ref().is_some_and(|config| config.policy.turn_texts);
    let local_texts = if stores_texts { edge.turn_texts().chain(&turn.previous_turn) } else { vec![] };
    turn.cached_turns = local_texts.iter().map(|text| text.turn.clone()).collect();
    let answer = request_in_time(environment, edge, &turn, group, target_latency_ms, arrived_at).await;
    if answer.is_some() {
        edge.admission().record_answer(environment.now(), group);
    }
    match answer {
        Some(StoreResponse::TurnAdmitted { mut chain, server }) => {
            edge.admission().note_admitted(group, class, &turn.program);
            fill_in(&mut chain, local_texts);
            Reservation::Made { chain, server }
        }
        Some(StoreResponse::TurnBudgetSpent) => Reservation::BudgetSpent,
        Some(StoreResponse::PreviousTurnUnknown) => Reservation::TurnUnknown,
        Some(StoreResponse::Busy(Some(refusal))) => {
            edge.admission().note_refusal(environment.now(), group, &refusal);
            Reservation::Refused { retry_after_ms: add_jitter(refusal.retry_after_ms, environment.random_u64()) }
        }
        _ => Reservation::Unclear { retry_after_ms: add_jitter(RESERVE_RETRY_AFTER_MS, environment.random_u64()) },
    }
}

/// Fills in the texts that this edge holds itself: for those the store returns only the names, for the others the text.
fn fill_in(chain: &mut [TurnRecord], local_texts: Vec<TurnText>) {
    for link in chain {
        let is_named_only = link.input.is_empty() && link.answer.is_empty();
        let text = local_texts.iter().find(|text| text.turn == link.turn);
        if let Some(text) = text.filter(|_| is_named_only) {
            (link.input, link.answer) = (text.input.to_vec(), text.answer.to_vec());
        }
    }
}

/// Returns the store's answer, or None if none arrived in time. The wait is longer if the group answers other requests.
async fn request_in_time<G: ProxyEnvironment>(
    environment: &G,
    edge: &Edge,
    turn: &TurnAdmission,
    group: u32,
    target_latency_ms: u64,
    arrived_at: u64,
) -> Option<StoreResponse> {
    let mut pending = pin!(environment.store(&turn.program, StoreRequest::TurnAdmission(turn.clone())));
    let answer =
        within(environment, arrived_at + max_wait_ms(target_latency_ms, RESERVE_SILENT_DIVISOR), pending.as_mut())
            .await;
    if answer.is_some() || !edge.admission().answered_recently(environment.now(), group) {
        return answer.flatten();
    }
    within(environment, arrived_at + max_wait_ms(target_latency_ms, RESERVE_RESPONSIVE_DIVISOR), pending)
        .await
        .flatten()
}

/// Commits the end of a turn, with the server where it ran and its link if it is retained. Returns true once it is
/// committed.
pub(super) async fn settle<G: ProxyEnvironment>(
    environment: &G,
    edge: &Edge,
    request: &ProxyRequest,
    tokens: u64,
    server: String,
    record: Option<TurnRecord>,
    timeout_ms: u64,
) -> bool {
    let Some(turn) = &request.turn else { return true };
    let end_request = StoreRequest::TurnEnd(TurnEnd {
        turn: turn.turn.clone(),
        program: turn.program.clone(),
        session: turn.session.clone(),
        previous_turn: turn.previous_turn.clone(),
        edge: edge.id,
        tokens,
        server,
        record,
        retention_ms: turn.retention_ms,
    });
    let deadline = environment.now() + timeout_ms;
    loop {
        match within(environment, deadline, environment.store(&turn.program, end_request.clone())).await.flatten() {
            Some(StoreResponse::Settled) => {
                if let Some(group) = edge.view().store_group_of(&turn.program) {
                    edge.admission().record_answer(environment.now(), group);
                }
                return true;
            }
            _ if environment.now() >= deadline => return false,
            _ => environment.sleep(LEADER_RETRY_MS).await,
        }
    }
}

/// Commits the end of a turn that is not retained; no client waits for it.
pub(super) async fn end<G: ProxyEnvironment>(
    environment: &G,
    edge: &Edge,
    request: &ProxyRequest,
    tokens: u64,
    server: String,
    record: Option<TurnRecord>,
) {
    settle(environment, edge, request, tokens, server, record, TURN_END_TIMEOUT_MS).await;
}
