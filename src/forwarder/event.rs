//! The events that the [`super::runtime`] handles, in the order in which they arrive.

use super::discovery::ListAge;
use super::messages::admin_command::AdminRequest;
use super::messages::call_report::CallReport;
use super::messages::client_request::ClientRequest;
use super::messages::endpoint_list::EndpointList;
use super::messages::notice::Notice;
use super::upgrade::{PeerChannel, PeerEvent};

/// An event that the runtime handles.
pub(crate) enum RuntimeEvent {
    /// A client submitted a message.
    ClientRequest(ClientRequest),
    /// A call to an endpoint ended.
    CallEnded(CallReport),
    /// Discovery sent the endpoint list, or changes to it.
    EndpointList(EndpointList),
    /// The endpoint list has become stale, or is fresh again.
    ListAge(ListAge),
    /// The platform acknowledged these notices.
    NoticesAcknowledged(Vec<Notice>),
    /// An operator sent a command.
    AdminRequest(AdminRequest),
    /// A newer process of this forwarder requests to take over.
    TakeOverRequested(PeerChannel),
    /// Another process of this forwarder sent a frame, or has ended.
    Peer(PeerEvent),
    /// The process received SIGTERM.
    Terminate,
}

impl From<PeerEvent> for RuntimeEvent {
    fn from(event: PeerEvent) -> Self {
        RuntimeEvent::Peer(event)
    }
}

impl From<PeerChannel> for RuntimeEvent {
    fn from(channel: PeerChannel) -> Self {
        RuntimeEvent::TakeOverRequested(channel)
    }
}
