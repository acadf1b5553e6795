//! Fault injection for the in-memory fleet: lost processes and disks, freezes, partitions, slow and damaged disks;
//! and their repair.

use super::simulated_network::World;
use super::*;
use bytes::Bytes;
use hutbook::state::texts::TextPlace;
use std::rc::Rc;

impl World {
    /// Kills the process, as by `kill -9` or a power loss: writes that were not synced may be lost.
    pub fn kill(&self, name: &str) {
        self.0.borrow_mut().begin_fault(name, NodeFault::Down);
        self.terminate(name);
    }

    pub(super) fn terminate(&self, name: &str) {
        let dropped = {
            let mut inner = self.0.borrow_mut();
            let surviving_writes = inner.draw(3) as usize;
            let node = inner.nodes.get_mut(name).expect("known node");
            (node.up, node.frozen) = (false, false);
            node.incarnation += 1;
            node.held_events.clear();
            node.pending_requests.clear();
            node.disk.lose_power(surviving_writes);
            match &mut node.kind {
                NodeKind::Controller(replica) => *replica = None,
                NodeKind::Store { replica, .. } => *replica = None,
                // its next process is cold and has no stored responses
                NodeKind::Backend(backend) => {
                    (backend.running_jobs, backend.runs_finished, backend.answers) = (0, 0, BTreeMap::new())
                }
                _ => {}
            }
            inner.executor.remove(name)
        };
        drop(dropped);
    }

    /// A planned stop: accepts no new connections, finishes requests in progress, transfers leadership, then stops.
    pub fn stop(&self, name: &str) {
        self.record_planned_change();
        self.0.borrow_mut().nodes.get_mut(name).expect("known node").draining = true;
        let timeout_ms = match &self.0.borrow().nodes[name].kind {
            NodeKind::Edge(e) => e.max_drain_ms(),
            _ => STOP_TIMEOUT_MS,
        };
        let end = self.now() + timeout_ms;
        while self.now() < end && (self.leads(name) || self.active_requests(name) > 0) {
            if self.leads(name) {
                self.0.borrow_mut().step_replica(
                    name,
                    |r, now| r.step(now, Input::TransferLeadership),
                    |r, now| r.step(now, Input::TransferLeadership),
                );
            }
            self.run(CHECK_IN_INTERVAL_MS);
        }
        self.terminate(name);
    }

    fn leads(&self, name: &str) -> bool {
        self.with_controller(name, |r| r.is_leader()).or(self.with_store(name, |r| r.is_leader())).unwrap_or(false)
    }

    /// Returns the number of requests in progress at an edge.
    pub fn active_requests(&self, name: &str) -> usize {
        self.0.borrow().active_requests.get(name).map_or(0, |j| std::rc::Rc::strong_count(j) - 1)
    }

    /// Registers a request at an edge. It is in progress as long as the returned value lives.
    pub(super) fn register_request(&self, name: &str) -> Rc<()> {
        self.0.borrow_mut().active_requests.entry(name.into()).or_default().clone()
    }

    /// Ends all faults: starts stopped processes, unfreezes frozen ones, heals partitions and restores disks.
    pub fn end_all_faults(&self) {
        self.heal_partitions();
        self.set_message_loss(0);
        for name in self.process_names() {
            let (up, frozen, disk_lost, disk) = {
                let inner = self.0.borrow();
                let node = &inner.nodes[&name];
                (node.up, node.frozen, node.disk_lost, node.disk.sync_ms)
            };
            if disk != Some(SYNC_MS) {
                self.set_sync_latency(&name, Some(SYNC_MS));
            }
            if frozen {
                self.unfreeze(&name);
            }
            if !up && !disk_lost {
                self.start(&name);
            }
        }
        for name in self.names("tool").into_iter().chain(self.names("model")) {
            self.configure_backend(&name, |backend| backend.lose_answer_every = 0);
        }
    }

    pub fn start(&self, name: &str) {
        {
            let mut inner = self.0.borrow_mut();
            let now = inner.now;
            inner.end_fault(name, NodeFault::Down);
            let node = inner.nodes.get_mut(name).expect("known node");
            (node.up, node.draining, node.disk_lost) = (true, false, false);
            if let NodeKind::Backend(backend) = &mut node.kind {
                backend.started_at = now;
            }
        }
        self.start_process(name);
    }

