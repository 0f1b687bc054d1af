//! The inputs of the recorded histories and the decisions that result, in types that do not depend on the
//! package.

pub(crate) const MILLISECOND: i64 = 1_000;
pub(crate) const SECOND: i64 = 1_000_000;

/// How an attempt ends.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Ending {
    Delivered,
    Error,
    Rejected { retry_after: Option<i64> },
    TimedOut,
    ConnectFailed,
    Reset,
    InvalidResponse,
    StaleConnection,
    Cancelled,
    NotSent,
}

impl Ending {
    /// Whether the destination has certainly not executed the message.
    pub(crate) fn never_executed(self) -> bool {
        matches!(self, Ending::Rejected { .. } | Ending::ConnectFailed | Ending::NotSent)
    }
}

/// State of an endpoint in the list.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum ListedState {
    Serving,
    Draining,
    Deleted,
}

/// One endpoint and its entry in the list.
#[derive(Clone, Copy)]
pub(crate) struct Endpoint {
    pub id: u64,
    pub destination: u64,
    pub kind: usize,
    pub zone: usize,
    pub weight: f64,
    pub state: ListedState,
}

/// A call of a predecessor that is still in flight.
#[derive(Clone, Copy)]
pub(crate) struct InheritedCall {
    pub call: u64,
    pub endpoint: u64,
    pub sent_at: i64,
}

/// The first attempt of a message that may have been executed.
#[derive(Clone, Copy)]
pub(crate) struct PossibleExecution {
    pub sent_at: i64,
    pub zone: usize,
}

/// A message that is submitted, with its history in predecessors.
pub(crate) struct Submission {
    pub id: u64,
    pub class: usize,
    pub tenant: Option<usize>,
    pub key: Option<String>,
    pub expires_at: i64,
    pub destination: u64,
    pub accepted: bool,
    pub attempts: usize,
    pub possible_execution: Option<PossibleExecution>,
    pub in_flight: Option<InheritedCall>,
}

/// A load report of a destination.
#[derive(Clone, Copy)]
pub(crate) struct Report {
    pub limit: Option<f64>,
}

/// The end of an attempt.
pub(crate) struct AttemptEnd {
    pub id: u64,
    pub attempt: usize,
    pub ending: Ending,
    pub elapsed: i64,
    pub finished: bool,
    pub report: Option<Report>,
    pub unsent: bool,
    /// A Retry-After that came with another ending than a rejection.
    pub retry_after: Option<i64>,
}

/// The inputs of the histories; see the events of the package.
pub(crate) enum Input {
    Submit(Submission),
    AttemptEnded(AttemptEnd),
    ResponseStarted { id: u64 },
    ClientDisconnected { id: u64 },
    ListSnapshot(Vec<Endpoint>),
    ListUpdate(Vec<Endpoint>),
    BanStarted { endpoint: u64 },
    BanEnded { endpoint: u64 },
    InheritedAttempt { id: u64, attempt: usize, call: InheritedCall },
    Drain,
    Resume,
    WatchFailed,
    Wake,
    TurnEnd,
}

/// What the package decided; see its actions.
#[derive(Clone, Copy)]
pub(crate) enum Decision {
    Send { id: u64, endpoint: u64, timeout: i64, send_before: i64 },
    Reject { id: u64, retry_after: i64 },
    Fail { id: u64 },
    Cancel { id: u64, attempt: usize },
    CloseIdleConnections { endpoint: u64 },
    Wake { at: i64 },
    Subscribe,
    AcceptClients(bool),
}
