//! The rules that every run has to keep, and the check of a run against them.

use super::client::{Submission, SubmitResult};
use crate::support::{
    CallResult, DiscoveryHistory, DrainSettings, FirstByte, ForwarderTimeline, ViolationSummary, check_drains,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// A client may detect the end of a process this long before the signal is recorded.
const SIGNAL_ALLOWANCE: Duration = Duration::from_millis(100);
/// The longest time from the start of a process until it is ready.
const MAX_START: Duration = Duration::from_secs(10);

/// The record of a run.
pub(crate) struct RunRecord {
    pub settings: DrainSettings,
    pub destination: u64,
    /// The ids of the messages for which notices were sent.
    pub noticed_messages: BTreeSet<String>,
    pub first_bytes: Vec<FirstByte>,
    pub members: Vec<MemberRecord>,
}

/// What happened to one member.
pub(crate) struct MemberRecord {
    /// The ids of the messages of the member begin with this name and a hyphen.
    pub name: String,
    pub timeline: ForwarderTimeline,
    /// When SIGTERM and SIGKILL were sent to the process.
    pub ended_at: Vec<Instant>,
    /// When the process was ready after each start.
    pub ready_at: Vec<Instant>,
    pub submissions: BTreeMap<String, Submission>,
    /// How many clients stopped in the middle of a request and got neither an error nor a close.
    pub ignored_clients: usize,
    pub discovery: DiscoveryHistory,
}

/// Returns a line for each violation of a rule.
pub(crate) fn rule_violations(run: &RunRecord) -> Vec<String> {
    let delivered = messages_with_result(&run.first_bytes, |result| result == CallResult::Delivered);
    let mut violations = Vec::new();
    for member in &run.members {
        let name = &member.name;
        violations.extend(late_first_bytes(run, member).map(|problem| format!("{name}: drain: {problem}")));
        let without_response =
            member.submissions.iter().filter(|(_, submission)| member.lacks_response(submission));
        violations
            .extend(without_response.map(|(id, submission)| format!("{id}: no response: {submission:?}")));
        let unfinished = member.submissions.iter().filter(|(id, submission)| {
            submission.result == SubmitResult::Accepted
                && !delivered.contains(*id)
                && !run.noticed_messages.contains(*id)
        });
        violations
            .extend(unfinished.map(|(id, _)| format!("{id}: accepted, neither delivered nor in a notice")));
        let slow_starts = member.timeline.starts.iter().zip(&member.ready_at);
        violations.extend(
            slow_starts
                .filter(|(start, ready)| **ready - **start > MAX_START)
                .map(|(start, ready)| format!("{name}: ready after {:?}", *ready - *start)),
        );
    }
    let ignoring = run.members.iter().filter(|member| member.ignored_clients > 0);
    violations.extend(ignoring.map(|member| {
        format!(
            "{}: {} stalled clients got neither an error nor a close",
            member.name, member.ignored_clients
        )
    }));
    violations.extend(repeated_calls(&run.first_bytes));
    violations
}

fn late_first_bytes(run: &RunRecord, member: &MemberRecord) -> Option<String> {
    let is_of_member = |first_byte: &&FirstByte| first_byte.request_ids.iter().any(|id| member.submitted(id));
    let sent: Vec<FirstByte> = run.first_bytes.iter().filter(is_of_member).cloned().collect();
    let violations = check_drains(run.settings, run.destination, &member.discovery, &member.timeline, &sent);
    (!violations.is_empty()).then(|| ViolationSummary(&violations).to_string())
}

/// The ids of the messages whose calls ended with a result that matches.
fn messages_with_result(first_bytes: &[FirstByte], matches: impl Fn(CallResult) -> bool) -> BTreeSet<String> {
    let calls = first_bytes.iter().filter(|call| call.end.is_some_and(|(_, result)| matches(result)));
    calls.flat_map(|call| call.request_ids.iter().cloned()).collect()
}

/// Returns a line for each message that was in two calls at the same time, and for each that may have been
/// executed twice although it must not be.
fn repeated_calls(first_bytes: &[FirstByte]) -> Vec<String> {
    let mut calls_by_message: BTreeMap<&str, Vec<&FirstByte>> = BTreeMap::new();
    for call in first_bytes {
        for id in &call.request_ids {
            calls_by_message.entry(id).or_default().push(call);
        }
    }
    let mut violations = Vec::new();
    for (id, mut calls) in calls_by_message {
        calls.sort_by_key(|call| call.at);
        let is_parallel = |pair: &[&FirstByte]| pair[0].end.is_none_or(|(end, _)| pair[1].at < end);
        if calls.windows(2).any(is_parallel) {
            violations.push(format!("{id}: two calls at once"));
        }
        let may_have_run =
            |call: &&&FirstByte| call.end.is_none_or(|(_, result)| result != CallResult::NotExecuted);
        if must_not_be_repeated(id) && calls.iter().filter(may_have_run).count() > 1 {
            violations.push(format!("{id}: may have been executed twice"));
        }
    }
    violations
}

/// Whether the message must not be executed twice. The first client of each member submits such messages.
fn must_not_be_repeated(id: &str) -> bool {
    id.split('-').nth(1) == Some("0")
}

impl MemberRecord {
    fn submitted(&self, id: &str) -> bool {
        id.split('-').next() == Some(&self.name)
    }

    /// Whether a submission got no response, although no signal had ended the process.
    fn lacks_response(&self, submission: &Submission) -> bool {
        let Submission { sent_at, finished_at, result } = *submission;
        if matches!(result, SubmitResult::Accepted | SubmitResult::Rejected) {
            return false;
        }
        let is_down = self.down_times().any(|(from, until)| {
            from <= finished_at + SIGNAL_ALLOWANCE && until.is_none_or(|until| sent_at <= until)
        });
        !is_down
    }

    /// The time from each signal that ends the process until the next process is ready.
    fn down_times(&self) -> impl Iterator<Item = (Instant, Option<Instant>)> {
        self.ended_at.iter().map(|ended_at| {
            let until = self.ready_at.iter().find(|ready_at| *ready_at > ended_at);
            (*ended_at, until.copied())
        })
    }
}
