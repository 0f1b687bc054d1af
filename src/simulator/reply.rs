//! The lines of a reply to the simulator.

use crate::interface::{Action, Micros};
use std::fmt::Write;

/// Appends the line for one action of an instance. `wire_id` is the simulator's id of the message that the
/// action is about.
pub(super) fn write_action(instance: u64, action: &Action, wire_id: &str, reply: &mut String) {
    if let Some(line) = action_line(instance, action, wire_id) {
        writeln!(reply, "{line}").expect("writing to a string does not fail");
    }
}

/// Returns the line for an action, or `None` if the protocol of the simulator has no line for it.
fn action_line(instance: u64, action: &Action, wire_id: &str) -> Option<String> {
    Some(match action {
        Action::Send { endpoint, timeout, .. } => {
            let allowed = milliseconds(*timeout);
            format!("PASS_ON forwarder={instance} ref={wire_id} target={endpoint} allowFor={allowed}")
        }
        Action::Reject { retry_after, .. } => {
            format!("PUSH_BACK forwarder={instance} ref={wire_id} pause={}", milliseconds(*retry_after))
        }
        Action::Fail { .. } => format!("GIVE_UP forwarder={instance} ref={wire_id}"),
        Action::Cancel { attempt, .. } => format!("CANCEL forwarder={instance} ref={wire_id} go={attempt}"),
        Action::CloseIdleConnections { endpoint } => {
            format!("DISCONNECT forwarder={instance} target={endpoint}")
        }
        Action::Wake { at } => {
            format!("SET_ALARM forwarder={instance} time={} handle=0", milliseconds(*at))
        }
        Action::Subscribe => format!("SUBSCRIBE forwarder={instance} want=1"),
        // Results only from a drain, which the simulator has no request for.
        Action::AcceptClients(_) => return None,
    })
}

fn milliseconds(time: Micros) -> f64 {
    time as f64 / 1000.0
}
