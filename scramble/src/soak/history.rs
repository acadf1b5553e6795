//! History of a run as observed by clients, servers and operators, on one monotonic clock. It is the only input of the
//! judges.

use crate::process_fleet::Exit;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

/// Microseconds since the start of the run.
pub type Micros = u64;

/// How a request ended from the client's point of view.
#[derive(Clone, Debug, PartialEq)]
pub enum Ending {
    Answered(Answer),
    /// The connection ended before an answer arrived.
    ConnectionEnded,
    /// No answer arrived before the client's time-out.
    NothingCame,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    pub status: u16,
    /// Name of the server that answered; empty if the edge answered itself.
    pub server: String,
    /// Request id in the answer; empty if it has none.
    pub id: String,
    /// True if the body arrived completely according to its framing.
    pub is_whole: bool,
    pub body: Vec<u8>,
    /// True if bytes follow the answer that belong to no request.
    pub has_surplus: bool,
    /// True if the answer has a `retry-after` header.
    pub says_when: bool,
}

#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub client: usize,
    pub connection: u64,
    /// Name of the edge and the number of its incarnation.
    pub edge: String,
    pub incarnation: u64,
    pub path: String,
    /// Id of the turn that this turn continues; empty for a first turn or a request that is no turn.
    pub previous_turn: String,
    pub sent: Micros,
    pub ended: Option<(Micros, Ending)>,
}

/// The start of a request's execution on a server.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Micros,
    pub id: String,
    pub server: String,
    pub service: &'static str,
    pub body: Vec<u8>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    Change,
    Invalid,
}

/// Final outcome of a change as reported to the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeResult {
    /// Accepted as this revision.
    Acknowledged(u64),
    Refused(u16),
    /// No definite answer in time: the change may or may not be in force.
    Unclear,
}

#[derive(Clone, Debug)]
pub struct ConfigChange {
    /// Number of the change, from which its document is generated (see document.rs).
    pub number: u64,
    pub kind: ChangeKind,
    pub base: u64,
    pub sent: Micros,
    pub ended: Option<(Micros, ChangeResult)>,
}

/// A read of the configuration that returned a revision.
#[derive(Clone, Debug)]
pub struct Read {
    pub sent: Micros,
    pub node: String,
    pub revision: u64,
}

/// Signal that the run sent to a process and when, if any. It determines how the process may end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopRequest {
    Nothing,
    Terminate(Micros),
    Kill(Micros),
}

/// One incarnation of a process, from its start to its end.
#[derive(Clone, Debug)]
pub struct Incarnation {
    pub process: String,
    pub number: u64,
    pub started: Micros,
    pub stop_request: StopRequest,
    /// Spans during which the process was stopped by SIGSTOP.
    pub frozen: Vec<(Micros, Micros)>,
    /// When and how it ended.
    pub ended: Option<(Micros, Exit)>,
}

/// Resource usage of all processes at one moment.
#[derive(Clone, Debug)]
pub struct Sample {
    pub at: Micros,
    /// Number of connections from edges that are open at the servers.
    pub open_at_servers: u64,
    pub usages: Vec<Usage>,
}

#[derive(Clone, Debug)]
pub struct Usage {
    pub process: String,
    pub is_edge: bool,
    pub incarnation: u64,
    pub files: u64,
    pub threads: u64,
    pub memory_kb: u64,
}

/// A period during which a process was cut off from the network.
#[derive(Clone, Debug)]
pub struct Cut {
    pub process: String,
    pub from: Micros,
    pub to: Micros,
}

/// An event that was applied to the fleet.
#[derive(Clone, Debug)]
pub struct AppliedEvent {
    pub at: Micros,
    pub kind: &'static str,
    pub description: String,
}

#[derive(Clone, Debug, Default)]
pub struct Records {
    pub requests: Vec<Request>,
    pub runs: Vec<Run>,
    /// Ids of the requests whose server broke off an answer to them.
    pub broken_answers: BTreeSet<String>,
    pub config_changes: Vec<ConfigChange>,
    pub reads: Vec<Read>,
    pub incarnations: Vec<Incarnation>,
    pub samples: Vec<Sample>,
    pub cuts: Vec<Cut>,
    pub events: Vec<AppliedEvent>,
    pub connections: u64,
    /// When all processes were ready again after the last event; the quiet period starts here. 0 if that never
    /// happened.
    pub recovered_at: Micros,
    pub end: Micros,
}

impl Records {
    /// Returns the runs of each request in order.
    pub fn runs_by_id(&self) -> BTreeMap<&str, Vec<&Run>> {
        let mut by_id: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
        self.runs.iter().for_each(|run| by_id.entry(run.id.as_str()).or_default().push(run));
        by_id
    }

    /// Returns true if a selected process was down, frozen or cut off at any moment of the span.
    pub fn was_disrupted(&self, is_selected: impl Fn(&str) -> bool, from: Micros, to: Micros) -> bool {
        let overlaps = |a: Micros, b: Micros| a <= to && b >= from;
        let incarnations = self.incarnations.iter().filter(|incarnation| is_selected(&incarnation.process));
        let had_event = |incarnation: &Incarnation| {
            let ended = incarnation.ended.is_some_and(|(at, _)| overlaps(at, at));
            let started = incarnation.number > 1 && overlaps(incarnation.started, incarnation.started);
            let stopped = matches!(incarnation.stop_request,
                StopRequest::Kill(at) | StopRequest::Terminate(at) if overlaps(at, at));
            ended || started || stopped || incarnation.frozen.iter().any(|(a, b)| overlaps(*a, *b))
        };
        let is_down = |incarnation: &Incarnation| {
            let (Some((ended, _)), next) = (incarnation.ended, incarnation.number + 1) else { return false };
            let restarted = self.incarnation(&incarnation.process, next).map_or(Micros::MAX, |next| next.started);
            overlaps(ended, restarted)
        };
        let is_cut = |cut: &&Cut| is_selected(&cut.process) && overlaps(cut.from, cut.to);
        incarnations.clone().any(had_event)
            || incarnations.clone().any(is_down)
            || self.cuts.iter().any(|cut| is_cut(&cut))
    }

