//! Owns all messages without a final reply, with their queues and timers.

use super::client_counts::ClientCounts;
use super::message::{Message, MessageState};
use super::message_queues::MessageQueues;
use super::schedule::Schedule;
use crate::interface::{DestinationId, MessageId, Micros};
use std::collections::BTreeMap;
use std::ops::Index;

/// All messages without a final reply. Methods that take an id panic if that message is not open, unless
/// their comment allows this.
#[derive(Default)]
pub(crate) struct MessageTable {
    messages: BTreeMap<MessageId, Message>,
    by_client: ClientCounts,
    queues: MessageQueues,
    delayed: Schedule,
    give_up_times: Schedule,
}

impl Index<MessageId> for MessageTable {
    type Output = Message;

    fn index(&self, id: MessageId) -> &Message {
        &self.messages[&id]
    }
}

impl MessageTable {
    /// Number of messages.
    pub(crate) fn len(&self) -> usize {
        self.messages.len()
    }

    /// Returns a message, if it is open.
    pub(crate) fn get(&self, id: MessageId) -> Option<&Message> {
        self.messages.get(&id)
    }

    /// Returns a message for changes, if it is open. Fields that its queue or timers depend on must not be
    /// changed.
    pub(crate) fn get_mut(&mut self, id: MessageId) -> Option<&mut Message> {
        self.messages.get_mut(&id)
    }

    /// The number of messages of each client.
    pub(crate) fn by_client(&self) -> &ClientCounts {
        &self.by_client
    }

    /// The queues.
    pub(crate) fn queues(&self) -> &MessageQueues {
        &self.queues
    }

    /// Adds a message.
    pub(crate) fn insert(&mut self, message: Message) {
        self.by_client.add(message.submission.client);
        self.messages.insert(message.submission.id, message);
    }

    /// Puts a message into its queue, and returns its destination.
    pub(crate) fn enqueue(&mut self, id: MessageId) -> DestinationId {
        let message = self.open_message(id);
        message.state = MessageState::Queued;
        let (destination, key, on_time_until) =
            (message.submission.destination, message.queue_key(), message.on_time_until);
        self.queues.insert(destination, key, on_time_until, id);
        destination
    }

    /// Delays a message until a time.
    pub(crate) fn delay(&mut self, id: MessageId, until: Micros) {
        self.open_message(id).state = MessageState::Delayed { until };
        self.delayed.insert(until, id);
    }

    /// Takes a message out of its queue or ends its delay, and marks it as in flight.
    pub(crate) fn start_attempt(&mut self, id: MessageId) -> &mut Message {
        self.unqueue(id);
        let message = self.open_message(id);
        message.state = MessageState::InFlight;
        message.attempts += 1;
        message
    }

    /// Marks a message as in flight and sets its number of attempts, if the message is open.
    pub(crate) fn set_in_flight(&mut self, id: MessageId, attempts: usize) {
        if let Some(message) = self.messages.get_mut(&id) {
            message.state = MessageState::InFlight;
            message.attempts = attempts;
        }
    }

    /// Records that the client is receiving the response of a message, if it is open.
    pub(crate) fn set_response_started(&mut self, id: MessageId) {
        if let Some(message) = self.messages.get_mut(&id) {
            message.response_started = true;
        }
    }

    /// Removes a message, if it is open.
    pub(crate) fn remove(&mut self, id: MessageId) -> Option<Message> {
        self.unqueue(id);
        let message = self.messages.remove(&id)?;
        self.by_client.remove(message.submission.client);
        self.give_up_times.remove(message.give_up_at, id);
        Some(message)
    }

    /// Sets the time at which a message gets its final reply if it has not been delivered.
    pub(crate) fn set_give_up_at(&mut self, id: MessageId, at: Micros) {
        let message = self.messages.get_mut(&id).expect("the message is open");
        self.give_up_times.remove(message.give_up_at, id);
        message.give_up_at = at;
        self.give_up_times.insert(at, id);
    }

    /// Returns the next message whose give-up time has come, and removes the timer.
    pub(crate) fn pop_expired(&mut self, now: Micros) -> Option<MessageId> {
        self.give_up_times.pop_due(now)
    }

    /// Returns the next message whose delay has ended, and removes the timer.
    pub(crate) fn pop_delayed(&mut self, now: Micros) -> Option<MessageId> {
        self.delayed.pop_due(now)
    }

    /// Returns the earliest time of all timers.
    pub(crate) fn next_timer(&self) -> Option<Micros> {
        let timers = [self.give_up_times.first_time(), self.delayed.first_time()];
        timers.into_iter().flatten().min()
    }

    fn open_message(&mut self, id: MessageId) -> &mut Message {
        self.messages.get_mut(&id).expect("the message is open")
    }

    fn unqueue(&mut self, id: MessageId) {
        let Some(message) = self.messages.get(&id) else { return };
        match message.state {
            MessageState::Delayed { until } => self.delayed.remove(until, id),
            MessageState::Queued => {
                self.queues.remove(
                    message.submission.destination,
                    message.queue_key(),
                    message.on_time_until,
                    id,
                );
            }
            MessageState::InFlight | MessageState::Blocked => {}
        }
    }
}
