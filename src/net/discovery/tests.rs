use super::*;

fn pauses(ask: bool, seed: u64) -> Vec<Duration> {
    let settings = Settings { ask, ask_within: 10_000_000, ..Settings::default() };
    let mut pauses = Pauses::new(&settings, seed);
    (0..12).map(|_| pauses.next()).collect()
}

#[test]
fn where_all_ask_one_service_failed_calls_thin_out_and_fall_apart() {
    let (one, other) = (pauses(true, 0x8c1f_30d2_7a5b_e964), pauses(true, 0x51d2_0c7e_93ab_4f06));
    assert!(one.iter().zip(&other).all(|(a, b)| a != b), "{one:?} {other:?}");
    // Twelve steady pauses of the longest kind for one's own agent would be over in five seconds.
    for all in [one, other] {
        assert!(all.iter().sum::<Duration>() > Duration::from_secs(20), "{all:?}");
        assert!(all.iter().all(|pause| *pause <= Duration::from_secs(15)), "{all:?}");
    }
    assert!(pauses(false, 3).iter().all(|pause| *pause <= BACK_OFF.1 * 3 / 2));
}

#[test]
fn after_an_answer_they_are_short_again() {
    let settings = Settings { ask: true, ask_within: 10_000_000, ..Settings::default() };
    let mut pauses = Pauses::new(&settings, 3);
    assert!((0..9).map(|_| pauses.next()).max() > Some(BACK_OFF.1));
    pauses.end();
    assert!(pauses.next() <= BACK_OFF.0 * 3 / 2);
}
