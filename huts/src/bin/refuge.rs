//! The controller: holds the fleet's replicated state and steers the fleet.

use hutbook::protocol::settings::NodeRole;
use hutbook::transport::daemon;
use std::process::ExitCode;

fn main() -> ExitCode {
    daemon::main(NodeRole::Controller, |s| {
        huts::controller::run(s, Box::new(hutbook::transport::operator_api::NativeProtocol), None)
    })
}
