//! A tiny executor: tasks belong to a node, and a frozen node's tasks wait.

use std::collections::{BTreeMap, VecDeque};
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Wake, Waker};

type Ready = Arc<Mutex<VecDeque<u64>>>;

struct Bell {
    id: u64,
    ready: Ready,
}

impl Wake for Bell {
    fn wake(self: Arc<Self>) {
        self.ready.lock().expect("one thread").push_back(self.id);
    }
}

struct Task {
    node: String,
    life: u64,
    work: Pin<Box<dyn Future<Output = ()>>>,
}

#[derive(Default)]
pub struct Exec {
    tasks: BTreeMap<u64, Task>,
    ready: Ready,
    next: u64,
    /// Woken while their node was frozen.
    asleep: Vec<u64>,
}

impl Exec {
    pub fn spawn(&mut self, node: &str, life: u64, f: impl Future<Output = ()> + 'static) {
        self.next += 1;
        self.tasks.insert(self.next, Task { node: node.into(), life, work: Box::pin(f) });
        self.ready.lock().expect("one thread").push_back(self.next);
    }

    /// The next task that may run, taken out of its place.
    pub fn take(&mut self, frozen: impl Fn(&str) -> bool) -> Option<Taken> {
        loop {
            let id = self.ready.lock().expect("one thread").pop_front()?;
            let Some(t) = self.tasks.get(&id) else { continue };
            if frozen(&t.node) {
                self.asleep.push(id);
                continue;
            }
            let t = self.tasks.remove(&id).expect("just seen");
            return Some(Taken { id, task: t, waker: Waker::from(Arc::new(Bell { id, ready: self.ready.clone() })) });
        }
    }

    pub fn put_back(&mut self, t: Taken) {
        self.tasks.insert(t.id, t.task);
    }

    /// The tasks of a node's life that has ended; dropped by the caller, outside of any borrow.
    pub fn remove(&mut self, node: &str) -> Vec<impl Sized> {
        let ids: Vec<u64> = self.tasks.iter().filter(|(_, t)| t.node == node).map(|(i, _)| *i).collect();
        ids.iter().filter_map(|i| self.tasks.remove(i)).map(|t| t.work).collect()
    }

    pub fn wake_node(&mut self) {
        self.ready.lock().expect("one thread").extend(self.asleep.drain(..));
    }
}

pub struct Taken {
    id: u64,
    task: Task,
    waker: Waker,
}

impl Taken {
    /// Runs it once; true when it is done.
    pub fn run(&mut self) -> bool {
        let mut cx = Context::from_waker(&self.waker);
        matches!(self.task.work.as_mut().poll(&mut cx), Poll::Ready(()))
    }

    pub fn node(&self) -> (&str, u64) {
        (&self.task.node, self.task.life)
    }
}
