//! Runs the forwarder as configured by the environment.

use message_forwarder::forwarder::{Config, inherited_listener, run};
use std::error::Error;
use std::process::ExitCode;

fn main() -> ExitCode {
    match run_until_done() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("forwarder: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_until_done() -> Result<(), Box<dyn Error>> {
    // Must come first: a descriptor that is opened earlier could have the number of the inherited socket.
    let listener = inherited_listener()?;
    let config = Config::from_env()?;
    // The forwarder has one core, so that more threads would only add overhead.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(run(config, listener))?;
    Ok(())
}
