//! Sessions between our own processes: one thread carries them all.
//!
//! One-way letters are dropped where a session is down, as a network would;
//! a call whose session breaks ends at once with nothing.

use crate::constants::*;
use crate::protocol::wire::{frame_len, pack, unpack, Body, Letter};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};

/// How an incoming letter is answered.
pub struct Reply {
    id: u64,
    cluster: Arc<AtomicU64>,
    me: u64,
    tx: mpsc::Sender<Vec<u8>>,
}

impl Reply {
    pub fn send(self, body: Body) {
        if self.id == 0 {
            return;
        }
        let l = Letter { cluster: self.cluster.load(Ordering::Relaxed), from: self.me, id: self.id, body };
        // a session whose outbox is full has stopped reading; its caller will time out
        let _ = self.tx.try_send(pack(&l));
    }
}

/// Letters and bytes that went over this process's sessions, both ways.
#[derive(Default)]
pub struct Traffic {
    pub sent: AtomicU64,
    pub sent_bytes: AtomicU64,
    pub got: AtomicU64,
    pub got_bytes: AtomicU64,
}

impl Traffic {
    fn out(&self, bytes: usize) {
        self.sent.fetch_add(1, Ordering::Relaxed);
        self.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn came(&self, bytes: usize) {
        self.got.fetch_add(1, Ordering::Relaxed);
        self.got_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// (name of the metric, value).
    pub fn told(&self) -> [(&'static str, u64); 4] {
        let n = |a: &AtomicU64| a.load(Ordering::Relaxed);
        [
            ("letters_sent_total", n(&self.sent)),
            ("letters_sent_bytes_total", n(&self.sent_bytes)),
            ("letters_received_total", n(&self.got)),
            ("letters_received_bytes_total", n(&self.got_bytes)),
        ]
    }
}

pub type Handler = Arc<dyn Fn(Letter, Reply) + Send + Sync>;
type Open = Arc<Mutex<HashMap<u64, (String, oneshot::Sender<Body>)>>>;

pub struct Post {
    pub me: u64,
    /// Where this process is reached.
    pub at: String,
    pub cluster: Arc<AtomicU64>,
    /// Frames refused: malformed, oversized, foreign or of another version.
    pub refused: Arc<AtomicU64>,
    pub traffic: Arc<Traffic>,
    next: AtomicU64,
    open: Open,
    out: mpsc::Sender<(String, Vec<u8>)>,
}

impl Post {
    fn new(me: u64, cluster: u64, at: SocketAddr) -> (Arc<Post>, mpsc::Receiver<(String, Vec<u8>)>) {
        let (out, rx) = mpsc::channel(OUTBOX * 4);
        let post = Arc::new(Post {
            me,
            at: at.to_string(),
            cluster: Arc::new(AtomicU64::new(cluster)),
            refused: Arc::default(),
            traffic: Arc::default(),
            next: AtomicU64::new(1),
            open: Open::default(),
            out,
        });
        (post, rx)
    }

    /// Without a thread or a listener of its own: carried by the caller's runtime, for many in one process.
    pub fn lodge(me: u64, at: SocketAddr) -> Arc<Post> {
        let (post, rx) = Post::new(me, 0, at);
        actix_rt::spawn(carry(post.clone(), rx));
        post
    }

    /// Starts the thread; answers once the listener stands or couldn't be had.
    pub fn start(
        me: u64,
        cluster: u64,
        listen: Option<SocketAddr>,
        at: SocketAddr,
        handler: Handler,
    ) -> std::io::Result<Arc<Post>> {
        let (post, rx) = Post::new(me, cluster, at);
        let (up, is_up) = std::sync::mpsc::channel();
        let p = post.clone();
        std::thread::Builder::new().name("post".into()).spawn(move || {
            actix_rt::System::new().block_on(async move {
                let l = match listen {
                    Some(a) => match TcpListener::bind(a).await {
                        Ok(l) => Some(l),
                        Err(e) => return drop(up.send(Err(e))),
                    },
                    None => None,
                };
                drop(up.send(Ok(())));
                if let Some(l) = l {
                    actix_rt::spawn(accept(l, p.clone(), handler));
                }
                carry(p, rx).await;
            })
        })?;
        is_up.recv().unwrap_or(Err(std::io::ErrorKind::BrokenPipe.into()))?;
        Ok(post)
    }

    fn letter(&self, id: u64, body: Body) -> Vec<u8> {
        pack(&Letter { cluster: self.cluster.load(Ordering::Relaxed), from: self.me, id, body })
    }

    pub fn send(&self, to: &str, body: Body) {
        // full means the network thread is behind: dropped, as a network would
        let _ = self.out.try_send((to.to_string(), self.letter(0, body)));
    }

    /// Asks and waits; None when the session broke or no answer came in time.
    pub async fn call(&self, to: &str, body: Body, ms: u64) -> Option<Body> {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        {
            let mut o = self.open.lock().unwrap_or_else(|e| e.into_inner());
            if o.len() >= OPEN_CALLS {
                return None;
            }
            o.insert(id, (to.to_string(), tx));
        }
        let sent = self.out.try_send((to.to_string(), self.letter(id, body))).is_ok();
        let r = match sent {
            true => actix_rt::time::timeout(Duration::from_millis(ms), rx).await.ok().and_then(|r| r.ok()),
            false => None,
        };
        self.open.lock().unwrap_or_else(|e| e.into_inner()).remove(&id);
        r
    }

    fn answer(&self, l: Letter) {
        let tx = self.open.lock().unwrap_or_else(|e| e.into_inner()).remove(&l.id);
        if let Some((_, tx)) = tx {
            // nobody waits any more: too late is as good as lost
            let _ = tx.send(l.body);
        }
    }

    /// Calls over a session that broke won't be answered.
    fn broke(&self, to: &str) {
        self.open.lock().unwrap_or_else(|e| e.into_inner()).retain(|_, (a, _)| a != to);
    }
}

/// Sends each frame over the session to its address, opening sessions as needed.
async fn carry(p: Arc<Post>, mut rx: mpsc::Receiver<(String, Vec<u8>)>) {
    let mut to: HashMap<String, mpsc::Sender<Vec<u8>>> = HashMap::new();
    while let Some((addr, frame)) = rx.recv().await {
        if to.get(&addr).is_none_or(|t| t.is_closed()) {
            let (tx, frames) = mpsc::channel(OUTBOX);
            actix_rt::spawn(session(p.clone(), addr.clone(), frames));
            to.insert(addr.clone(), tx);
        }
        // full: the partner doesn't keep up; its protocol sends again
        let _ = to[&addr].try_send(frame);
    }
}

async fn session(p: Arc<Post>, addr: String, mut frames: mpsc::Receiver<Vec<u8>>) {
    let connect = actix_rt::time::timeout(Duration::from_millis(CONNECT_MS), TcpStream::connect(&addr));
    let s = match connect.await {
        Ok(Ok(s)) => s,
        _ => {
            // what waited for it is dropped with the channel
            frames.close();
            p.broke(&addr);
            return;
        }
    };
    tune(&s);
    let (mut r, w) = s.into_split();
    let (q, read) = (p.clone(), addr.clone());
    let reader = actix_rt::spawn(async move {
        while let Some(l) = next(&mut r, &q, &read).await {
            q.answer(l);
        }
    });
    tokio::select! {
        _ = write(w, &mut frames, &p.traffic) => {}
        _ = reader => {}
    }
    frames.close();
    p.broke(&addr);
}

/// What was written and isn't taken within a moment ends the session: behind a silent cut it would be
/// tried again ever more seldom, for seconds after the cut has healed.
fn tune(s: &TcpStream) {
    let _ = s.set_nodelay(true);
    let _ = socket2::SockRef::from(s).set_tcp_user_timeout(Some(Duration::from_millis(UNACKED_MS)));
}

async fn write(mut w: OwnedWriteHalf, frames: &mut mpsc::Receiver<Vec<u8>>, t: &Traffic) {
    while let Some(f) = frames.recv().await {
        t.out(f.len());
        let done = actix_rt::time::timeout(Duration::from_millis(WRITE_MS), w.write_all(&f)).await;
        if !matches!(done, Ok(Ok(()))) {
            return;
        }
    }
}

/// The next letter, or None when the session is over, and why it was closed if we closed it.
async fn next(r: &mut OwnedReadHalf, p: &Post, who: &str) -> Option<Letter> {
    let mut head = [0; 4];
    r.read_exact(&mut head).await.ok()?;
    let fault = match frame_len(head) {
        Ok(n) => {
            let mut buf = vec![0; n];
            r.read_exact(&mut buf).await.ok()?;
            p.traffic.came(head.len() + n);
            match unpack(&buf, p.cluster.load(Ordering::Relaxed)) {
                Ok(l) => return Some(l),
                Err(e) => e,
            }
        }
        Err(e) => e,
    };
    p.refused.fetch_add(1, Ordering::Relaxed);
    log::warn!("session with {who} closed: {fault}");
    None
}

async fn accept(l: TcpListener, p: Arc<Post>, handler: Handler) {
    loop {
        let Ok((s, from)) = l.accept().await else {
            actix_rt::time::sleep(Duration::from_millis(TICK_MS)).await;
            continue;
        };
        let (p, h) = (p.clone(), handler.clone());
        actix_rt::spawn(async move {
            tune(&s);
            let (mut r, w) = s.into_split();
            let (tx, mut frames) = mpsc::channel(OUTBOX);
            let q = p.clone();
            actix_rt::spawn(async move { write(w, &mut frames, &q.traffic).await });
            let who = from.to_string();
            while let Some(l) = next(&mut r, &p, &who).await {
                let reply = Reply { id: l.id, cluster: p.cluster.clone(), me: p.me, tx: tx.clone() };
                h(l, reply);
            }
        });
    }
}
