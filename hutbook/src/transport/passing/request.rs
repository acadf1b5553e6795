//! What a request's headers say, and the request that a server is to get.

use super::*;

/// Headers that concern one session only.
pub(super) const HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
];

/// What a request's headers say.
pub(super) struct Said {
    pub(super) job: HeaderValue,
    pub(super) turn: Option<TurnLeave>,
    pub(super) want: Want,
    pub(super) ends: u64,
    /// Its program, where it belongs to one.
    pub(super) program: bool,
    /// Id of the last event that the user agent has.
    pub(super) last_event: Option<String>,
}

pub(super) fn text<'a>(h: &'a HeaderMap, name: &str) -> Option<&'a str> {
    h.get(name).and_then(|v| v.to_str().ok()).map(str::trim)
}

pub(super) fn number(h: &HeaderMap, name: &str) -> Option<u64> {
    text(h, name).and_then(|v| v.parse().ok())
}

pub(super) fn read(a: &Incoming, lex: &Lexicon, w: &Way, e: &Edge, now: u64) -> Option<Said> {
    let h = &a.headers;
    let job = h.get(lex.job)?.clone();
    let id = job.to_str().ok()?.to_string();
    let left = number(h, lex.time_left).unwrap_or(w.timeout_ms).min(w.timeout_ms);
    let parts: Vec<(u64, u32)> = text(h, lex.parts)
        .map(|t| t.split(',').filter_map(|p| p.trim().split_once(':')))
        .map(|ps| ps.filter_map(|(p, n)| Some((hash(p), n.parse().ok()?))).collect())
        .unwrap_or_default();
    let program = text(h, lex.program).map(str::to_string);
    let cap = text(h, lex.tokens).and_then(|t| t.split(',').nth(1)).and_then(|n| n.trim().parse().ok()).unwrap_or(0);
    let budget = number(h, lex.allowance);
    let before = text(h, lex.before).unwrap_or_default().to_string();
    // what neither counts against an allowance nor is kept needs no leave
    let turn = (w.nature == Nature::Stream && (budget.is_some() || w.kept)).then(|| TurnLeave {
        turn: id.clone(),
        program: program.clone().unwrap_or_else(|| id.clone()),
        session: text(h, lex.line).unwrap_or_default().to_string(),
        before: if w.kept { before } else { String::new() },
        budget: budget.unwrap_or(u64::MAX),
        cap,
        edge: e.id,
        run_ms: left,
        retention_ms: if w.kept { w.retention_ms } else { 0 },
        have: vec![],
        account_retention_ms: Some(w.retention_ms),
    });
    let once = w.nature == Nature::OnceOnly || w.nature == Nature::Stream && !w.resumable;
    Some(Said {
        job,
        turn,
        want: Want { parts, once, ..Want::default() },
        ends: now + left,
        program: program.is_some(),
        last_event: text(h, lex.last_event).map(str::to_string),
    })
}

/// The body a server is to get: what was said and answered before, then the new input.
pub(super) fn whole_talk(chain: &[Link], new: &Bytes) -> Bytes {
    if chain.is_empty() {
        return new.clone();
    }
    let n = chain.iter().map(|l| l.said.len() + l.answer.len()).sum::<usize>() + new.len();
    let mut b = BytesMut::with_capacity(n);
    chain.iter().for_each(|l| {
        b.extend_from_slice(&l.said);
        b.extend_from_slice(&l.answer);
    });
    b.extend_from_slice(new);
    b.freeze()
}

#[allow(clippy::too_many_arguments)]
pub(super) fn sending(
    a: &Incoming,
    lex: &Lexicon,
    s: &Said,
    at: &Spotted,
    body: Bytes,
    from: Option<&str>,
    now: u64,
) -> Sending {
    let mut h = HeaderMap::with_capacity(a.headers.len() + 2);
    let named = text(&a.headers, "connection").unwrap_or_default().to_ascii_lowercase();
    for (k, v) in a.headers.iter() {
        let n = k.as_str();
        if !HOP.contains(&n) && !named.split(',').any(|x| x.trim() == n) {
            h.append(k.clone(), v.clone());
        }
    }
    let mut set = |n: &'static str, v: &str| {
        if let Ok(v) = HeaderValue::from_str(v) {
            h.insert(HeaderName::from_static(n), v);
        }
    };
    let left = s.ends.saturating_sub(now).max(1);
    set(lex.time_left, &left.to_string());
    set(lex.server, &at.server);
    if let Some(id) = from.or(s.last_event.as_deref()) {
        set(lex.last_event, id);
    }
    Sending {
        method: a.method.clone(),
        target: a.target.clone(),
        headers: h,
        body,
        job: s.job.clone(),
        job_name: HeaderName::from_static(lex.job),
        wait_ms: left,
        fresh: s.want.once,
    }
}
