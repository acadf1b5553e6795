//! The steps of a schedule, and the budget of each kind of step per schedule.

use super::state::Event;

/// Id of a node, counted from 1.
pub type NodeId = u8;

/// One step of a schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Processes the event at this position of the queue: a message is delivered, or a disk syncs its oldest batch.
    Take(u8),
    /// Moves the oldest event to the end of the queue.
    Delay,
    /// Drops the oldest event, which is a message.
    Lose,
    /// Delivers the message at this position and leaves a duplicate of it in the queue.
    Repeat(u8),
    /// A voter's election timer fires. Unless it is `alone`, the other nodes have not heard from a leader either, so
    /// that none of them refuses a vote for that reason. On a leader, the time allowed without a quorum expires.
    TimeOut {
        node: NodeId,
        alone: bool,
    },
    /// A leader's heartbeat is due.
    Heartbeat(NodeId),
    /// The node loses power: the first `kept` of its unsynced batches reach the disk, the others are lost.
    Crash {
        node: NodeId,
        kept: u8,
    },
    Restart(NodeId),
    /// Drops everything on this link, in this direction, from now on.
    Cut {
        from: NodeId,
        to: NodeId,
    },
    Heal {
        from: NodeId,
        to: NodeId,
    },
    /// A new client sends its order, a numbered command, to this node.
    Order(NodeId),
    /// A client sends its earlier order again.
    Resend {
        node: NodeId,
        caller: u8,
    },
    Read(NodeId),
    AddLearner {
        node: NodeId,
        who: NodeId,
    },
    Promote {
        node: NodeId,
        who: NodeId,
    },
    Remove {
        node: NodeId,
        who: NodeId,
    },
    /// Asks a leader to transfer its leadership.
    Transfer(NodeId),
    /// Compacts the applied log into a snapshot.
    Compact(NodeId),
}

/// The order in which events are processed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// First in, first out, except for the delays, losses and duplicates that the budget allows (delay-bounded search).
    InOrder,
    /// Any order. A message that is never delivered counts as lost.
    Any,
}

/// How many more times each kind of fault or request may occur.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Budget {
    pub delays: u8,
    pub losses: u8,
    pub repeats: u8,
    pub time_outs: u8,
    pub heartbeats: u8,
    pub crashes: u8,
    pub cuts: u8,
    pub orders: u8,
    pub resends: u8,
    pub reads: u8,
    pub changes: u8,
    pub transfers: u8,
    pub compactions: u8,
}

impl Budget {
    pub const NOTHING: Budget = Budget {
        delays: 0,
        losses: 0,
        repeats: 0,
        time_outs: 0,
        heartbeats: 0,
        crashes: 0,
        cuts: 0,
        orders: 0,
        resends: 0,
        reads: 0,
        changes: 0,
        transfers: 0,
        compactions: 0,
    };

    /// Returns the counter that `action` is charged to, or None if it is free.
    pub fn account(&mut self, action: Action) -> Option<&mut u8> {
        Some(match action {
            Action::Take(_) | Action::Restart(_) | Action::Heal { .. } => return None,
            Action::Delay => &mut self.delays,
            Action::Lose => &mut self.losses,
            Action::Repeat(_) => &mut self.repeats,
            Action::TimeOut { .. } => &mut self.time_outs,
            Action::Heartbeat(_) => &mut self.heartbeats,
            Action::Crash { .. } => &mut self.crashes,
            Action::Cut { .. } => &mut self.cuts,
            Action::Order(_) => &mut self.orders,
            Action::Resend { .. } => &mut self.resends,
            Action::Read(_) => &mut self.reads,
            Action::AddLearner { .. } | Action::Promote { .. } | Action::Remove { .. } => &mut self.changes,
            Action::Transfer(_) => &mut self.transfers,
            Action::Compact(_) => &mut self.compactions,
        })
    }

    pub fn allows(mut self, action: Action) -> bool {
        self.account(action).is_none_or(|remaining| *remaining > 0)
    }

    pub fn spend(&mut self, action: Action) {
        if let Some(remaining) = self.account(action) {
            *remaining = remaining.saturating_sub(1);
        }
    }
}

/// Returns the positions in `queue` of the events that may be processed next; of equal events only the first.
pub fn deliverable_positions(queue: &[Event], delivery: Delivery) -> Vec<u8> {
    match delivery {
        Delivery::InOrder => (0..queue.len().min(1) as u8).collect(),
        Delivery::Any => (0..queue.len()).filter(|i| !queue[..*i].contains(&queue[*i])).map(|i| i as u8).collect(),
    }
}
