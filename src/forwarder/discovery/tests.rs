use super::*;

fn polls(seed: u64) -> Polls {
    let settings =
        Settings { poll_discovery: true, max_list_age: 10_000_000, sender_count: 100, ..Settings::default() };
    Polls::new(&settings, seed).expect("many share one service")
}

fn refused() -> PollError {
    PollError::Status(StatusCode::SERVICE_UNAVAILABLE)
}

#[test]
fn only_where_many_ask_one_service_the_whole_list_is_polled() {
    let settings =
        Settings { poll_discovery: true, max_list_age: 10_000_000, sender_count: 5, ..Settings::default() };
    assert!(Polls::new(&settings, 3).is_some());
    for few in [
        Settings { sender_count: 4, ..settings.clone() },
        Settings { poll_discovery: false, ..settings.clone() },
        Settings { max_list_age: 0, ..settings },
    ] {
        assert!(Polls::new(&few, 3).is_none());
    }
}

#[test]
fn polls_that_fail_thin_out_and_fall_apart() {
    let mut all = [polls(0x8c1f_30d2_7a5b_e964), polls(0x51d2_0c7e_93ab_4f06)];
    let [one, other] = all.each_mut().map(|polls| -> Vec<Duration> {
        [polls.first()].into_iter().chain((0..12).map(|_| polls.failed(&refused()))).collect()
    });
    assert!(one.iter().zip(&other).all(|(a, b)| a != b), "{one:?} {other:?}");
    for all in [one, other] {
        assert!(all[0] <= Duration::from_secs(5), "{all:?}");
        // A refusal binds for four times the time for asking, and no longer.
        assert!(all[3..].iter().all(|pause| (10..=30).contains(&pause.as_secs())), "{all:?}");
    }
}

#[test]
fn polls_find_their_pace_and_come_in_time_after_each_answer() {
    let mut polls = polls(3);
    let within = Duration::from_secs(10);
    for _ in 0..4 {
        polls.failed(&refused());
    }
    let backoff: Vec<Duration> = (0..100).map(|_| polls.answered()).collect();
    assert!(backoff.iter().all(|pause| *pause < within), "{backoff:?}");
    assert!(backoff[90..].iter().all(|pause| *pause <= within / 3), "{backoff:?}");
    // One refusal halves the pace, one answer does not bring it back.
    polls.failed(&refused());
    polls.answered();
    assert!(polls.rate < RATE_MOST * 0.6);
    // Without any answer, what it would have brought counts as told soon.
    assert!((0..20).all(|_| polls.failed(&PollError::Silent) <= within / 5));
}

#[test]
fn watches_that_fail_are_soon_tried_again() {
    let mut backoff = Backoff::new(3);
    let all: Vec<Duration> = (0..9).map(|_| backoff.next()).collect();
    assert!(all.iter().all(|pause| *pause <= BACKOFF.1 * 3 / 2) && all[8] >= BACKOFF.1 / 2, "{all:?}");
    backoff.end();
    assert!(backoff.next() <= BACKOFF.0 * 3 / 2);
}
