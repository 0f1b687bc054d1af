//! Notices about accepted messages that were not delivered.

use serde::{Deserialize, Serialize};

/// How an accepted message ended that was not delivered. The outcome is stored in the journal and sent to the
/// platform, so its serialized names must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome")]
pub(crate) enum NoticeOutcome {
    /// The message failed; it may have been executed.
    #[serde(rename = "given_up")]
    Failed,
    /// The message was rejected without execution, and may be submitted again.
    #[serde(rename = "handed_back")]
    Rejected {
        /// How long the client should wait before it submits the message again, in milliseconds.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        retry_in_ms: Option<u64>,
    },
}

/// The notice for one message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct Notice {
    /// The id that the client gave to the message.
    pub(crate) message: String,
    /// How the message ended.
    #[serde(flatten)]
    pub(crate) outcome: NoticeOutcome,
}
