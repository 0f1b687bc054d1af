//! Identifiers of attempts, within this process and across processes.

use crate::interface::MessageId;
use serde::{Deserialize, Serialize};

/// Identifies an attempt within this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct AttemptKey {
    /// The number of the message.
    pub(crate) id: MessageId,
    /// Number of the attempt, from 0.
    pub(crate) attempt: usize,
}

/// Identifies an attempt in the journal and to another process, where the numbers of messages are not valid.
/// Its JSON form is an array, which two versions of the program exchange.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(String, usize)", into = "(String, usize)")]
pub(crate) struct AttemptRef {
    /// The id that the client gave to the message.
    pub(crate) message: String,
    /// Number of the attempt, from 0.
    pub(crate) attempt: usize,
}

impl From<(String, usize)> for AttemptRef {
    fn from((message, attempt): (String, usize)) -> Self {
        AttemptRef { message, attempt }
    }
}

impl From<AttemptRef> for (String, usize) {
    fn from(attempt: AttemptRef) -> Self {
        (attempt.message, attempt.attempt)
    }
}
