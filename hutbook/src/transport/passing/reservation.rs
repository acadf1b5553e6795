//! A turn's reservation at its store: asked for before its first byte goes out, settled at its end.

use super::*;

/// Leave is asked until it is given, refused, or out of time.
pub(super) async fn leave<G: PassGround>(g: &G, t: &TurnLeave, to: &Reply, until: u64) -> Option<StoreResponse> {
    loop {
        let r = within(g, until, g.store(&t.program, StoreRequest::TurnLeave(t.clone()))).await.flatten();
        match r {
            Some(StoreResponse::TurnMay { .. } | StoreResponse::TurnSpent | StoreResponse::TurnUnknown) => return r,
            _ if g.now() >= until || to.is_closed() => return None,
            _ => g.nap(HUNT_MS).await,
        }
    }
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
            Some(StoreResponse::Settled) => return true,
            _ if g.now() >= until => return false,
            _ => g.nap(HUNT_MS).await,
        }
    }
}

/// The end of a turn that isn't kept: nobody waits for it.
pub(super) async fn end<G: PassGround>(g: &G, e: &Edge, s: &Said, tokens: u64, server: String, kept: Option<Link>) {
    settle(g, e, s, tokens, server, kept, PASS_END_MS).await;
}
