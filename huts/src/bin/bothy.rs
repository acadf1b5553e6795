//! The store: stores programs and jobs.

use hutbook::protocol::settings::NodeRole;
use hutbook::transport::daemon;
use std::process::ExitCode;

fn main() -> ExitCode {
    daemon::main(NodeRole::Store, huts::store::run)
}
