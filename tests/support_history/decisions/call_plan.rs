//! How the calls of the recorded histories end.

use super::inputs::{Ending, MILLISECOND, Report, SECOND};
use super::scenario::Condition;
use crate::support_history::Generator;

/// Duration of the calls that end at once.
const SHORTEST_CALL: i64 = 5 * MILLISECOND;

/// How a call will end.
#[derive(Clone, Copy)]
pub(crate) struct CallPlan {
    pub ending: Ending,
    pub duration: i64,
    pub report: Option<Report>,
    /// A Retry-After that comes with another ending than a rejection.
    pub retry_after: Option<i64>,
    pub unsent: bool,
}

impl CallPlan {
    /// Draws the end of a call to a destination in this condition.
    pub(crate) fn draw(generator: &mut Generator, condition: Condition, timeout: i64) -> CallPlan {
        let share = generator.below(100);
        let quick = generator.between(5 * MILLISECOND, 90 * MILLISECOND);
        let slow = generator.between(SECOND / 2, 4 * SECOND);
        let wait = generator.between(50 * MILLISECOND, 1500 * MILLISECOND);
        let (ending, duration) = match condition {
            Condition::Healthy => match share {
                0..2 => (Ending::Error, quick),
                2 => (Ending::InvalidResponse, quick),
                3 => (Ending::StaleConnection, SHORTEST_CALL),
                4 => (Ending::Reset, quick),
                5 => (Ending::NotSent, SHORTEST_CALL),
                6 => (Ending::Rejected { retry_after: None }, quick),
                7..10 => (Ending::Delivered, slow),
                _ => (Ending::Delivered, quick),
            },
            Condition::Failing => match share {
                0..40 => (Ending::Error, quick),
                40..60 => (Ending::Reset, quick),
                60..70 => (Ending::TimedOut, i64::MAX),
                70..80 => (Ending::InvalidResponse, quick),
                _ => (Ending::Delivered, slow),
            },
            Condition::RateLimited => match share {
                0..25 => (Ending::Rejected { retry_after: None }, quick),
                25..55 => (Ending::Rejected { retry_after: Some(wait) }, quick),
                55..58 => (Ending::Rejected { retry_after: Some(wait + 4 * SECOND) }, quick),
                _ => (Ending::Delivered, quick),
            },
            Condition::Unresponsive => match share {
                0..85 => (Ending::TimedOut, i64::MAX),
                _ => (Ending::Delivered, slow),
            },
            Condition::Overloaded => match share {
                0..50 => (Ending::ConnectFailed, quick / 4),
                50..55 => (Ending::NotSent, quick),
                _ => (Ending::Delivered, quick),
            },
            Condition::Unreachable => match share {
                0..70 => (Ending::ConnectFailed, SECOND),
                _ => (Ending::StaleConnection, SHORTEST_CALL),
            },
        };
        let limit = generator.between(1, 4000) as f64 / 8.0;
        let report = generator.per_mille(150).then_some(Report { limit: (limit < 450.0).then_some(limit) });
        let has_wait = !matches!(ending, Ending::Rejected { .. }) && generator.per_mille(20);
        let unsent = matches!(ending, Ending::NotSent | Ending::ConnectFailed) && generator.per_mille(400);
        let timeout = if timeout > 0 { timeout } else { 12 * SECOND };
        let ending = if duration >= timeout { Ending::TimedOut } else { ending };
        CallPlan {
            ending,
            duration: duration.min(timeout),
            report,
            retry_after: has_wait.then_some(wait),
            unsent,
        }
    }
}
