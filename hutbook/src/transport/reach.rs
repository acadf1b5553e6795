//! Finding whoever leads a group, and asking it.

use super::hut::Clock;
use super::post::Post;
use crate::constants::*;
use crate::coordination::core::CoreTell;
use crate::coordination::store::StoreTell;
use crate::protocol::wire::Body;
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub struct Reach {
    post: Arc<Post>,
    clock: Clock,
    hint: Mutex<Option<String>>,
}

enum Word {
    Answer,
    Go(String),
    Again,
}

/// Every ask of ours may be repeated: each carries what makes a second one harmless.
fn word(b: &Body) -> Word {
    let to = |m: &Option<crate::state::entry::Member>| m.as_ref().map_or(Word::Again, |m| Word::Go(m.addr.clone()));
    match b {
        Body::CoreSaid(t) => match &**t {
            CoreTell::NotLeader(m) => to(m),
            CoreTell::Lost | CoreTell::Busy => Word::Again,
            _ => Word::Answer,
        },
        Body::StoreSaid(t) => match &**t {
            StoreTell::NotLeader(m) => to(m),
            StoreTell::Lost | StoreTell::Busy => Word::Again,
            _ => Word::Answer,
        },
        _ => Word::Again,
    }
}

impl Reach {
    pub fn new(post: Arc<Post>, clock: Clock) -> Reach {
        Reach { post, clock, hint: Mutex::default() }
    }

    /// Asks until somebody answers or the time is over; `each` bounds one try.
    pub async fn ask(&self, addrs: &[String], body: Body, ms: u64, each: u64) -> Option<Body> {
        let end = self.clock.now() + ms;
        let mut turn = 0;
        let mut next = self.hint.lock().unwrap_or_else(|e| e.into_inner()).clone();
        loop {
            let now = self.clock.now();
            if now >= end {
                return None;
            }
            let to = match next.take() {
                Some(a) => a,
                None => {
                    turn += 1;
                    match addrs.get((turn - 1) % addrs.len().max(1)) {
                        Some(a) => a.clone(),
                        None => return None,
                    }
                }
            };
            let b = self.post.call(&to, body.clone(), each.min(end - now)).await;
            match b.as_ref().map(word) {
                Some(Word::Answer) => {
                    *self.hint.lock().unwrap_or_else(|e| e.into_inner()) = Some(to);
                    return b;
                }
                Some(Word::Go(a)) if a != to => next = Some(a),
                _ => {
                    *self.hint.lock().unwrap_or_else(|e| e.into_inner()) = None;
                    actix_rt::time::sleep(Duration::from_millis(HUNT_MS)).await;
                }
            }
        }
    }

    pub async fn core(
        &self,
        addrs: &[String],
        ask: crate::coordination::core::CoreAsk,
        ms: u64,
        each: u64,
    ) -> Option<CoreTell> {
        match self.ask(addrs, Body::Core(Box::new(ask)), ms, each).await {
            Some(Body::CoreSaid(t)) => Some(*t),
            _ => None,
        }
    }
}
