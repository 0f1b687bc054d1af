use super::*;

const MILLISECOND: Micros = 1_000;

#[test]
fn age_at_which_connections_are_dead_is_unusable_until_the_observations_decay() {
    let mut idle_ages = IdleAgeStatistics::default();
    assert_eq!(idle_ages.max_usable_age(0), None);
    // A single connection may be dead for another reason.
    idle_ages.record(0, 200 * MILLISECOND, IdleReuse::Dead);
    assert_eq!(idle_ages.max_usable_age(0), None);
    idle_ages.record(0, 150 * MILLISECOND, IdleReuse::Dead);
    assert_eq!(idle_ages.max_usable_age(0), Some(128 * MILLISECOND));
    // Few of the younger connections are dead, and older dead ones do not change the bound.
    for attempt in 0..20 {
        idle_ages.record(0, 70 * MILLISECOND, if attempt < 2 { IdleReuse::Dead } else { IdleReuse::Alive });
        idle_ages.record(0, 5000 * MILLISECOND, IdleReuse::Dead);
    }
    assert_eq!(idle_ages.max_usable_age(0), Some(128 * MILLISECOND));
    assert_eq!(idle_ages.max_usable_age(120_000 * MILLISECOND), None);
}

#[test]
fn age_is_proven_only_if_almost_no_connection_is_dead_up_to_it() {
    let mut idle_ages = IdleAgeStatistics::default();
    assert_eq!(idle_ages.proven_age(0), 0, "no connection has been observed");
    for _ in 0..30 {
        idle_ages.record(0, 40 * MILLISECOND, IdleReuse::Alive);
    }
    assert_eq!(idle_ages.proven_age(0), 64 * MILLISECOND, "no older connection has been observed");
    for _ in 0..60 {
        idle_ages.record(0, 300 * MILLISECOND, IdleReuse::Alive);
    }
    assert_eq!(idle_ages.proven_age(0), 512 * MILLISECOND);
    // One dead connection beside 90 live ones is too many, and only younger ages stay proven.
    idle_ages.record(0, 100 * MILLISECOND, IdleReuse::Dead);
    assert_eq!(idle_ages.proven_age(0), 64 * MILLISECOND);
    assert_eq!(idle_ages.max_usable_age(0), None, "an idempotent call may reuse any connection");
    // Old observations no longer prove anything.
    assert_eq!(idle_ages.proven_age(120_000 * MILLISECOND), 0);
}

#[test]
fn no_connection_is_usable_if_connections_of_age_zero_are_dead() {
    let mut idle_ages = IdleAgeStatistics::default();
    (0..2).for_each(|_| idle_ages.record(0, 0, IdleReuse::Dead));
    assert_eq!(idle_ages.max_usable_age(0), Some(0));
    // Ages out of range are counted without a panic.
    idle_ages.record(0, -5, IdleReuse::Alive);
    idle_ages.record(0, Micros::MAX, IdleReuse::Dead);
}
