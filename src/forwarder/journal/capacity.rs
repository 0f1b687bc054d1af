//! Decides whether new records fit into the journal, and when to compact its file.

/// A file is compacted because of [`COMPACTION_RATIO`] only if it is longer than this.
pub(super) const MIN_COMPACTION_BYTES: u64 = 256 << 10;
/// A file is compacted once it is more than this many times as long as its compacted copy.
const COMPACTION_RATIO: u64 = 3;
/// Compaction is worthwhile if it frees at least `max_bytes` divided by this number.
const WORTHWHILE_DIVISOR: u64 = 16;
/// A file is also compacted once it and its copy would leave less free space than `max_bytes` divided by this
/// number. Later the copy would not fit, and no message could be accepted until most open messages have
/// ended.
const COMPACTION_MARGIN_DIVISOR: u64 = 8;

/// A snapshot of the space that the journal uses. All fields are in bytes.
#[derive(Clone, Copy)]
pub(super) struct Capacity {
    /// Upper bound of the total length of the file and its compacted copy.
    pub(super) max_bytes: u64,
    /// Length of the file.
    pub(super) file_length: u64,
    /// Length of the frames that have not been written yet.
    pub(super) pending_bytes: u64,
    /// Estimated length of the file after a compaction.
    pub(super) compacted_length: u64,
    /// Bytes reserved for future records of open messages.
    pub(super) reserved_bytes: u64,
}

impl Capacity {
    /// Whether new records of `new_bytes` fit, together with `newly_reserved_bytes` for the records that
    /// follow.
    ///
    /// In addition to the file there must be space for its compacted copy or for the reserved records,
    /// whichever is longer. Space for both is not needed: the file is compacted while its copy fits, and
    /// messages can end without a compaction.
    pub(super) fn fits(&self, new_bytes: u64, newly_reserved_bytes: u64) -> bool {
        let compacted_length = self.compacted_length + new_bytes;
        let reserved_bytes = self.reserved_bytes + newly_reserved_bytes;
        let beside_file = compacted_length.max(reserved_bytes);
        self.file_length + self.pending_bytes + new_bytes + beside_file <= self.max_bytes
    }

    /// The capacity after a compaction.
    pub(super) fn after_compaction(self) -> Self {
        Capacity { file_length: self.compacted_length, ..self }
    }

    /// Whether a compaction would free enough space. Near the bound, with most messages still open, a
    /// compaction frees very little, and compacting for each accepted message would use up the processor.
    pub(super) fn is_compaction_worthwhile(&self) -> bool {
        self.file_length.saturating_sub(self.compacted_length) >= self.max_bytes / WORTHWHILE_DIVISOR
    }

    /// Whether the file should be compacted now: it is long compared with its compacted copy, or so long that
    /// the copy will soon not fit.
    pub(super) fn is_compaction_due(&self) -> bool {
        let is_long = self.file_length > MIN_COMPACTION_BYTES.max(COMPACTION_RATIO * self.compacted_length);
        let with_copy = self.file_length + self.compacted_length.max(self.reserved_bytes);
        let is_copy_at_risk = with_copy > self.max_bytes - self.max_bytes / COMPACTION_MARGIN_DIVISOR;
        is_long || (is_copy_at_risk && self.is_compaction_worthwhile())
    }
}
