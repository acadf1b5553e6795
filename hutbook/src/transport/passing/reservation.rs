//! A turn's reservation at its store: asked for before its first byte goes out, settled at its end.

use super::*;
use crate::coordination::edge_admission::spread;

/// What became of asking for a reservation.
pub(super) enum Reservation {
    /// With the turns before this one, oldest first, and the server where its session ran last.
    Made {
        chain: Vec<Link>,
        server: String,
    },
    BudgetSpent,
    /// The turn that it goes on from is not kept.
    TurnUnknown,
    /// There is none, nor will there be.
    Refused {
        retry_after_ms: u64,
    },
    /// It may have been made, or be made yet.
    Unclear {
        retry_after_ms: u64,
    },
}

/// ms. How long a turn may wait for its reservation: a part of its route's aim.
fn patience(aim_ms: u64, part: u64) -> u64 {
    (aim_ms / part).clamp(RESERVE_LEAST_MS, RESERVE_MOST_MS)
}

/// Asks the turn's store group for a reservation, unless its last word still refuses the like.
pub(super) async fn reserve<G: PassGround>(g: &G, e: &Edge, turn: &TurnLeave, aim_ms: u64, came: u64) -> Reservation {
    let Some(group) = e.view().store_of(&turn.program) else {
        return Reservation::Refused { retry_after_ms: spread(RESERVE_BACK_MS, g.draw()) };
    };
    let class = e.admission().class_of(&turn.program, &turn.before, turn.retention_ms > 0);
    if let Some(ms) = e.admission().refusal(g.now(), group, class) {
        return Reservation::Refused { retry_after_ms: spread(ms, g.draw()) };
    }
    let answer = ask_in_time(g, e, turn, group, aim_ms, came).await;
    if answer.is_some() {
        e.admission().note_heard(g.now(), group);
    }
    match answer {
        Some(StoreResponse::TurnMay { chain, server }) => {
            e.admission().note_admitted(group, class, &turn.program);
            Reservation::Made { chain, server }
        }
        Some(StoreResponse::TurnSpent) => Reservation::BudgetSpent,
        Some(StoreResponse::TurnUnknown) => Reservation::TurnUnknown,
        Some(StoreResponse::Busy(Some(refusal))) => {
            e.admission().note_refusal(g.now(), group, &refusal);
            Reservation::Refused { retry_after_ms: spread(refusal.retry_after_ms, g.draw()) }
        }
        _ => Reservation::Unclear { retry_after_ms: spread(RESERVE_BACK_MS, g.draw()) },
    }
}

/// The store's answer; None when none came in time. A group that answers others is waited for longer.
async fn ask_in_time<G: PassGround>(
    g: &G,
    e: &Edge,
    turn: &TurnLeave,
    group: u32,
    aim_ms: u64,
    came: u64,
) -> Option<StoreResponse> {
    let mut ask = pin!(g.store(&turn.program, StoreRequest::TurnLeave(turn.clone())));
    let answer = within(g, came + patience(aim_ms, RESERVE_SILENT_PART), ask.as_mut()).await;
    if answer.is_some() || !e.admission().is_heard(g.now(), group) {
        return answer.flatten();
    }
    within(g, came + patience(aim_ms, RESERVE_HEARD_PART), ask).await.flatten()
}

/// The end of a turn, agreed; where it ran, and its link if it is kept. True once it stands.
pub(super) async fn settle<G: PassGround>(
    g: &G,
    e: &Edge,
    s: &Said,
    tokens: u64,
    server: String,
    kept: Option<Link>,
    for_ms: u64,
) -> bool {
    let Some(t) = &s.turn else { return true };
    let ask = StoreRequest::TurnEnd(TurnEnd {
        turn: t.turn.clone(),
        program: t.program.clone(),
        session: t.session.clone(),
        before: t.before.clone(),
        edge: e.id,
        tokens,
        server,
        kept,
        retention_ms: t.retention_ms,
    });
    let until = g.now() + for_ms;
    loop {
        match within(g, until, g.store(&t.program, ask.clone())).await.flatten() {
            Some(StoreResponse::Settled) => {
                if let Some(group) = e.view().store_of(&t.program) {
                    e.admission().note_heard(g.now(), group);
                }
                return true;
            }
            _ if g.now() >= until => return false,
            _ => g.nap(HUNT_MS).await,
        }
    }
}

/// The end of a turn that isn't kept: nobody waits for it.
pub(super) async fn end<G: PassGround>(g: &G, e: &Edge, s: &Said, tokens: u64, server: String, kept: Option<Link>) {
    settle(g, e, s, tokens, server, kept, PASS_END_MS).await;
}