    pub fn incarnation(&self, process: &str, number: u64) -> Option<&Incarnation> {
        self.incarnations.iter().find(|incarnation| incarnation.process == process && incarnation.number == number)
    }
}

/// Recorder of the history of a running soak.
pub struct History {
    started: Instant,
    pub records: RefCell<Records>,
    next_connection: Cell<u64>,
    open_at_servers: Cell<u64>,
}

impl Default for History {
    fn default() -> History {
        History {
            started: Instant::now(),
            records: RefCell::default(),
            next_connection: Cell::new(0),
            open_at_servers: Cell::new(0),
        }
    }
}

impl History {
    pub fn now(&self) -> Micros {
        self.started.elapsed().as_micros() as Micros
    }

    pub fn record_connection(&self) -> u64 {
        self.records.borrow_mut().connections += 1;
        self.next_connection.set(self.next_connection.get() + 1);
        self.next_connection.get()
    }

    pub fn server_connection_opened(&self) {
        self.open_at_servers.set(self.open_at_servers.get() + 1);
    }

    pub fn server_connection_closed(&self) {
        self.open_at_servers.set(self.open_at_servers.get() - 1);
    }

    pub fn record_sample(&self, usages: Vec<Usage>) {
        let sample = Sample { at: self.now(), open_at_servers: self.open_at_servers.get(), usages };
        self.records.borrow_mut().samples.push(sample);
    }

    /// Records a request just before its first byte is sent. Returns its index for `end_request`.
    pub fn record_request(&self, mut request: Request) -> usize {
        request.sent = self.now();
        let mut records = self.records.borrow_mut();
        records.requests.push(request);
        records.requests.len() - 1
    }

    pub fn end_request(&self, index: usize, ending: Ending) {
        let now = self.now();
        self.records.borrow_mut().requests[index].ended = Some((now, ending));
    }

    pub fn record_run(&self, id: String, server: &str, service: &'static str, body: Vec<u8>) {
        let at = self.now();
        self.records.borrow_mut().runs.push(Run { at, id, server: server.into(), service, body });
    }

    pub fn record_broken_answer(&self, id: String) {
        self.records.borrow_mut().broken_answers.insert(id);
    }

    pub fn record_change(&self, number: u64, kind: ChangeKind, base: u64) -> usize {
        let change = ConfigChange { number, kind, base, sent: self.now(), ended: None };
        let mut records = self.records.borrow_mut();
        records.config_changes.push(change);
        records.config_changes.len() - 1
    }

    pub fn end_change(&self, index: usize, result: ChangeResult) {
        let now = self.now();
        self.records.borrow_mut().config_changes[index].ended = Some((now, result));
    }

    pub fn record_event(&self, kind: &'static str, description: String) {
        let at = self.now();
        self.records.borrow_mut().events.push(AppliedEvent { at, kind, description });
    }
}

/// Returns the whole history as one JSON line per event, sorted by time.
pub fn json_lines(records: &Records) -> Vec<(Micros, String)> {
    let mut lines: Vec<(Micros, String)> = vec![];
    let mut add = |at: Micros, value: jzon::JsonValue| lines.push((at, value.dump()));
    for request in &records.requests {
        add(
            request.sent,
            jzon::object! { at_us: request.sent, event: "request", id: request.id.as_str(), client: request.client,
            connection: request.connection, edge: request.edge.as_str(), life: request.incarnation,
            path: request.path.as_str(), before: request.previous_turn.as_str() },
        );
        if let Some((at, ending)) = &request.ended {
            let ending = format!("{ending:?}");
            add(*at, jzon::object! { at_us: *at, event: "request_ended", id: request.id.as_str(), told: ending });
        }
    }
    for run in &records.runs {
        add(
            run.at,
            jzon::object! { at_us: run.at, event: "run", id: run.id.as_str(),
            server: run.server.as_str(), service: run.service },
        );
    }
    for change in &records.config_changes {
        let kind = format!("{:?}", change.kind);
        add(
            change.sent,
            jzon::object! { at_us: change.sent, event: "order", number: change.number, kind: kind, base: change.base },
        );
        if let Some((at, end)) = &change.ended {
            add(
                *at,
                jzon::object! { at_us: *at, event: "order_ended", number: change.number, told: format!("{end:?}") },
            );
        }
    }
    for read in &records.reads {
        add(
            read.sent,
            jzon::object! { at_us: read.sent, event: "read", node: read.node.as_str(), revision: read.revision },
        );
    }
    for incarnation in &records.incarnations {
        add(
            incarnation.started,
            jzon::object! { at_us: incarnation.started, event: "start",
            process: incarnation.process.as_str(), life: incarnation.number },
        );
        if let Some((at, exit)) = incarnation.ended {
            let (stop_request, exit) = (format!("{:?}", incarnation.stop_request), format!("{exit:?}"));
            add(
                at,
                jzon::object! { at_us: at, event: "end", process: incarnation.process.as_str(),
                life: incarnation.number, told: stop_request, exit: exit },
            );
        }
    }
    for event in &records.events {
        add(
            event.at,
            jzon::object! { at_us: event.at, event: "done", kind: event.kind, what: event.description.as_str() },
        );
    }
    lines.sort_by_key(|(at, _)| *at);
    lines
}
