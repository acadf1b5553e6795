//! What may happen next, and how often each kind of it may in one schedule.

use super::state::Event;

/// A node by its id; ids count from 1.
pub type NodeId = u8;

/// One step of a schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// The event at this place of the queue comes to pass: a message arrives, or a disk syncs its oldest batch.
    Take(u8),
    /// The oldest event goes behind all the others.
    Delay,
    /// The oldest event, a message, is lost.
    Lose,
    /// The message at this place arrives, and will arrive once more.
    Repeat(u8),
    /// A voter's election timer fires. Unless it is `alone`, the others have heard nothing of a leader either, so
    /// that none of them refuses a vote for that reason. A leader's time without its quorum runs out.
    TimeOut {
        node: NodeId,
        alone: bool,
    },
    /// A leader's heartbeat is due.
    Heartbeat(NodeId),
    /// Loss of power: of the batches under way to the disk the first `kept` are on it, the others are not.
    Crash {
        node: NodeId,
        kept: u8,
    },
    Restart(NodeId),
    /// From now on nothing arrives over this link, in this direction.
    Cut {
        from: NodeId,
        to: NodeId,
    },
    Heal {
        from: NodeId,
        to: NodeId,
    },
    /// A new caller's order.
    Order(NodeId),
    /// An order that was made before is sent again.
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
    /// A leader is asked to hand over.
    Transfer(NodeId),
    /// The applied log becomes a snapshot.
    Compact(NodeId),
}

/// In which order events come to pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// As they were caused, but for the delays, losses and repeats that the budget allows (delay-bounded search).
    InOrder,
    /// In every order. A message that never arrives is a lost one.
    Any,
}

/// How often each kind of fault or request may still happen.
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

    /// What `action` is paid from; None where it costs nothing.
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
        self.account(action).is_none_or(|left| *left > 0)
    }

    pub fn spend(&mut self, action: Action) {
        if let Some(left) = self.account(action) {
            *left = left.saturating_sub(1);
        }
    }
}

/// The places in `queue` of the events that may come to pass next, without repeats of equal ones.
pub fn places(queue: &[Event], delivery: Delivery) -> Vec<u8> {
    match delivery {
        Delivery::InOrder => (0..queue.len().min(1) as u8).collect(),
        Delivery::Any => (0..queue.len()).filter(|i| !queue[..*i].contains(&queue[*i])).map(|i| i as u8).collect(),
    }
}
