//! Faults that last, and signals in series, beside those that the rest of a plan chooses.

use super::plan::{BEFORE_KILL, Incident, MemberPlan, Plan, ProcessStep, TRAFFIC};
use super::random::Choices;
use crate::support::{DiscoveryBehavior, DiscoveryMode};
use std::ops::Range;
use std::time::Duration;

/// Distinguishes these random choices from those of the rest of a plan, which stay as they are for each seed.
const STREAM: u64 = 0x7769_6465_7200_0000;
/// In this many of a hundred runs discovery cannot be used for most of the time.
const LASTING_FAULT_PERCENT: u64 = 50;
/// When such a fault begins, in milliseconds.
const LASTING_FAULT_BEGIN_MS: Range<u64> = 800..2500;
/// How long it lasts, in milliseconds: a list that is current when its watch ends is too old before the end of it.
const LASTING_FAULT_MS: Range<u64> = 9_500..12_000;
/// After how long a crowded service rejects a call then, in milliseconds.
const CROWD_PATIENCE_MS: Range<u64> = 0..1200;
/// In this many of a hundred cases a process lives through such a fault.
const SURVIVOR_PERCENT: u64 = 60;
/// Endpoints are released this much later in such a run: after watches have ended, and before the service can be used again.
const RELEASE_DELAY: Duration = Duration::from_millis(2500);
/// In this many of a hundred runs a small fleet has a crowd of idle clients.
const CROWD_PERCENT: u64 = 25;
/// The clients of a crowd at each process.
const CROWD: usize = 100;
/// The largest fleet that gets a crowd.
const MAX_FLEET_WITH_CROWD: usize = 10;
/// In this many of a hundred cases a signal is sent again, or another one with it.
const SERIES_PERCENT: u64 = 35;

/// Adds those of this seed to a plan.
pub(super) fn add(plan: &mut Plan, seed: u64) {
    let choices = &mut Choices::new(seed ^ STREAM);
    if choices.happens(LASTING_FAULT_PERCENT) {
        add_lasting_fault(plan, choices);
    }
    if plan.members.len() <= MAX_FLEET_WITH_CROWD && choices.happens(CROWD_PERCENT) {
        plan.traffic.crowd = CROWD;
    }
    for member in &mut plan.members {
        add_signals(member, choices);
    }
}

/// Discovery rejects calls, or is silent, for most of the run.
fn add_lasting_fault(plan: &mut Plan, choices: &mut Choices) {
    let crowded = DiscoveryBehavior::OverloadedByOthers { patience: choices.milliseconds(CROWD_PATIENCE_MS) };
    let behavior = match plan.mode {
        DiscoveryMode::Ask => choices.one_of(&[crowded, crowded, DiscoveryBehavior::Silent]),
        DiscoveryMode::Push => DiscoveryBehavior::Silent,
    };
    let begins_at = choices.milliseconds(LASTING_FAULT_BEGIN_MS);
    let duration = choices.milliseconds(LASTING_FAULT_MS);
    for member in &mut plan.members {
        if choices.happens(SURVIVOR_PERCENT) {
            member.steps.insert(0, ProcessStep::Wait(begins_at + duration));
        }
    }
    // The end of another fault would end this one.
    plan.incidents.retain(|(_, incident)| !matches!(incident, Incident::Discovery(..)));
    for (at, incident) in &mut plan.incidents {
        if matches!(incident, Incident::Drain(_) | Incident::Remove(_) | Incident::Add(_)) {
            *at += RELEASE_DELAY;
        }
    }
    plan.incidents.retain(|(at, _)| *at < TRAFFIC);
    plan.incidents.push((begins_at, Incident::Discovery(behavior, duration)));
    plan.incidents.sort_by_key(|(at, _)| *at);
}

/// Some signals come in series: SIGHUP after SIGHUP, SIGTERM right after SIGHUP, and SIGTERM again.
fn add_signals(member: &mut MemberPlan, choices: &mut Choices) {
    let mut steps = Vec::new();
    for (index, step) in member.steps.iter().copied().enumerate() {
        let is_last_step_before_kill = matches!(step, ProcessStep::Wait(BEFORE_KILL))
            && matches!(member.steps.get(index + 1), Some(ProcessStep::Kill));
        match step {
            ProcessStep::MoveDiscovery if choices.happens(SERIES_PERCENT) => {
                steps.extend([step, ProcessStep::Wait(choices.milliseconds(30..900)), step]);
            }
            // A successor may not get SIGHUP in its first second.
            ProcessStep::Terminate
                if !member.options.inherits_listener && choices.happens(SERIES_PERCENT) =>
            {
                steps.extend([ProcessStep::MoveDiscovery, step]);
            }
            ProcessStep::Wait(wait) if is_last_step_before_kill && choices.happens(SERIES_PERCENT) => {
                let until_second = choices.milliseconds(50..3000);
                steps.extend([ProcessStep::Wait(until_second), ProcessStep::Terminate]);
                steps.push(ProcessStep::Wait(wait.saturating_sub(until_second)));
            }
            _ => steps.push(step),
        }
    }
    member.steps = steps;
}
