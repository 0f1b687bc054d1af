//! Runs the decision module for the simulator: requests on standard input, replies on standard output.

use message_forwarder::simulator;
use std::io::{BufReader, BufWriter, stdin, stdout};
use std::process::ExitCode;

fn main() -> ExitCode {
    let requests = BufReader::new(stdin().lock());
    let replies = BufWriter::new(stdout().lock());
    match simulator::serve(requests, replies) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
