//! Small fleets of real processes under many faults at once, by seed.
//!
//! CI plays a few seeds. More are played by `SOAK_SEEDS=FROM-TO cargo test --test soak`, a few dozen at a time.

mod support;
mod support_soak;

use std::env;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;
use support_soak::{fleet, plan::Plan};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// The seeds that CI plays.
const CI_SEEDS: RangeInclusive<u64> = 1..=8;
/// The runs that are played beside each other.
const PARALLEL_RUNS: usize = 4;

/// No run takes longer.
const MAX_RUN: Duration = Duration::from_secs(90);

/// The seeds that `SOAK_SEEDS` names, or those of CI.
fn seeds() -> RangeInclusive<u64> {
    let Ok(text) = env::var("SOAK_SEEDS") else { return CI_SEEDS };
    let (from, to) = text.split_once('-').expect("SOAK_SEEDS is FROM-TO");
    from.parse().expect("a number")..=to.parse().expect("a number")
}

#[tokio::test]
async fn small_fleets_keep_the_rules_under_many_faults() {
    let permits = Arc::new(Semaphore::new(PARALLEL_RUNS));
    let mut runs = JoinSet::new();
    for seed in seeds() {
        let permits = permits.clone();
        runs.spawn(async move {
            let _permit = permits.acquire().await.expect("it is not closed");
            let plan = Plan::of_seed(seed);
            let played = timeout(MAX_RUN, fleet::play(plan.clone())).await;
            let problems = played.unwrap_or_else(|_| vec!["the run does not end".to_owned()]);
            if !problems.is_empty() {
                eprintln!("seed {seed}: {plan:#?}");
            }
            (seed, problems)
        });
    }
    let mut results = runs.join_all().await;
    results.sort();
    let broken: Vec<String> = results
        .iter()
        .filter(|(_, problems)| !problems.is_empty())
        .map(|(seed, problems)| {
            format!(
                "seed {seed}: {} problems\n  {}",
                problems.len(),
                problems[..problems.len().min(8)].join("\n  ")
            )
        })
        .collect();
    eprintln!("{} of {} seeds keep the rules", results.len() - broken.len(), results.len());
    assert!(broken.is_empty(), "{} seeds:\n{}", broken.len(), broken.join("\n"));
}
