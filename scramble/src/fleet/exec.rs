//! A minimal task executor. Each task belongs to a node; tasks of a frozen node are deferred.

use std::collections::{BTreeMap, VecDeque};
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Wake, Waker};

type Ready = Arc<Mutex<VecDeque<u64>>>;

struct TaskWaker {
    id: u64,
    ready: Ready,
}

impl Wake for TaskWaker {
    fn wake(self: Arc<Self>) {
        self.ready.lock().expect("only one thread uses the lock").push_back(self.id);
    }
}

struct Task {
    node: String,
    incarnation: u64,
    future: Pin<Box<dyn Future<Output = ()>>>,
}

#[derive(Default)]
pub struct Executor {
    tasks: BTreeMap<u64, Task>,
    ready: Ready,
    next_id: u64,
    /// Tasks woken while their node was frozen.
    deferred: Vec<u64>,
}

impl Executor {
    pub fn spawn(&mut self, node: &str, incarnation: u64, future: impl Future<Output = ()> + 'static) {
        self.next_id += 1;
        self.tasks.insert(self.next_id, Task { node: node.into(), incarnation, future: Box::pin(future) });
        self.ready.lock().expect("only one thread uses the lock").push_back(self.next_id);
    }

    /// Takes the next task that may run.
    pub fn take_ready(&mut self, frozen: impl Fn(&str) -> bool) -> Option<RunnableTask> {
        loop {
            let id = self.ready.lock().expect("only one thread uses the lock").pop_front()?;
            let Some(task) = self.tasks.get(&id) else { continue };
            if frozen(&task.node) {
                self.deferred.push(id);
                continue;
            }
            let task = self.tasks.remove(&id).expect("just seen");
            return Some(RunnableTask {
                id,
                task,
                waker: Waker::from(Arc::new(TaskWaker { id, ready: self.ready.clone() })),
            });
        }
    }

    pub fn put_back(&mut self, task: RunnableTask) {
        self.tasks.insert(task.id, task.task);
    }

    /// Removes the tasks of a node whose process has ended. The caller drops them outside of any borrow.
    pub fn remove(&mut self, node: &str) -> Vec<impl Sized> {
        let ids: Vec<u64> = self.tasks.iter().filter(|(_, task)| task.node == node).map(|(id, _)| *id).collect();
        ids.iter().filter_map(|id| self.tasks.remove(id)).map(|task| task.future).collect()
    }

    pub fn wake_deferred(&mut self) {
        self.ready.lock().expect("only one thread uses the lock").extend(self.deferred.drain(..));
    }
}

pub struct RunnableTask {
    id: u64,
    task: Task,
    waker: Waker,
}

impl RunnableTask {
    /// Polls the task once. Returns true when it has finished.
    pub fn run(&mut self) -> bool {
        let mut context = Context::from_waker(&self.waker);
        matches!(self.task.future.as_mut().poll(&mut context), Poll::Ready(()))
    }

    pub fn node(&self) -> (&str, u64) {
        (&self.task.node, self.task.incarnation)
    }
}
