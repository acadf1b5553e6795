//! Connections between corkdrum processes, all carried by one thread.
//!
//! One-way messages are dropped while a connection is down, as a network would. A call whose connection ends will not
//! be answered any more, and may have run.

use super::pending_calls::{AnswerMatch, ConnectionId, PendingCalls};
use super::strangers::{Stranger, Strangers};
use crate::constants::*;
use crate::protocol::wire::{frame_len, pack, unpack, Body, Message};
use crate::state::byte_budget::{ByteBudget, ReservedBytes};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// Answers an incoming message.
pub struct Reply {
    id: u64,
    cluster: Arc<AtomicU64>,
    me: u64,
    queue: Arc<ByteBudget>,
    tx: mpsc::Sender<Frame>,
}

/// An encoded message that waits to be written, and the part of the queue's byte budget that it holds.
struct Frame {
    bytes: Vec<u8>,
    _reservation: Option<ReservedBytes>,
}

impl Frame {
    /// Queues a frame. None if the queue's byte budget is used up; the frame is dropped then, as a network would. Small
    /// frames are always accepted; they are bounded by their number.
    fn queued(bytes: Vec<u8>, queue: &Arc<ByteBudget>) -> Option<Frame> {
        let small = bytes.len() <= SMALL_FRAME_BYTES;
        let reservation = if small { None } else { Some(queue.try_reserve(bytes.len())?) };
        Some(Frame { bytes, _reservation: reservation })
    }
}

impl Reply {
    pub fn send(self, body: Body) {
        if self.id == 0 {
            return;
        }
        let message = Message { cluster: self.cluster.load(Ordering::Relaxed), from: self.me, id: self.id, body };
        // a peer whose outbox is full has stopped reading; its call will time out
        if let Some(frame) = Frame::queued(pack(&message), &self.queue) {
            let _ = self.tx.try_send(frame);
        }
    }
}

/// Messages and bytes that this process's connections carried, in both directions.
#[derive(Default)]
pub struct Traffic {
    pub sent: AtomicU64,
    pub sent_bytes: AtomicU64,
    pub received: AtomicU64,
    pub received_bytes: AtomicU64,
}

