use super::*;
use crate::forwarder::clock::{KernelClocks, Timeline};
use crate::forwarder::journal::Journal;
use std::time::Duration;
use std::{env, fs, process};

#[test]
fn late_or_withheld_call_is_neither_written_nor_recorded() {
    let folder = env::temp_dir().join(format!("guard-test-{}", process::id()));
    fs::create_dir_all(&folder).expect("a temporary folder");
    let clock = Timeline::open(&folder, folder.join("socket"), KernelClocks).clock();
    let (journal, _) = Journal::open(&folder, 1 << 20, clock.now_unix_ms()).expect("the journal opens");
    let journal = SharedJournal::new(journal);
    let attempts = vec![AttemptRef { message: "m".to_owned(), attempt: 0 }];
    let guard =
        |send_before| WriteGuard::new(journal.clone(), clock, attempts.clone(), send_before, "a".to_owned());
    let now = Instant::now();
    // `send_before` is checked even if no timer has fired.
    let late = guard(now);
    assert!(!late.try_begin() && !late.has_begun());
    let length = || fs::metadata(folder.join("journal")).map_or(0, |file| file.len());
    assert_eq!(length(), 0, "no attempt is recorded");
    let early = guard(now + Duration::from_secs(60));
    assert!(early.try_begin() && early.has_begun() && length() > 0);
    // Nothing more is written once the write is withheld, even if it has begun.
    early.withhold();
    assert!(!early.try_begin());
    fs::remove_dir_all(&folder).expect("the folder exists");
}
