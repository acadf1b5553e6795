//! The edge: serves callers and dispatches their work, under a short licence.

use hutbook::protocol::settings::Who;
use hutbook::transport::daemon;
use std::process::ExitCode;

fn main() -> ExitCode {
    daemon::main(Who::Trailhead, |s| huts::trailhead::run(s, &hutbook::transport::lexicon::LEXICON))
}
