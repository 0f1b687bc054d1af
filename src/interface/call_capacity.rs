//! How many messages travel in one call.

/// The longest body of a call with several messages, in bytes.
pub const MAX_BATCH_BYTES: usize = 64 << 10;
/// The bytes around the messages of a batch: a bracket on each side, of which one takes the place of the separator
/// after the last message.
const BATCH_FRAME_BYTES: usize = 1;
/// The separator after a message.
const SEPARATOR_BYTES: usize = 1;

/// The room in one call. The decision module and the host fill calls by the same rule, so that they agree on which
/// messages travel together.
#[derive(Clone, Copy, Debug)]
pub struct CallCapacity {
    messages_left: usize,
    bytes_left: usize,
    is_empty: bool,
}

impl CallCapacity {
    /// The room in a call with up to this number of messages; at least one.
    pub fn new(max_messages: usize) -> Self {
        let bytes_left = MAX_BATCH_BYTES - BATCH_FRAME_BYTES;
        CallCapacity { messages_left: max_messages.max(1), bytes_left, is_empty: true }
    }

    /// Takes the room for a message of this length in a batch, and returns whether there was room. The first
    /// message always has room: a call with one message is no batch.
    pub fn take(&mut self, batched_bytes: usize) -> bool {
        let needed = batched_bytes.saturating_add(SEPARATOR_BYTES);
        if self.messages_left == 0 || (!self.is_empty && needed > self.bytes_left) {
            return false;
        }
        self.messages_left -= 1;
        self.bytes_left = self.bytes_left.saturating_sub(needed);
        self.is_empty = false;
        true
    }

    /// Whether no further message has room, whatever its length.
    pub fn is_full(&self) -> bool {
        self.messages_left == 0
    }
}

#[cfg(test)]
mod tests;
