//! A TCP relay in front of each process of a fleet, so that frames between any two processes can be dropped in one
//! direction or both. Frames are forwarded whole; dropped frames are not sent again.

use hutbook::protocol::wire::{frame_len, unpack};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

#[derive(Default)]
struct Rules {
    /// Names by node id, as the processes report them.
    names: BTreeMap<u64, String>,
    /// Blocked links (from, to).
    blocked_links: BTreeSet<(String, String)>,
    dropped_frames: u64,
}

/// State that all relays of a fleet share.
#[derive(Clone, Default)]
pub struct RelayNetwork(Rc<RefCell<Rules>>);

impl RelayNetwork {
    pub fn register_node(&self, id: u64, name: &str) {
        self.0.borrow_mut().names.insert(id, name.into());
    }

    /// Blocks frames from `a` to `b`; in both directions if `both`.
    pub fn block_link(&self, a: &str, b: &str, both: bool) {
        let mut rules = self.0.borrow_mut();
        rules.blocked_links.insert((a.into(), b.into()));
        if both {
            rules.blocked_links.insert((b.into(), a.into()));
        }
    }

    /// Unblocks both directions between these two.
    pub fn heal_pair(&self, a: &str, b: &str) {
        let mut rules = self.0.borrow_mut();
        rules.blocked_links.remove(&(a.into(), b.into()));
        rules.blocked_links.remove(&(b.into(), a.into()));
    }

    pub fn heal_all(&self) {
        self.0.borrow_mut().blocked_links.clear();
    }

    /// Returns the number of dropped frames.
    pub fn dropped_frames(&self) -> u64 {
        self.0.borrow().dropped_frames
    }

    fn allows(&self, from: Option<u64>, to: &str) -> bool {
        let mut rules = self.0.borrow_mut();
        if rules.blocked_links.is_empty() {
            return true;
        }
        let cut = from
            .and_then(|f| rules.names.get(&f))
            .is_some_and(|f| rules.blocked_links.contains(&(f.clone(), to.to_string())));
        rules.dropped_frames += u64::from(cut);
        !cut
    }

    fn name_of(&self, id: Option<u64>) -> String {
        id.and_then(|i| self.0.borrow().names.get(&i).cloned()).unwrap_or_default()
    }

    /// Starts a relay that listens at `at` and forwards to the process `name` at `to`.
    pub async fn start(&self, at: SocketAddr, to: SocketAddr, name: &str) -> std::io::Result<()> {
        let listener = TcpListener::bind(at).await?;
        let (net, name) = (self.clone(), name.to_string());
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                actix_rt::spawn(relay_connection(net.clone(), stream, to, name.clone()));
            }
        });
        Ok(())
    }
}

/// Relays one connection. The sender of its first frame is the process that opened it.
async fn relay_connection(net: RelayNetwork, client: TcpStream, to: SocketAddr, name: String) {
    let Ok(process) = TcpStream::connect(to).await else { return };
    let _ = (client.set_nodelay(true), process.set_nodelay(true));
    let ((client_reader, client_writer), (process_reader, process_writer)) =
        (client.into_split(), process.into_split());
    let opener: Rc<RefCell<Option<u64>>> = Rc::default();
    let (forward_net, opener_cell) = (net.clone(), opener.clone());
    let to_process = forward_frames(client_reader, process_writer, move |from| {
        opener_cell.borrow_mut().get_or_insert(from);
        forward_net.allows(Some(from), &name)
    });
    let from_process = forward_frames(process_reader, client_writer, move |from| {
        net.allows(Some(from), &net.name_of(*opener.borrow()))
    });
    // if either end closes, both are closed, as without a relay
    tokio::select! {
        _ = to_process => {}
        _ = from_process => {}
    }
}

async fn forward_frames(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    allowed: impl Fn(u64) -> bool,
) -> Option<()> {
    loop {
        let mut head = [0; 4];
        reader.read_exact(&mut head).await.ok()?;
        let mut frame = vec![0; frame_len(head).ok()?];
        reader.read_exact(&mut frame).await.ok()?;
        // a frame that can't be decoded is forwarded; the receiver rejects it
        let forward = unpack(&frame, 0).map_or(true, |message| allowed(message.from));
        if forward {
            writer.write_all(&head).await.ok()?;
            writer.write_all(&frame).await.ok()?;
        }
    }
}
