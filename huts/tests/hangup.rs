//! SIGHUP before a newcomer has been let in: it must not end the process.

use rustix::process::{kill_process, Pid, Signal};
use std::io::{BufRead, BufReader, Lines};
use std::process::{Child, ChildStderr, Command, Stdio};

/// A refuge whose only seed answers nobody, so that it asks to be let in for ever.
struct Newcomer {
    child: Child,
    log: Lines<BufReader<ChildStderr>>,
    data: std::path::PathBuf,
}

impl Newcomer {
    fn start() -> Newcomer {
        let data = std::env::temp_dir().join(format!("corkdrum-hangup-{}", std::process::id()));
        let mut command = Command::new(env!("CARGO_BIN_EXE_refuge"));
        command.args(["--wire", "127.0.0.1:23911", "--http", "127.0.0.1:23912", "--cell", "a"]);
        command.args(["--seed", "127.0.0.1:1", "--data"]).arg(&data);
        let mut child = command.stderr(Stdio::piped()).spawn().expect("it starts");
        let log = BufReader::new(child.stderr.take().expect("it is piped")).lines();
        Newcomer { child, log, data }
    }

    /// Reads its log up to a line with this text; false when it has ended before.
    fn says(&mut self, text: &str) -> bool {
        self.log.by_ref().map_while(Result::ok).any(|line| line.contains(text))
    }
}

impl Drop for Newcomer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.data);
    }
}

#[test]
fn a_hangup_before_the_core_has_answered_ends_nothing() {
    // given a newcomer that nobody has let in yet
    let mut newcomer = Newcomer::start();
    assert!(newcomer.says("no core has answered yet"), "it ended by itself");
    // when it gets SIGHUP
    kill_process(Pid::from_child(&newcomer.child), Signal::HUP).expect("it runs");
    // then it says so and goes on asking
    assert!(newcomer.says("settings are read at the start"), "SIGHUP ended it");
    assert!(newcomer.says("no core has answered yet"), "it ended after SIGHUP");
}
