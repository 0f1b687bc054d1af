use super::*;
use proptest::prelude::*;
use std::env;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A temporary folder, removed when dropped.
pub(super) struct Folder(pub(super) PathBuf);

impl Folder {
    pub(super) fn new() -> Self {
        static MADE: AtomicUsize = AtomicUsize::new(0);
        let name = format!("journal-test-{}-{}", std::process::id(), MADE.fetch_add(1, Ordering::Relaxed));
        let path = env::temp_dir().join(name);
        fs::create_dir_all(&path).expect("a temporary folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

#[test]
fn an_attempt_that_was_never_noted_hides_none_after_it() {
    let sent = |n| Record::AttemptStarted("a".into(), n, NOW, "hall-a".into());
    let open =
        open_of(&[taken("a", Vec::new()), sent(0), Record::AttemptEnded("a".into(), 0, false), sent(2)]);
    let ran: Vec<bool> = open[0].attempts.iter().map(|a| a.may_have_run).collect();
    assert_eq!(ran, [false, false, true]);
}

const LIMIT: u64 = 3 << 20;
const NOW: u64 = 1_800_000_000_000;

fn taken(id: &str, body: Vec<u8>) -> Record {
    Record::Accepted(AcceptedMessage {
        id: id.into(),
        class: "auth-notice".into(),
        tenant: None,
        destination: 7,
        key: Some("k".into()),
        deadline: NOW + 1000,
        body: body.into(),
    })
}

fn record() -> impl Strategy<Value = Record> {
    let id = "[a-c]";
    prop_oneof![
        (id, proptest::collection::vec(any::<u8>(), 0..40)).prop_map(|(id, body)| taken(&id, body)),
        (id, 0..3usize, any::<u32>()).prop_map(|(id, n, at)| Record::AttemptStarted(
            id,
            n,
            at.into(),
            "hall-a".into()
        )),
        (id, 0..3usize, any::<bool>()).prop_map(|(id, n, ran)| Record::AttemptEnded(id, n, ran)),
        id.prop_map(|id| Record::NoticePending(
            id,
            NoticeOutcome::Rejected { retry_in_ms: Some(5) },
            NOW + 1000
        )),
        id.prop_map(|id| Record::Completed(id, FinalOutcome::Delivered, NOW + 1000)),
    ]
}

fn open_of(records: &[Record]) -> Vec<RecoveredMessage> {
    let mut replay = Replay::default();
    records.iter().for_each(|r| replay.apply(r.clone()));
    replay.open()
}

proptest! {
    /// Wherever the text is cut, what stands whole before that is read; where it is damaged, all but the damaged record;
    /// and nothing else.
    #[test]
    fn a_cut_or_damaged_text_gives_all_that_stands_whole(
        records in proptest::collection::vec(record(), 0..12), cut in any::<prop::sample::Index>(), flip in any::<bool>()
    ) {
        let (mut text, mut ends) = (Vec::new(), vec![0]);
        for r in &records {
            put(r, &mut text);
            ends.push(text.len());
        }
        let at = cut.index(text.len() + 1);
        if flip && at < text.len() { text[at] ^= 1 } else { text.truncate(at) }
        let whole = ends.iter().filter(|end| **end <= at).count() - 1;
        let damaged = flip && at < text.len();
        let mut kept = records[..whole].to_vec();
        if damaged {
            kept.extend_from_slice(&records[whole + 1..]);
        }
        let read: Vec<Record> = Frames::of(&text).map(|frame| frame.record).collect();
        prop_assert_eq!(read, kept);
    }

    /// Random bytes are never fatal.
    #[test]
    fn any_bytes_can_be_read(text in proptest::collection::vec(any::<u8>(), 0..200)) {
        let mut at = 0;
        for Frame { start, end, .. } in Frames::of(&text) {
            prop_assert!(at <= start && start < end && end <= text.len());
            at = end;
        }
    }

    /// Opening again, with or without compacting, changes nothing of what is open.
    #[test]
    fn what_was_written_is_replayed(
        records in proptest::collection::vec(record(), 0..20), compact in any::<bool>()
    ) {
        let folder = Folder::new();
        let (mut journal, _) = Journal::open(&folder.0, LIMIT, NOW).expect("it opens");
        for part in records.chunks(3) {
            journal.commit(part, NOW).expect("there is room");
        }
        if compact {
            journal.compact(NOW).expect("there is room");
        }
        let (_, replayed) = Journal::open(&folder.0, LIMIT, NOW).expect("it opens");
        prop_assert_eq!(replayed, open_of(&records));
    }
}

#[test]
fn compacting_keeps_the_files_small_and_drops_what_is_over() {
    let folder = Folder::new();
    let (mut journal, _) = Journal::open(&folder.0, LIMIT, NOW).expect("it opens");
    journal.commit(&[taken("kept", vec![1; 100])], NOW).expect("there is room");
    for n in 0..2000u64 {
        let id = format!("m{n}");
        journal.commit(&[taken(&id, vec![0; 400])], NOW + n).expect("there is room");
        journal.enqueue(&Record::Completed(id, FinalOutcome::Delivered, NOW + n + 10), NOW + n);
        assert!(journal.len <= COMPACT_FROM + 1024);
    }
    journal.commit(&[], NOW).expect("there is room");
    let size = fs::metadata(&journal.path).expect("it is there").len();
    assert_eq!(size, journal.len);
    let (again, replayed) = Journal::open(&folder.0, LIMIT, NOW + 2005).expect("it opens");
    assert_eq!(replayed.iter().map(|o| o.taken.id.as_str()).collect::<Vec<_>>(), ["kept"]);
    assert!(again.final_outcome("m1999").is_some() && again.final_outcome("m1000").is_none());
}

#[test]
fn a_full_journal_keeps_room_for_the_ends_of_what_it_took() {
    let folder = Folder::new();
    let (mut journal, _) = Journal::open(&folder.0, 40_000, NOW).expect("it opens");
    let mut held = Vec::new();
    while journal.has_capacity(1, 500, NOW) {
        let id = format!("m{}", held.len());
        journal.commit(&[taken(&id, vec![0; 500])], NOW).expect("it said that there is room");
        held.push(id);
    }
    assert!(held.len() > 2);
    for id in held {
        for attempt in 0..3 {
            journal
                .commit(&[Record::AttemptStarted(id.clone(), attempt, NOW, "hall-a".into())], NOW)
                .expect("kept room");
            journal.enqueue(&Record::AttemptEnded(id.clone(), attempt, false), NOW);
        }
        journal.enqueue(&Record::Completed(id, FinalOutcome::Failed, 0), NOW);
        journal.commit(&[], NOW).expect("kept room");
    }
    assert!(journal.has_capacity(1, 500, NOW));
}

/// As many as a sender may hold on its busiest day (`openCap` near 950), each with an attempt, beside the
/// ends of those before them.
#[test]
fn all_that_a_sender_may_hold_finds_room() {
    let folder = Folder::new();
    let (mut journal, _) = Journal::open(&folder.0, 2_850_000, NOW).expect("it opens");
    let id = |n: usize| format!("{n:016x}");
    let held = 950;
    for n in 0..3 * held {
        assert!(journal.has_capacity(1, 900, NOW), "message {n}, {} bytes in the file", journal.len);
        journal.commit(&[taken(&id(n), vec![0; 900])], NOW).expect("it said that there is room");
        journal.commit(&[Record::AttemptStarted(id(n), 0, NOW, "magazzino".into())], NOW).expect("kept room");
        journal.enqueue(&Record::AttemptEnded(id(n), 0, true), NOW);
        if n >= held {
            journal.enqueue(&Record::Completed(id(n - held), FinalOutcome::Delivered, NOW + 1000), NOW);
        }
        journal.commit(&[], NOW).expect("kept room");
    }
    assert_eq!(journal.live.len(), held);
}

#[test]
fn near_the_bound_it_is_not_compacted_for_each_message() {
    let folder = Folder::new();
    let (mut journal, _) = Journal::open(&folder.0, 400_000, NOW).expect("it opens");
    let (mut compacted, mut refused) = (0, 0);
    for n in 0..2000 {
        let (id, len) = (format!("m{n}"), journal.len);
        if journal.has_capacity(1, 500, NOW) {
            journal.commit(&[taken(&id, vec![0; 500])], NOW).expect("it said that there is room");
        } else {
            refused += 1;
            // One ends for each that is refused: there is always a little to free.
            journal.enqueue(&Record::Completed(format!("m{refused}"), FinalOutcome::Failed, 0), NOW);
            journal.commit(&[], NOW).expect("kept room");
        }
        compacted += usize::from(journal.len < len);
    }
    assert!(refused > 100 && compacted > 0 && compacted < 100, "{refused} refused, {compacted} compacted");
}

#[test]
fn a_failed_write_leaves_nothing_behind_but_the_backlog() {
    let folder = Folder::new();
    let (mut journal, _) = Journal::open(&folder.0, LIMIT, NOW).expect("it opens");
    journal.commit(&[taken("a", vec![])], NOW).expect("there is room");
    journal.limit = journal.len;
    journal.enqueue(&Record::Completed("a".into(), FinalOutcome::Delivered, NOW + 1), NOW);
    assert!(journal.commit(&[taken("b", vec![])], NOW).is_err());
    assert!(!journal.is_flushed());
    journal.limit = LIMIT;
    journal.commit(&[], NOW).expect("there is room again");
    assert!(journal.is_flushed());
    let (again, replayed) = Journal::open(&folder.0, LIMIT, NOW).expect("it opens");
    assert!(replayed.is_empty() && again.final_outcome("a").is_some());
}

#[test]
fn damage_in_its_midst_hides_nothing_behind_it_and_leaves_what_was_open_in_doubt() {
    let folder = Folder::new();
    let (mut journal, _) = Journal::open(&folder.0, LIMIT, NOW).expect("it opens");
    // What looks like a record in a damaged one is none.
    let mut body = b"front ".to_vec();
    put(&Record::Completed("a".into(), FinalOutcome::Delivered, NOW + 1000), &mut body);
    journal.commit(&[taken("a", Vec::new()), taken("b", body)], NOW).expect("there is room");
    journal.commit(&[taken("c", Vec::new())], NOW).expect("there is room");
    let mut text = fs::read(&journal.path).expect("it is there");
    let at = text.windows(5).position(|part| part == b"front").expect("it is there");
    text[at] ^= 1;
    fs::write(&journal.path, &text).expect("it is writable");
    let doubts = |open: Vec<RecoveredMessage>| -> Vec<(String, bool)> {
        open.into_iter().map(|open| (open.taken.id, open.in_doubt)).collect()
    };
    let (mut journal, open) = Journal::open(&folder.0, LIMIT, NOW).expect("it opens");
    assert_eq!(doubts(open), [("a".to_owned(), true), ("c".to_owned(), false)]);
    // It goes on behind that, and compacting leaves the damage out.
    journal.commit(&[taken("d", Vec::new())], NOW).expect("there is room");
    let with_damage = journal.len;
    journal.compact(NOW).expect("there is room");
    assert!(journal.len < with_damage);
    let (_, open) = Journal::open(&folder.0, LIMIT, NOW).expect("it opens");
    assert_eq!(open.iter().map(|open| open.taken.id.as_str()).collect::<Vec<_>>(), ["a", "c", "d"]);
    // A whole record that can't be read at the end is no torn one; half a record is.
    let mut text = fs::read(&journal.path).expect("it is there");
    text.pop();
    fs::write(&journal.path, &text).expect("it is writable");
    let (_, open) = Journal::open(&folder.0, LIMIT, NOW).expect("it opens");
    assert_eq!(doubts(open), [("a".to_owned(), false), ("c".to_owned(), false)]);
    let mut text = fs::read(&journal.path).expect("it is there");
    *text.last_mut().expect("there is one") ^= 1;
    fs::write(&journal.path, &text).expect("it is writable");
    let (_, open) = Journal::open(&folder.0, LIMIT, NOW).expect("it opens");
    assert_eq!(doubts(open), [("a".to_owned(), true)]);
}
