//! Runs the decision module for the simulator: requests on standard input, replies on standard output.

use std::io::{BufReader, BufWriter, stdin, stdout};
use std::process::ExitCode;

fn main() -> ExitCode {
    match message_forwarder::simulator::serve(BufReader::new(stdin().lock()), BufWriter::new(stdout().lock()))
    {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
