//! How the calls of the recorded histories end.

use super::scenario::Mood;
use super::support_history::Generator;
use super::translation::{Ending, MILLISECOND, SECOND};

/// The time that the quickest ends take.
const AT_ONCE: i64 = 5 * MILLISECOND;

/// How a call will end.
#[derive(Clone, Copy)]
pub struct Plan {
    pub ending: Ending,
    pub duration: i64,
    pub report: Option<Option<f64>>,
    pub wait: Option<i64>,
    pub unsent: bool,
}

impl Plan {
    /// Draws the end of a call to a destination that fares so.
    pub fn draw(generator: &mut Generator, mood: Mood, timeout: i64) -> Plan {
        let share = generator.below(100);
        let quick = generator.between(5 * MILLISECOND, 90 * MILLISECOND);
        let slow = generator.between(SECOND / 2, 4 * SECOND);
        let wait = generator.between(50 * MILLISECOND, 1500 * MILLISECOND);
        let (ending, duration) = match mood {
            Mood::Well => match share {
                0..2 => (Ending::Error, quick),
                2 => (Ending::Spoilt, quick),
                3 => (Ending::Dead, AT_ONCE),
                4 => (Ending::Reset, quick),
                5 => (Ending::NotSent, AT_ONCE),
                6 => (Ending::Full(None), quick),
                7..10 => (Ending::Delivered, slow),
                _ => (Ending::Delivered, quick),
            },
            Mood::Failing => match share {
                0..40 => (Ending::Error, quick),
                40..60 => (Ending::Reset, quick),
                60..70 => (Ending::TimedOut, i64::MAX),
                70..80 => (Ending::Spoilt, quick),
                _ => (Ending::Delivered, slow),
            },
            Mood::Limited => match share {
                0..25 => (Ending::Full(None), quick),
                25..55 => (Ending::Full(Some(wait)), quick),
                55..58 => (Ending::Full(Some(wait + 4 * SECOND)), quick),
                _ => (Ending::Delivered, quick),
            },
            Mood::Hanging => match share {
                0..85 => (Ending::TimedOut, i64::MAX),
                _ => (Ending::Delivered, slow),
            },
            Mood::Crowded => match share {
                0..50 => (Ending::ConnectFailed, quick / 4),
                50..55 => (Ending::NotSent, quick),
                _ => (Ending::Delivered, quick),
            },
            Mood::Unreachable => match share {
                0..70 => (Ending::ConnectFailed, SECOND),
                _ => (Ending::Dead, AT_ONCE),
            },
        };
        let limit = generator.between(1, 4000) as f64 / 8.0;
        let report = generator.per_mille(150).then_some((limit < 450.0).then_some(limit));
        let beside = !matches!(ending, Ending::Full(_)) && generator.per_mille(20);
        let unsent = matches!(ending, Ending::NotSent | Ending::ConnectFailed) && generator.per_mille(400);
        let timeout = if timeout > 0 { timeout } else { 12 * SECOND };
        let ending = if duration >= timeout { Ending::TimedOut } else { ending };
        Plan { ending, duration: duration.min(timeout), report, wait: beside.then_some(wait), unsent }
    }
}