    /// Kills the process and empties its disk. If it restarts, it does so as a new node.
    pub fn lose_disk(&self, name: &str) {
        self.kill(name);
        self.0.borrow_mut().nodes.get_mut(name).expect("known node").disk_lost = true;
        let mut inner = self.0.borrow_mut();
        let id = inner.rng.next_u64() | 1;
        let node = inner.nodes.get_mut(name).expect("known node");
        node.id = id;
        node.disk = Disk::new(SYNC_MS);
        if let NodeKind::Store { group, .. } = &mut node.kind {
            *group = None;
        }
    }

    pub fn freeze(&self, name: &str) {
        let mut inner = self.0.borrow_mut();
        inner.begin_fault(name, NodeFault::Frozen);
        inner.nodes.get_mut(name).expect("known node").frozen = true;
    }

    pub fn unfreeze(&self, name: &str) {
        let mut inner = self.0.borrow_mut();
        inner.end_fault(name, NodeFault::Frozen);
        let node = inner.nodes.get_mut(name).expect("known node");
        node.frozen = false;
        let held_events = std::mem::take(&mut node.held_events);
        let incarnation = node.incarnation;
        // messages that arrived meanwhile may be handled before or after the timers that expired
        let first = inner.draw(2) == 0;
        for event in held_events {
            if first {
                inner.deliver(name, event);
            } else {
                let now = inner.now;
                inner.schedule_at(now, Event::Deliver { node: name.into(), incarnation: Some(incarnation), event });
            }
        }
        inner.executor.wake_deferred();
    }

    /// Blocks messages from `a` to `b`; in both directions if `both`.
    pub fn block_link(&self, a: &str, b: &str, both: bool) {
        let mut inner = self.0.borrow_mut();
        inner.begin_fault(a, NodeFault::Partitioned);
        inner.begin_fault(b, NodeFault::Partitioned);
        inner.blocked_links.insert((a.into(), b.into()));
        if both {
            inner.blocked_links.insert((b.into(), a.into()));
        }
    }

    /// Isolates these nodes from all others.
    pub fn isolate(&self, names: &[&str]) {
        let all: Vec<String> = self.0.borrow().nodes.keys().cloned().collect();
        for a in names {
            all.iter().filter(|b| !names.contains(&b.as_str())).for_each(|b| self.block_link(a, b, true));
        }
    }

    pub fn heal_partitions(&self) {
        let mut inner = self.0.borrow_mut();
        let cuts = std::mem::take(&mut inner.blocked_links);
        cuts.iter().for_each(|(a, b)| {
            inner.end_fault(a, NodeFault::Partitioned);
            inner.end_fault(b, NodeFault::Partitioned);
        });
    }

    /// Sets how many messages in a thousand are lost.
    pub fn set_message_loss(&self, per_mille: u64) {
        let mut inner = self.0.borrow_mut();
        inner.loss_per_mille = per_mille;
        if per_mille > 0 {
            inner.begin_fault(crate::observations::NETWORK, NodeFault::MessageLoss);
        } else {
            inner.end_fault(crate::observations::NETWORK, NodeFault::MessageLoss);
        }
    }

    /// Sets how long a sync takes, in milliseconds; None stalls the disk.
    pub fn set_sync_latency(&self, name: &str, ms: Option<u64>) {
        let mut inner = self.0.borrow_mut();
        if ms == Some(SYNC_MS) {
            inner.end_fault(name, NodeFault::Disk);
        } else {
            inner.begin_fault(name, NodeFault::Disk);
        }
        inner.nodes.get_mut(name).expect("known node").disk.sync_ms = ms;
        inner.sync(name);
    }

    /// Corrupts every text on the disk that the store's state references.
    pub fn damage_texts(&self, name: &str) {
        let places: Vec<TextPlace> =
            self.with_store(name, |r| r.machine.stored_text_places().collect()).expect("the store is running");
        let inner = self.0.borrow();
        for place in places {
            let middle = (place.offset + place.length / 2) as usize;
            inner.nodes[name].disk.texts.corrupt(place.segment, |bytes| bytes[middle] ^= 4);
        }
    }

    pub fn pending_disk_writes(&self, name: &str) -> usize {
        self.0.borrow().nodes[name].disk.pending()
    }

    /// Returns a text from this machine's disk if it is intact, or still pending.
    pub fn stored_text(&self, name: &str, place: &TextPlace) -> Option<Bytes> {
        self.0.borrow().nodes[name].disk.text(place)
    }

    /// Returns the number of text writes that a power loss may take from this machine's disk.
    pub fn unsynced_texts(&self, name: &str) -> usize {
        self.0.borrow().nodes[name].disk.unsynced_texts()
    }
}
