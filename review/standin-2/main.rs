//! The stand-ins of the second review: the platform, endpoints and clients, and the cases that play
//! them against a forwarder. It uses the standard library alone.
//!
//! `standin-2 CASE RECORD` runs from the root of the repository, starts the forwarder with the command
//! `run` of the deploy file, and exits with 1 if the rule was broken, 0 if it held and 2 if the case
//! could not run. With `TROUBLE=0` the case leaves its disruption out.

mod crowd;
mod discovery;
mod memory;
mod upgrade;
mod world;

use std::process::exit;
use std::thread;
use std::time::Duration;

/// A case that has not ended by then could not run.
const LONGEST_RUN: Duration = Duration::from_secs(110);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(record)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: standin-2 CASE RECORD");
        exit(2);
    };
    thread::spawn(|| {
        thread::sleep(LONGEST_RUN);
        world::end_all();
        eprintln!("the case has not ended in time");
        exit(2);
    });
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let result = match case.as_str() {
        "crowd" => crowd::run(record, trouble),
        "memory" => memory::run(record, trouble),
        "upgrade" => upgrade::run(record, trouble, upgrade::Operation::Upgrade),
        "restart" => upgrade::run(record, trouble, upgrade::Operation::Restart),
        _ => Err(format!("unknown case {case}")),
    };
    world::end_all();
    match result {
        Ok(true) => exit(0),
        Ok(false) => exit(1),
        Err(problem) => {
            eprintln!("could not run: {problem}");
            exit(2);
        }
    }
}
