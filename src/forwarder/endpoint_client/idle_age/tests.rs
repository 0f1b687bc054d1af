use super::*;

const MS: Micros = 1_000;

#[test]
fn ages_at_which_connections_die_are_avoided_until_that_is_long_ago() {
    let mut idle_ages = IdleAgeStatistics::default();
    assert_eq!(idle_ages.max_usable_age(0), None);
    // One may have had another reason.
    idle_ages.record(0, 200 * MS, IdleReuse::Dead);
    assert_eq!(idle_ages.max_usable_age(0), None);
    idle_ages.record(0, 150 * MS, IdleReuse::Dead);
    assert_eq!(idle_ages.max_usable_age(0), Some(128 * MS));
    // Younger ones live, but for a few; older ones say nothing new.
    for n in 0..20 {
        idle_ages.record(0, 70 * MS, if n < 2 { IdleReuse::Dead } else { IdleReuse::Alive });
        idle_ages.record(0, 5000 * MS, IdleReuse::Dead);
    }
    assert_eq!(idle_ages.max_usable_age(0), Some(128 * MS));
    assert_eq!(idle_ages.max_usable_age(120_000 * MS), None);
}

#[test]
fn only_ages_at_which_hardly_any_die_are_proven() {
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
    assert_eq!(idle_ages.max_usable_age(0), None, "what may run twice goes on it");
    // What was seen long ago proves nothing.
    assert_eq!(idle_ages.proven_age(120_000 * MS), 0);
}

#[test]
fn where_connections_die_at_once_none_is_kept() {
    let mut idle_ages = IdleAgeStatistics::default();
    (0..2).for_each(|_| idle_ages.record(0, 0, IdleReuse::Dead));
    assert_eq!(idle_ages.max_usable_age(0), Some(0));
    // Any age has a class.
    idle_ages.record(0, -5, IdleReuse::Alive);
    idle_ages.record(0, Micros::MAX, IdleReuse::Dead);
}
