//! The replicated state machine of the model checker. Its commands ("orders") are numbered; for each number, only the
//! first order that is applied is accepted.

use hutbook::coordination::raft::{MembershipChange, Raft, RejectReason};
use hutbook::coordination::replica::{LeaderContext, LeaderTask, Plan, StateMachine};
use hutbook::state::entry::{Member, Members};
use hutbook::state::snapshot_data::SnapshotData;

/// A client's command that claims a number. A resent command is equal to the first one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Order {
    pub number: u8,
    pub caller: u8,
}

impl Order {
    pub fn to_bytes(self) -> Vec<u8> {
        vec![self.number, self.caller]
    }

    pub fn from_bytes(bytes: &[u8]) -> Option<Order> {
        match bytes {
            [number, caller] => Some(Order { number: *number, caller: *caller }),
            _ => None,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Hash)]
pub enum Request {
    Order(Order),
    Read,
    Change(MembershipChange),
}

#[derive(Clone, Debug, PartialEq, Hash)]
pub enum Response {
    Accepted(Order),
    /// The number is already taken by another client's order.
    Overtaken(Order),
    Orders(Vec<Order>),
    MembersAgreed,
    Denied(RejectReason),
}

/// A rule of the state machine that a test disables, to show that the checker detects it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum MachineFault {
    #[default]
    None,
    /// A duplicate of an order is applied again.
    AppliesDuplicates,
    /// A number that is already taken accepts another order.
    NoCompareAndSet,
    /// A snapshot omits the newest order.
    SnapshotOmitsNewest,
}

/// The accepted orders, in log order.
#[derive(Clone, Debug, Default, PartialEq, Hash)]
pub struct Orders {
    pub accepted: Vec<Order>,
    pub fault: MachineFault,
}

impl Orders {
    pub fn new(fault: MachineFault) -> Orders {
        Orders { accepted: vec![], fault }
    }
}

impl StateMachine for Orders {
    type Request = Request;
    type Response = Response;
    type Computation = ();

    fn plan(&mut self, _context: LeaderContext, request: &Request) -> Plan<Response> {
        match request {
            Request::Order(order) => Plan::Propose(order.to_bytes()),
            Request::Read => Plan::Read,
            Request::Change(change) => Plan::Change(change.clone()),
        }
    }

    fn answer(&mut self, _context: LeaderContext, _request: Request) -> Response {
        Response::Orders(self.accepted.clone())
    }

    fn apply(&mut self, _index: u64, _term: u64, bytes: &[u8]) -> Response {
        let order = Order::from_bytes(bytes).expect("the checker proposes nothing else");
        let existing = self.accepted.iter().find(|o| o.number == order.number).copied();
        match existing {
            Some(o) if o == order && self.fault != MachineFault::AppliesDuplicates => Response::Accepted(order),
            Some(o) if o != order && self.fault != MachineFault::NoCompareAndSet => Response::Overtaken(order),
            _ => {
                self.accepted.push(order);
                Response::Accepted(order)
            }
        }
    }

    fn members_committed(&mut self, _index: u64, _members: &Members) -> Response {
        Response::MembersAgreed
    }

    fn snapshot(&self) -> SnapshotData {
        let omitted = usize::from(self.fault == MachineFault::SnapshotOmitsNewest);
        let retained = self.accepted.len().saturating_sub(omitted);
        self.accepted[..retained].iter().flat_map(|o| o.to_bytes()).collect::<Vec<u8>>().into()
    }

    fn restore(&mut self, data: &SnapshotData) {
        self.accepted = data.to_vec().chunks_exact(2).filter_map(Order::from_bytes).collect();
    }

    fn became_leader(&mut self, _context: LeaderContext) {}

    fn stepped_down(&mut self) {}

    fn tick(&mut self, _context: LeaderContext, _raft: &Raft) -> Vec<LeaderTask<()>> {
        vec![]
    }

    fn denied(&self, reason: RejectReason, _leader: Option<Member>) -> Response {
        Response::Denied(reason)
    }
}
