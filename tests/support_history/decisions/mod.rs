//! The recorded histories of decisions: their scenarios, and a host that runs the decision module through
//! them.

mod attempts;
mod call_plan;
mod driver;
mod encoding;
mod environment;
mod inputs;
mod scenario;
mod settings;
mod submissions;
mod translation;

pub(crate) use driver::History;
pub(crate) use scenario::{Condition, Destination, Rates, Scenario};
pub(crate) use settings::{
    BATCHED, IDEMPOTENT, IDEMPOTENT_ORDERED, KEYED, KEYED_PER_ZONE, NOT_IDEMPOTENT, NOT_IDEMPOTENT_ORDERED,
    Profile, SEPARATE, SHARED,
};
