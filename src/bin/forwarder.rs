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
    // Adopted first: no other descriptor may be opened before that could take its number.
    let listener = inherited_listener()?;
    let config = Config::from_env()?;
    // The forwarder is given one core: more threads would only add overhead.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(run(config, listener))?;
    Ok(())
}
