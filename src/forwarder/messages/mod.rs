//! The data that the parts of the forwarder exchange with the [`super::runtime`].
//!
//! These modules import none of the parts that send or receive the data.

pub(crate) mod admin_command;
pub(crate) mod attempt;
pub(crate) mod call_report;
pub(crate) mod client_request;
pub(crate) mod endpoint_list;
pub(crate) mod notice;
