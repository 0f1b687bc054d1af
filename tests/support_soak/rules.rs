//! The rules that every run has to keep.

use super::client::{Answer, Submission};
use crate::support::{
    CallResult, DiscoveryHistory, DrainSettings, FirstByte, ForwarderTimeline, ViolationSummary, check_drains,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// A client may notice the end of a process this long before that is recorded.
const SIGNAL_ALLOWANCE: Duration = Duration::from_millis(100);
/// No process may take longer to be ready.
const MAX_START: Duration = Duration::from_secs(10);

/// What a run left behind.
pub(crate) struct RunRecord {
    pub settings: DrainSettings,
    pub destination: u64,
    /// The messages that notices named.
    pub noticed: BTreeSet<String>,
    pub first_bytes: Vec<FirstByte>,
    pub members: Vec<MemberRecord>,
}

/// What happened to one member.
pub(crate) struct MemberRecord {
    /// The ids of its messages begin with this and a hyphen.
    pub name: String,
    pub timeline: ForwarderTimeline,
    /// When signals that end the process were sent.
    pub ended_at: Vec<Instant>,
    /// When it was ready after each start.
    pub ready_at: Vec<Instant>,
    pub submissions: BTreeMap<String, Submission>,
    /// Peers that stopped in the middle of a request and got neither an error nor a close.
    pub ignored_peers: usize,
    pub discovery: DiscoveryHistory,
}

/// A line for each rule that a member has broken.
pub(crate) fn broken_rules(run: &RunRecord) -> Vec<String> {
    let delivered = executed(&run.first_bytes, |result| result == CallResult::Delivered);
    let mut broken = Vec::new();
    for member in &run.members {
        let name = &member.name;
        broken.extend(late_first_bytes(run, member).map(|problem| format!("{name}: drain: {problem}")));
        let unanswered = member.submissions.iter().filter(|(_, submission)| member.is_unanswered(submission));
        broken.extend(unanswered.map(|(id, submission)| format!("{id}: no answer: {submission:?}")));
        let unfinished = member.submissions.iter().filter(|(id, submission)| {
            submission.answer == Answer::TakenOn && !delivered.contains(*id) && !run.noticed.contains(*id)
        });
        broken.extend(unfinished.map(|(id, _)| format!("{id}: accepted, neither delivered nor noticed")));
        let slow_starts = member.timeline.starts.iter().zip(&member.ready_at);
        broken.extend(
            slow_starts
                .filter(|(start, ready)| **ready - **start > MAX_START)
                .map(|(start, ready)| format!("{name}: ready after {:?}", *ready - *start)),
        );
    }
    let ignoring = run.members.iter().filter(|member| member.ignored_peers > 0);
    broken.extend(
        ignoring.map(|member| format!("{}: {} halted peers ignored", member.name, member.ignored_peers)),
    );
    broken.extend(repeated(&run.first_bytes));
    broken
}

fn late_first_bytes(run: &RunRecord, member: &MemberRecord) -> Option<String> {
    let is_of_member = |first_byte: &&FirstByte| first_byte.request_ids.iter().any(|id| member.submitted(id));
    let sent: Vec<FirstByte> = run.first_bytes.iter().filter(is_of_member).cloned().collect();
    let violations = check_drains(run.settings, run.destination, &member.discovery, &member.timeline, &sent);
    (!violations.is_empty()).then(|| ViolationSummary(&violations).to_string())
}

/// The messages of the calls that ended so.
fn executed(first_bytes: &[FirstByte], matches: impl Fn(CallResult) -> bool) -> BTreeSet<String> {
    let calls = first_bytes.iter().filter(|call| call.end.is_some_and(|(_, result)| matches(result)));
    calls.flat_map(|call| call.request_ids.iter().cloned()).collect()
}

/// Messages that were sent again while a call of theirs was open, and those that were executed twice although they must
/// not be.
fn repeated(first_bytes: &[FirstByte]) -> Vec<String> {
    let mut calls_of: BTreeMap<&str, Vec<&FirstByte>> = BTreeMap::new();
    for call in first_bytes {
        for id in &call.request_ids {
            calls_of.entry(id).or_default().push(call);
        }
    }
    let mut broken = Vec::new();
    for (id, mut calls) in calls_of {
        calls.sort_by_key(|call| call.at);
        let is_parallel = |pair: &[&FirstByte]| pair[0].end.is_none_or(|(end, _)| pair[1].at < end);
        if calls.windows(2).any(is_parallel) {
            broken.push(format!("{id}: two calls at once"));
        }
        let may_have_run =
            |call: &&&FirstByte| call.end.is_none_or(|(_, result)| result != CallResult::NotExecuted);
        if is_unsafe(id) && calls.iter().filter(may_have_run).count() > 1 {
            broken.push(format!("{id}: may have been executed twice"));
        }
    }
    broken
}

/// The first client of each member submits messages that must not be executed twice.
fn is_unsafe(id: &str) -> bool {
    id.split('-').nth(1) == Some("0")
}

impl MemberRecord {
    fn submitted(&self, id: &str) -> bool {
        id.split('-').next() == Some(&self.name)
    }

    /// Whether a client was left without an answer by a process that had not been told to end.
    fn is_unanswered(&self, submission: &Submission) -> bool {
        let Submission { sent_at, answered_at, answer } = *submission;
        if matches!(answer, Answer::TakenOn | Answer::Rejected) {
            return false;
        }
        let is_down = self.down_times().any(|(from, until)| {
            from <= answered_at + SIGNAL_ALLOWANCE && until.is_none_or(|until| sent_at <= until)
        });
        !is_down
    }

    /// From each signal that ends the process to the readiness of the next one.
    fn down_times(&self) -> impl Iterator<Item = (Instant, Option<Instant>)> {
        self.ended_at.iter().map(|ended_at| {
            let until = self.ready_at.iter().find(|ready_at| *ready_at > ended_at);
            (*ended_at, until.copied())
        })
    }
}
