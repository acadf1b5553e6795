//! Streams on their way from a server to the client, event by event.

use super::*;

/// Events of one stream: whole ones are passed on, what they hold is counted and gathered.
#[derive(Default)]
pub(super) struct Events {
    held: BytesMut,
    count: u64,
    last_id: Option<String>,
    /// Data of each event, each with a line feed, where the turn is kept.
    data: Option<Vec<u8>>,
}

impl Events {
    /// Whole events that these bytes complete, as they came.
    fn take(&mut self, b: &[u8]) -> Bytes {
        self.held.extend_from_slice(b);
        let mut at = 0;
        while let Some(n) = end_of_event(&self.held[at..]) {
            let ev = self.held[at..at + n].to_vec();
            self.note(&ev);
            at += n;
        }
        self.held.split_to(at).freeze()
    }

    fn note(&mut self, ev: &[u8]) {
        let mut any = false;
        for l in ev.split(|b| *b == b'\n') {
            let l = l.strip_suffix(b"\r").unwrap_or(l);
            let of = |k: &[u8]| l.strip_prefix(k).map(|v| v.strip_prefix(b" ").unwrap_or(v));
            if let Some(v) = of(b"data:") {
                if let Some(d) = &mut self.data {
                    // lines of one event's data are joined by line feeds
                    d.extend_from_slice(v);
                    d.push(b'\n');
                }
                any = true;
            } else if let Some(v) = of(b"id:") {
                self.last_id = Some(String::from_utf8_lossy(v).into_owned());
            }
        }
        self.count += u64::from(any);
    }
}

/// Length of the first whole event: up to and with its empty line.
pub(super) fn end_of_event(b: &[u8]) -> Option<usize> {
    let mut i = 0;
    while let Some(n) = b[i..].iter().position(|x| *x == b'\n') {
        i += n + 1;
        match b.get(i) {
            Some(b'\n') => return Some(i + 1),
            Some(b'\r') if b.get(i + 1) == Some(&b'\n') => return Some(i + 2),
            _ => {}
        }
    }
    None
}

pub(super) enum Streamed {
    Over,
    /// It broke before anything had been passed on: the reply, and the server.
    Again(Reply, String),
}

/// Passes a stream on, event by event; where it may be resumed, it goes on at another server.
#[allow(clippy::too_many_arguments)]
pub(super) async fn stream<G: PassGround + Clone + 'static>(
    g: &G,
    e: &Arc<Edge>,
    lex: &Lexicon,
    a: &Incoming,
    w: &Way,
    s: &Said,
    v: &View,
    at: Spotted,
    ans: G::Answer,
    body: Bytes,
    start: u64,
    came: u64,
    left: &mut u32,
    to: Reply,
) -> Streamed {
    let piece = v.group(&at.group).and_then(|x| x.pass.as_ref()).map_or(1, |p| p.piece_tokens.max(1));
    let kept = s.turn.is_some() && w.kept;
    let mut ev = Events { data: kept.then(Vec::new), ..Events::default() };
    let (mut at, mut ans, mut start) = (at, ans, start);
    let mut been = s.want.been.clone();
    // the head of the first server stays, whoever goes on
    let (status, headers) = (ans.status(), back(ans.headers()));
    let mut reply = Some(to);
    let mut tx: Option<mpsc::Sender<Result<Bytes, ()>>> = None;
    let whole = loop {
        let bite = match &tx {
            Some(t) => match select(pin!(within(g, s.ends, ans.next())), pin!(t.closed())).await {
                Either::Left((b, _)) => b.unwrap_or(Bite::Broken),
                Either::Right(_) => {
                    e.pass().left(g.now(), &at, g.now() - start, Went::Dropped);
                    break false;
                }
            },
            None => within(g, s.ends, ans.next()).await.unwrap_or(Bite::Broken),
        };
        match bite {
            Bite::Bytes(b) => {
                let out = ev.take(&b);
                if out.is_empty() {
                    continue;
                }
                if let Some(r) = reply.take() {
                    timed(e, v, g.now(), s, &at.group, g.now() - came);
                    let (t, rx) = mpsc::channel(PIECES);
                    let head = Outgoing { status, headers: headers.clone(), body: OutBody::Events(rx), own_code: None };
                    // a user agent that has gone is seen by the channel
                    let _ = r.send(head);
                    tx = Some(t);
                }
                if let Some(t) = &tx {
                    let _ = t.send(Ok(out)).await;
                }
            }
            // bytes after the last whole event are a stream that broke off
            Bite::End if ev.held.is_empty() && ev.count > 0 => {
                e.pass().left(g.now(), &at, g.now() - start, Went::Well);
                break true;
            }
            _ => {
                e.pass().left(g.now(), &at, g.now() - start, Went::Badly);
                ev.held.clear();
                let server = at.server.clone();
                if let Some(r) = reply.take() {
                    return Streamed::Again(r, server);
                }
                been.push(server);
                match resume(g, e, lex, a, w, s, &at.group, &body, &ev, &mut been, left).await {
                    Some((p, x)) => (at, ans, start) = (p, x, g.now()),
                    None => break false,
                }
            }
        }
    };
    let tokens = ev.count * piece;
    if kept && whole {
        let t = s.turn.as_ref().expect("a kept turn has its leave");
        let (said, answer) = (a.body.to_vec(), ev.data.take().unwrap_or_default());
        let link = Link { turn: t.turn.clone(), said, answer, stored: None };
        // its end is agreed before the answer is whole; unsure, it must not look complete
        if !settle(g, e, s, tokens, at.server, Some(link), PASS_KEPT_MS).await {
            if let Some(t) = &tx {
                let _ = t.send(Err(())).await;
            }
        }
        return Streamed::Over;
    }
    if let (false, Some(t)) = (whole, &tx) {
        let _ = t.send(Err(())).await;
    }
    drop(tx);
    end(g, e, s, tokens, at.server, None).await;
    Streamed::Over
}

/// Takes a stream up at another server, after the last event that was passed on.
#[allow(clippy::too_many_arguments)]
pub(super) async fn resume<G: PassGround + Clone + 'static>(
    g: &G,
    e: &Arc<Edge>,
    lex: &Lexicon,
    a: &Incoming,
    w: &Way,
    s: &Said,
    group: &str,
    body: &Bytes,
    ev: &Events,
    been: &mut Vec<String>,
    left: &mut u32,
) -> Option<(Spotted, G::Answer)> {
    let id = ev.last_id.clone()?;
    while w.resumable && *left > 0 && g.now() < s.ends {
        *left -= 1;
        let want = Want { been: been.clone(), ..s.want.clone() };
        let p = e.pass().place(g.now(), group, &want)?;
        let start = g.now();
        let req = sending(a, lex, s, &p, body.clone(), Some(&id), start);
        match judge(offer(g, e, &p, req).await, lex) {
            Went1::Answer(x) if x.status().is_success() => return Some((p, x)),
            Went1::NotRun(how) => e.pass().left(g.now(), &p, g.now() - start, how),
            _ => e.pass().left(g.now(), &p, g.now() - start, Went::Badly),
        }
        been.push(p.server);
    }
    None
}
