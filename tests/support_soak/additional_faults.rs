//! Adds long faults of discovery, idle clients and repeated signals to a plan.

use super::plan::{Incident, MemberPlan, Plan, ProcessStep, TERMINATION_GRACE, TRAFFIC_DURATION};
use super::random::Choices;
use crate::support::{DiscoveryBehavior, DiscoveryMode};
use std::ops::Range;
use std::time::Duration;

/// Separates the random choices of this module from those of the rest of a plan, which stay as they are for
/// each seed.
const STREAM: u64 = 0x7769_6465_7200_0000;
/// The percentage of runs in which discovery cannot be used for most of the time.
const LONG_FAULT_PERCENT: u64 = 50;
/// When a long fault begins, in milliseconds after the start of the run.
const LONG_FAULT_START_MS: Range<u64> = 800..2500;
/// How long a long fault lasts, in milliseconds. A list that is current when its watch ends becomes stale
/// before the end of the fault.
const LONG_FAULT_DURATION_MS: Range<u64> = 9_500..12_000;
/// How long a call waits until an overloaded service rejects it, in milliseconds.
const OVERLOAD_PATIENCE_MS: Range<u64> = 0..1200;
/// The percentage of members whose process is not stopped or restarted until the end of a long fault.
const SURVIVOR_PERCENT: u64 = 60;
/// How much later the endpoint list changes in a run with a long fault: after watches have ended, and before
/// the service can be used again.
const LIST_CHANGE_DELAY: Duration = Duration::from_millis(2500);
/// The percentage of runs of a small fleet in which each process has many idle clients.
const IDLE_CLIENTS_PERCENT: u64 = 25;
/// The number of idle clients at each process of such a run.
const IDLE_CLIENTS: usize = 100;
/// The largest fleet that gets many idle clients.
const MAX_FLEET_WITH_IDLE_CLIENTS: usize = 10;
/// The percentage of signals that are sent again or together with another one.
const REPEATED_SIGNAL_PERCENT: u64 = 35;

/// Adds the faults that `seed` determines to a plan.
pub(super) fn add(plan: &mut Plan, seed: u64) {
    let choices = &mut Choices::new(seed ^ STREAM);
    if choices.happens(LONG_FAULT_PERCENT) {
        add_long_fault(plan, choices);
    }
    if plan.members.len() <= MAX_FLEET_WITH_IDLE_CLIENTS && choices.happens(IDLE_CLIENTS_PERCENT) {
        plan.traffic.idle_clients = IDLE_CLIENTS;
    }
    for member in &mut plan.members {
        repeat_signals(member, choices);
    }
}

/// Lets discovery reject calls or be silent for most of the run.
fn add_long_fault(plan: &mut Plan, choices: &mut Choices) {
    let overloaded =
        DiscoveryBehavior::OverloadedByOthers { patience: choices.milliseconds(OVERLOAD_PATIENCE_MS) };
    let behavior = match plan.mode {
        DiscoveryMode::Ask => choices.one_of(&[overloaded, overloaded, DiscoveryBehavior::Silent]),
        DiscoveryMode::Push => DiscoveryBehavior::Silent,
    };
    let starts_at = choices.milliseconds(LONG_FAULT_START_MS);
    let duration = choices.milliseconds(LONG_FAULT_DURATION_MS);
    for member in &mut plan.members {
        if choices.happens(SURVIVOR_PERCENT) {
            member.steps.insert(0, ProcessStep::Wait(starts_at + duration));
        }
    }
    // The end of another fault of discovery would end the long fault, too.
    plan.incidents.retain(|(_, incident)| !matches!(incident, Incident::Discovery(..)));
    for (at, incident) in &mut plan.incidents {
        if matches!(incident, Incident::Drain(_) | Incident::Remove(_) | Incident::Add(_)) {
            *at += LIST_CHANGE_DELAY;
        }
    }
    plan.incidents.retain(|(at, _)| *at < TRAFFIC_DURATION);
    plan.incidents.push((starts_at, Incident::Discovery(behavior, duration)));
    plan.incidents.sort_by_key(|(at, _)| *at);
}

/// Sends some signals in a row: SIGHUP after SIGHUP, SIGTERM right after SIGHUP, and a second SIGTERM.
fn repeat_signals(member: &mut MemberPlan, choices: &mut Choices) {
    let mut steps = Vec::new();
    for (index, step) in member.steps.iter().copied().enumerate() {
        let is_last_step_before_kill = matches!(step, ProcessStep::Wait(TERMINATION_GRACE))
            && matches!(member.steps.get(index + 1), Some(ProcessStep::Kill));
        match step {
            ProcessStep::MoveDiscovery if choices.happens(REPEATED_SIGNAL_PERCENT) => {
                steps.extend([step, ProcessStep::Wait(choices.milliseconds(30..900)), step]);
            }
            // The platform sends no SIGHUP to a successor within its first second.
            ProcessStep::Terminate
                if !member.options.inherits_listener && choices.happens(REPEATED_SIGNAL_PERCENT) =>
            {
                steps.extend([ProcessStep::MoveDiscovery, step]);
            }
            ProcessStep::Wait(wait)
                if is_last_step_before_kill && choices.happens(REPEATED_SIGNAL_PERCENT) =>
            {
                let until_second = choices.milliseconds(50..3000);
                steps.extend([ProcessStep::Wait(until_second), ProcessStep::Terminate]);
                steps.push(ProcessStep::Wait(wait.saturating_sub(until_second)));
            }
            _ => steps.push(step),
        }
    }
    member.steps = steps;
}
