//! Compatibility tests of the file format: files written by earlier versions must recover the same state,
//! even if they are damaged, and the written bytes must not change.

mod digest;
mod fixture;

use super::tests::Folder;
use super::*;
use digest::Digest;
use fixture::{attempt_of_unknown_message, every_record, expected_open_messages, expected_outcomes};
use std::fs;

/// A journal with every kind of record, as version 0.1.0 wrote it.
const EVERY_RECORD: &[u8] = include_bytes!("../../../tests/fixtures/journal/every-record.journal");
/// The journal of [`EVERY_RECORD`], as version 0.1.0 compacted it.
const COMPACTED: &[u8] = include_bytes!("../../../tests/fixtures/journal/compacted.journal");
/// Digest of the state recovered from [`EVERY_RECORD`], truncated at each length in turn.
const TORN_TAILS_DIGEST: u64 = 0x006f_bc40_601a_6062;
/// Digest of the state recovered from [`EVERY_RECORD`] with one byte damaged, at every
/// [`DAMAGE_STRIDE_BYTES`]th offset in turn.
const DAMAGED_BYTES_DIGEST: u64 = 0x123b_73da_4243_884a;

/// Distance between damaged bytes. Damaging every byte in turn takes three seconds in a debug build.
const DAMAGE_STRIDE_BYTES: usize = 3;

/// Upper bound of the journals, in bytes.
const MAX_BYTES: u64 = 3 << 20;
/// Time at which the tests open the journals.
const NOW_UNIX_MS: u64 = 1_800_000_000_000;

fn write_file(folder: &Folder, content: &[u8]) {
    fs::write(folder.0.join("journal"), content).expect("the folder can be written");
}

fn read_file(folder: &Folder) -> Vec<u8> {
    fs::read(folder.0.join("journal")).expect("the journal is there")
}

/// A folder with a copy of this journal, which opening may truncate.
fn folder_with(content: &[u8]) -> Folder {
    let folder = Folder::new();
    write_file(&folder, content);
    folder
}

fn open_in(folder: &Folder) -> (Journal, Vec<RecoveredMessage>) {
    Journal::open(&folder.0, MAX_BYTES, NOW_UNIX_MS).expect("the journal opens")
}

/// The remembered outcomes, sorted by message.
fn remembered_outcomes(journal: &Journal) -> Vec<(&str, FinalOutcome, u64)> {
    let entries = journal.retained.outcomes.iter();
    let mut outcomes: Vec<_> = entries
        .map(|(message, remembered)| (message, remembered.outcome, remembered.until_unix_ms))
        .collect();
    outcomes.sort_by_key(|(message, ..)| *message);
    outcomes
}

fn assert_recovers_the_fixture(journal: &Journal, messages: &[RecoveredMessage]) {
    assert_eq!(messages, expected_open_messages());
    assert_eq!(remembered_outcomes(journal), expected_outcomes());
    assert_eq!(journal.retained.banned_endpoints.iter().collect::<Vec<_>>(), ["endpoint-2", "endpoint-3"]);
}

/// The digest of the state recovered from each of these files, and of the length of each file after opening.
fn digest_of(variants: impl Iterator<Item = Vec<u8>>) -> u64 {
    let folder = Folder::new();
    let mut digest = Digest::new();
    for content in variants {
        write_file(&folder, &content);
        let (journal, messages) = open_in(&folder);
        digest.journal(&journal, &messages);
        digest.number(read_file(&folder).len() as u64);
    }
    digest.value()
}

#[test]
fn the_stored_journal_recovers_the_same_state() {
    let folder = folder_with(EVERY_RECORD);
    let (journal, messages) = open_in(&folder);
    assert_recovers_the_fixture(&journal, &messages);
    assert_eq!(read_file(&folder), EVERY_RECORD, "opening must not change a complete file");
}

#[test]
fn the_same_records_are_written_with_the_same_bytes() {
    let folder = Folder::new();
    let (mut journal, _) = open_in(&folder);
    let records = every_record();
    let (enqueued, committed) = records.split_at(10);
    enqueued.iter().for_each(|record| journal.enqueue(record, NOW_UNIX_MS));
    for records in committed.chunks(4) {
        journal.commit(records, NOW_UNIX_MS).expect("there is space");
    }
    assert!(read_file(&folder) == EVERY_RECORD, "the bytes of a record have changed");
}

#[test]
fn compaction_writes_the_same_bytes() {
    let folder = folder_with(EVERY_RECORD);
    let (mut journal, _) = open_in(&folder);
    journal.compact(NOW_UNIX_MS).expect("there is space");
    assert!(
        read_file(&folder) == expected_compacted_content(),
        "the bytes of a compacted journal have changed"
    );
}

/// The stored compacted journal without the record of an unknown message, which earlier versions retained.
fn expected_compacted_content() -> Vec<u8> {
    let mut dropped = Vec::new();
    encode(&attempt_of_unknown_message(), &mut dropped);
    let start = COMPACTED.windows(dropped.len()).position(|frame| frame == dropped);
    let start = start.expect("earlier versions kept it");
    [&COMPACTED[..start], &COMPACTED[start + dropped.len()..]].concat()
}

#[test]
fn the_compacted_journal_recovers_the_same_state() {
    for compacted in [COMPACTED, &expected_compacted_content()] {
        let folder = folder_with(compacted);
        let (journal, messages) = open_in(&folder);
        assert_recovers_the_fixture(&journal, &messages);
    }
}

#[test]
fn a_journal_truncated_at_any_length_recovers_the_same_state() {
    let torn = (0..=EVERY_RECORD.len()).map(|length| EVERY_RECORD[..length].to_vec());
    assert_eq!(digest_of(torn), TORN_TAILS_DIGEST);
}

#[test]
fn a_journal_damaged_at_any_offset_recovers_the_same_state() {
    let damaged = (0..EVERY_RECORD.len()).step_by(DAMAGE_STRIDE_BYTES).map(|offset| {
        let mut content = EVERY_RECORD.to_vec();
        content[offset] ^= 1;
        content
    });
    assert_eq!(digest_of(damaged), DAMAGED_BYTES_DIGEST);
}
