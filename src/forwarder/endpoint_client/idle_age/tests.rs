use super::*;

const MS: Micros = 1_000;

#[test]
fn age_at_which_connections_die_is_unusable_until_the_observations_decay() {
    let mut idle_ages = IdleAgeStatistics::default();
    assert_eq!(idle_ages.max_usable_age(0), None);
    // A single one may have had another reason.
    idle_ages.record(0, 200 * MS, IdleReuse::Dead);
    assert_eq!(idle_ages.max_usable_age(0), None);
    idle_ages.record(0, 150 * MS, IdleReuse::Dead);
    assert_eq!(idle_ages.max_usable_age(0), Some(128 * MS));
    // Few younger ones die; older ones do not lower the bound.
    for n in 0..20 {
        idle_ages.record(0, 70 * MS, if n < 2 { IdleReuse::Dead } else { IdleReuse::Alive });
        idle_ages.record(0, 5000 * MS, IdleReuse::Dead);
    }
    assert_eq!(idle_ages.max_usable_age(0), Some(128 * MS));
    assert_eq!(idle_ages.max_usable_age(120_000 * MS), None);
}

#[test]
fn age_is_proven_only_if_hardly_any_connection_dies_up_to_it() {
    let mut idle_ages = IdleAgeStatistics::default();
    assert_eq!(idle_ages.proven_age(0), 0, "nothing has been tried");
    for _ in 0..30 {
        idle_ages.record(0, 40 * MS, IdleReuse::Alive);
    }
    assert_eq!(idle_ages.proven_age(0), 64 * MS, "no older one has been tried");
    for _ in 0..60 {
        idle_ages.record(0, 300 * MS, IdleReuse::Alive);
    }
    assert_eq!(idle_ages.proven_age(0), 512 * MS);
    // One of 90 is too many, and younger ones are as safe as before.
    idle_ages.record(0, 100 * MS, IdleReuse::Dead);
    assert_eq!(idle_ages.proven_age(0), 64 * MS);
    assert_eq!(idle_ages.max_usable_age(0), None, "idempotent calls may use it");
    // Observations of long ago prove nothing.
    assert_eq!(idle_ages.proven_age(120_000 * MS), 0);
}

#[test]
fn no_connection_is_usable_if_they_die_at_once() {
    let mut idle_ages = IdleAgeStatistics::default();
    (0..2).for_each(|_| idle_ages.record(0, 0, IdleReuse::Dead));
    assert_eq!(idle_ages.max_usable_age(0), Some(0));
    // Any age has a class.
    idle_ages.record(0, -5, IdleReuse::Alive);
    idle_ages.record(0, Micros::MAX, IdleReuse::Dead);
}