impl Traffic {
    fn record_sent(&self, bytes: usize) {
        self.sent.fetch_add(1, Ordering::Relaxed);
        self.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn record_received(&self, bytes: usize) {
        self.received.fetch_add(1, Ordering::Relaxed);
        self.received_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns the counters as (metric name, value).
    pub fn metrics(&self) -> [(&'static str, u64); 4] {
        let value = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        [
            ("letters_sent_total", value(&self.sent)),
            ("letters_sent_bytes_total", value(&self.sent_bytes)),
            ("letters_received_total", value(&self.received)),
            ("letters_received_bytes_total", value(&self.received_bytes)),
        ]
    }
}

pub type Handler = Arc<dyn Fn(Message, Reply) + Send + Sync>;

/// A frame to be written to the connection for its address.
struct OutgoingFrame {
    to: String,
    /// Id of the call that the frame starts; 0 if no answer is expected.
    call: u64,
    frame: Frame,
}

pub struct RpcTransport {
    pub node_id: u64,
    /// Address at which peers reach this process.
    pub advertised_addr: String,
    pub cluster: Arc<AtomicU64>,
    /// Number of frames refused: malformed, oversized, of another cluster or of another version.
    pub refused: Arc<AtomicU64>,
    pub traffic: Arc<Traffic>,
    /// Connections whose other side is not known to belong to the cluster.
    pub strangers: Arc<Strangers>,
    /// Byte budget of frames that wait to be written, over all connections.
    pub send_queue_bytes: Arc<ByteBudget>,
    /// Number of connections that this process opened and still tracks.
    opened: AtomicUsize,
    calls: Arc<PendingCalls>,
    outgoing: mpsc::Sender<OutgoingFrame>,
}

impl RpcTransport {
    fn new(me: u64, cluster: u64, at: SocketAddr) -> (Arc<RpcTransport>, mpsc::Receiver<OutgoingFrame>) {
        let (outgoing, rx) = mpsc::channel(MAX_OUTBOX_MESSAGES * 4);
        let transport = Arc::new(RpcTransport {
            node_id: me,
            advertised_addr: at.to_string(),
            cluster: Arc::new(AtomicU64::new(cluster)),
            refused: Arc::default(),
            traffic: Arc::default(),
            strangers: Arc::default(),
            send_queue_bytes: ByteBudget::new(DEFAULT_RPC_QUEUE_BYTES),
            opened: AtomicUsize::new(0),
            calls: Arc::default(),
            outgoing,
        });
        (transport, rx)
    }

    /// Creates a transport without its own thread or listener: it runs on the current runtime, for many nodes in
    /// one process.
    pub fn on_current_runtime(me: u64, at: SocketAddr) -> Arc<RpcTransport> {
        let (transport, rx) = RpcTransport::new(me, 0, at);
        actix_rt::spawn(run_connections(transport.clone(), rx));
        transport
    }

    /// Starts the thread. Returns once the listener is bound or has failed to bind.
    pub fn start(
        me: u64,
        cluster: u64,
        listen: Option<SocketAddr>,
        at: SocketAddr,
        handler: Handler,
    ) -> std::io::Result<Arc<RpcTransport>> {
        let (transport, rx) = RpcTransport::new(me, cluster, at);
        let (ready_tx, ready_rx) = std::sync::mpsc::channel();
        let task_transport = transport.clone();
        std::thread::Builder::new().name("post".into()).spawn(move || {
            actix_rt::System::new().block_on(async move {
                let listener = match listen {
                    Some(addr) => match TcpListener::bind(addr).await {
                        Ok(listener) => Some(listener),
                        Err(error) => return drop(ready_tx.send(Err(error))),
                    },
                    None => None,
                };
                drop(ready_tx.send(Ok(())));
                if let Some(listener) = listener {
                    actix_rt::spawn(accept(listener, task_transport.clone(), handler));
                }
                run_connections(task_transport, rx).await;
            })
        })?;
        ready_rx.recv().unwrap_or(Err(std::io::ErrorKind::BrokenPipe.into()))?;
        Ok(transport)
    }

    /// Returns the number of connections that this process opened and still tracks.
    pub fn connections(&self) -> usize {
        self.opened.load(Ordering::Relaxed)
    }

    fn encode(&self, id: u64, body: Body) -> Vec<u8> {
        pack(&Message { cluster: self.cluster.load(Ordering::Relaxed), from: self.node_id, id, body })
    }

    pub fn send(&self, to: &str, body: Body) {
        // the channel is full if the network thread is behind: the frame is dropped, as a network would
        if let Some(frame) = Frame::queued(self.encode(0, body), &self.send_queue_bytes) {
            let _ = self.outgoing.try_send(OutgoingFrame { to: to.to_string(), call: 0, frame });
        }
    }

    /// Sends a request and waits for the answer. None if the connection ended or no answer arrived in time; the request
    /// may have run then.
    pub async fn call(&self, to: &str, body: Body, ms: u64) -> Option<Body> {
        let mut call = self.calls.open()?;
        let frame = Frame::queued(self.encode(call.id, body), &self.send_queue_bytes)?;
        self.outgoing.try_send(OutgoingFrame { to: to.to_string(), call: call.id, frame }).ok()?;
        actix_rt::time::timeout(Duration::from_millis(ms), call.answer()).await.ok().flatten()
    }
}

/// Handle of the connection to one address.
struct Connection {
    id: ConnectionId,
    frames: mpsc::Sender<Frame>,
}

/// Sends each frame over the connection to its address, opening connections as needed.
async fn run_connections(transport: Arc<RpcTransport>, mut rx: mpsc::Receiver<OutgoingFrame>) {
    let mut connections: HashMap<String, Connection> = HashMap::new();
    let mut opened: ConnectionId = 0;
    while let Some(OutgoingFrame { to, call, frame }) = rx.recv().await {
        if connections.get(&to).is_none_or(|connection| connection.frames.is_closed()) {
            opened += 1;
            // removes connections to machines that no longer exist
            connections.retain(|_, connection| !connection.frames.is_closed());
            let (tx, frames) = mpsc::channel(MAX_OUTBOX_MESSAGES);
            actix_rt::spawn(connection(transport.clone(), to.clone(), opened, frames));
            connections.insert(to.clone(), Connection { id: opened, frames: tx });
            transport.opened.store(connections.len(), Ordering::Relaxed);
        }
        let connection = &connections[&to];
        transport.calls.bind(call, connection.id);
        // full if the peer doesn't keep up; its protocol resends
        if connection.frames.try_send(frame).is_err() {
            transport.calls.fail(call);
        }
    }
}

/// Runs one connection that this process opened, until it ends.
async fn connection(transport: Arc<RpcTransport>, addr: String, id: ConnectionId, mut frames: mpsc::Receiver<Frame>) {
    let connect = actix_rt::time::timeout(Duration::from_millis(CONNECT_TIMEOUT_MS), TcpStream::connect(&addr));
    if let Ok(Ok(stream)) = connect.await {
        set_socket_options(&stream);
        let (reader, writer) = stream.into_split();
        tokio::select! {
            _ = write(writer, &mut frames, &transport.traffic) => {}
            _ = take_answers(reader, &transport, &addr, id) => {}
        }
    }
    // frames still waiting are dropped with the channel
    frames.close();
    transport.calls.end_connection(id);
}

/// Delivers answers to their calls until the connection ends or delivers an answer to a call that was sent over another
/// connection.
async fn take_answers(mut reader: OwnedReadHalf, transport: &RpcTransport, addr: &str, id: ConnectionId) {
    while let Some(message) = read_message(&mut reader, transport, addr, None).await {
        if transport.calls.answer(id, message.id, message.body) == AnswerMatch::WrongConnection {
            transport.refused.fetch_add(1, Ordering::Relaxed);
            log::warn!("connection to {addr} closed: it answered a call that was sent over another connection");
            return;
        }
    }
}

/// Closes a connection if written data is not acknowledged within a bound. Behind a silent network cut, TCP would
/// otherwise retransmit at growing intervals, for seconds after the cut has healed.
fn set_socket_options(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(stream).set_tcp_user_timeout(Some(Duration::from_millis(TCP_USER_TIMEOUT_MS)));
}

async fn write(mut writer: OwnedWriteHalf, frames: &mut mpsc::Receiver<Frame>, traffic: &Traffic) {
    while let Some(frame) = frames.recv().await {
        traffic.record_sent(frame.bytes.len());
        let written =
            actix_rt::time::timeout(Duration::from_millis(WRITE_TIMEOUT_MS), writer.write_all(&frame.bytes)).await;
        if !matches!(written, Ok(Ok(()))) {
            return;
        }
    }
}

/// Reads the next message. None when the connection has ended; the reason is logged if this process closed it.
async fn read_message(
    reader: &mut OwnedReadHalf,
    transport: &RpcTransport,
    peer: &str,
    stranger: Option<&mut Stranger>,
) -> Option<Message> {
    let mut head = [0; 4];
    reader.read_exact(&mut head).await.ok()?;
    let fault = match frame_len(head) {
        Ok(length) => {
            let body = read_frame(reader, length, stranger).await?;
            transport.traffic.record_received(head.len() + length);
            match unpack(&body, transport.cluster.load(Ordering::Relaxed)) {
                Ok(message) => return Some(message),
                Err(error) => error,
            }
        }
        Err(error) => error,
    };
    transport.refused.fetch_add(1, Ordering::Relaxed);
    log::warn!("connection with {peer} closed: {fault}");
    None
}

/// Reads the rest of a frame. None if it doesn't arrive in time, or if there is no memory for a stranger's.
async fn read_frame(reader: &mut OwnedReadHalf, length: usize, mut stranger: Option<&mut Stranger>) -> Option<Vec<u8>> {
    let mut frame = Vec::new();
    while frame.len() < length {
        let start = frame.len();
        let end = length.min(start + FRAME_PIECE_BYTES);
        if let Some(stranger) = &mut stranger {
            if !stranger.hold(end) {
                return None;
            }
        }
        frame.resize(end, 0);
        let piece = reader.read_exact(&mut frame[start..]);
        let time_limit = Duration::from_millis(FRAME_PIECE_TIMEOUT_MS);
        actix_rt::time::timeout(time_limit, piece).await.ok()?.ok()?;
    }
    Some(frame)
}

async fn accept(listener: TcpListener, transport: Arc<RpcTransport>, handler: Handler) {
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            actix_rt::time::sleep(Duration::from_millis(TICK_MS)).await;
            continue;
        };
        actix_rt::spawn(serve(stream, from, transport.clone(), handler.clone()));
    }
}

/// Serves one connection that another process opened, until it ends. Nothing more is read after an unreadable frame, or
/// once its answers can't be written.
async fn serve(stream: TcpStream, from: SocketAddr, transport: Arc<RpcTransport>, handler: Handler) {
    set_socket_options(&stream);
    let (mut reader, writer) = stream.into_split();
    let (tx, mut frames) = mpsc::channel(MAX_OUTBOX_MESSAGES);
    let peer = from.to_string();
    let handle = |message: Message| {
        let (cluster, queue) = (transport.cluster.clone(), transport.send_queue_bytes.clone());
        let reply = Reply { id: message.id, cluster, me: transport.node_id, queue, tx: tx.clone() };
        handler(message, reply);
    };
    let read = async {
        if !serve_stranger(&mut reader, &transport, &peer, &handle).await {
            return;
        }
        while let Some(message) = read_message(&mut reader, &transport, &peer, None).await {
            handle(message);
        }
    };
    tokio::select! {
        _ = read => {}
        _ = write(writer, &mut frames, &transport.traffic) => {}
    }
}

/// Serves a connection until its other side has shown that it belongs to the cluster. Returns false if it ended before.
async fn serve_stranger(
    reader: &mut OwnedReadHalf,
    transport: &RpcTransport,
    peer: &str,
    handle: &impl Fn(Message),
) -> bool {
    let mut stranger = transport.strangers.admit();
    let close = stranger.close_signal();
    let read = async {
        loop {
            let time_limit = Duration::from_millis(STRANGER_TIMEOUT_MS);
            let next = actix_rt::time::timeout(time_limit, read_message(reader, transport, peer, Some(&mut stranger)));
            let Ok(Some(message)) = next.await else { return false };
            stranger.release();
            let cluster = transport.cluster.load(Ordering::Relaxed);
            let is_member = cluster != 0 && message.cluster == cluster;
            handle(message);
            if is_member {
                return true;
            }
        }
    };
    tokio::select! {
        is_member = read => is_member,
        _ = close.notified() => false,
    }
}
