//! Starts the forwarder.

use message_forwarder::forwarder::{Config, inherited_listener, run};
use std::error::Error;
use std::process::ExitCode;

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("forwarder: {error}");
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<(), Box<dyn Error>> {
    // Adopted before any other descriptor is opened that could take its number.
    let listener = inherited_listener()?;
    let config = Config::from_env()?;
    // A forwarder has one core: more threads would only add overhead.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(run(config, listener))?;
    Ok(())
}
