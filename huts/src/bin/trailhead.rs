//! The edge: serves clients and dispatches their jobs while it holds a short lease.

use hutbook::protocol::settings::NodeRole;
use hutbook::transport::daemon;
use std::process::ExitCode;

fn main() -> ExitCode {
    daemon::main(NodeRole::Edge, |s| huts::edge::run(s, &hutbook::transport::header_names::HEADER_NAMES))
}
