//! The division of slots among claims, and what an owner may run by it.

use std::time::{Duration, Instant};

use kestrellock_core::admission::STARVATION_LIMIT;
use kestrellock_core::capacity::{
    Claim, DEMAND_LIFETIME, Division, InstanceDemand, LEVELS, LevelDemand, SharedCapacity, divide,
};
use kestrellock_core::ids::{InstanceName, NodeName};
use kestrellock_core::incarnation::InstanceIncarnation;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Statements with deadlines between `earliest` and `latest` milliseconds from now.
fn waiting(waiting: u32, earliest: u64, latest: u64) -> LevelDemand {
    let (earliest, latest) = (ms(earliest), ms(latest));
    LevelDemand { waiting, flows: 1, earliest, latest, ..LevelDemand::default() }
}

/// A demand of an owner that runs `running` statements of the lowest priority.
fn demand(running: u32, mut levels: [LevelDemand; LEVELS]) -> InstanceDemand {
    levels[LEVELS - 1].running = running;
    let (instance, service) = (InstanceName::new("i"), ms(10));
    InstanceDemand { instance, incarnation: None, limit: 4, service, levels }
}

const NONE: LevelDemand = LevelDemand {
    running: 0,
    waiting: 0,
    flows: 0,
    earliest: Duration::ZERO,
    latest: Duration::ZERO,
    overtaken: 0,
    started: 0,
};

fn division(slots: u32, levels: &[[LevelDemand; LEVELS]]) -> (Vec<u32>, u32) {
    let now = Instant::now();
    let claims: Vec<Claim> =
        levels.iter().map(|levels| Claim::new(&demand(0, *levels), now)).collect();
    let Division { granted, unclaimed, .. } = divide(slots, &claims);
    (granted, unclaimed)
}

#[test]
fn slots_go_to_the_highest_priority_first() {
    let urgent = [waiting(3, 900, 900), NONE, NONE];
    let browsing = [NONE, NONE, waiting(9, 10, 10)];
    assert_eq!(division(4, &[browsing, urgent]), (vec![1, 3], 0));
    assert_eq!(division(2, &[browsing, urgent]), (vec![0, 2], 0));
}

#[test]
fn at_one_priority_the_earliest_deadlines_go_first() {
    let early = [NONE, waiting(2, 100, 120), NONE];
    let late = [NONE, waiting(4, 500, 700), NONE];
    assert_eq!(division(4, &[late, early]), (vec![2, 2], 0));
    // The deadlines of one owner are spread: its later ones come after those of the other.
    let spread = [NONE, waiting(3, 100, 900), NONE];
    let between = [NONE, waiting(2, 200, 300), NONE];
    assert_eq!(division(3, &[spread, between]), (vec![1, 2], 0));
}

#[test]
fn equal_deadlines_share_by_the_number_of_tenants_and_accounts() {
    let of_three = LevelDemand { flows: 3, ..waiting(9, 500, 500) };
    let of_one = waiting(9, 500, 500);
    let claims = [[NONE, of_three, NONE], [NONE, of_one, NONE]];
    assert_eq!(division(4, &claims), (vec![3, 1], 0));
}

/// An owner that runs three urgent statements and has one more waiting needs four slots: with one,
/// three statements would have to end before the fourth could start.
#[test]
fn running_statements_count_and_outrank_less_urgent_ones() {
    let urgent = [LevelDemand { running: 2, ..waiting(1, 900, 900) }, NONE, NONE];
    let browsing = [NONE, NONE, LevelDemand { running: 2, ..waiting(9, 10, 10) }];
    assert_eq!(division(4, &[browsing, urgent]), (vec![1, 3], 0));
    let only_running = [NONE, NONE, LevelDemand { running: 2, ..NONE }];
    assert_eq!(division(4, &[browsing, only_running]), (vec![4, 0], 0));
}

/// Slots that an owner cannot use for lack of connections would stay idle.
#[test]
fn an_owner_gets_no_more_slots_than_it_can_use() {
    let now = Instant::now();
    let many = [waiting(9, 10, 10), NONE, NONE];
    let limited = InstanceDemand { limit: 1, ..demand(0, many) };
    let other = demand(0, [NONE, waiting(9, 500, 500), NONE]);
    let division = divide(4, &[Claim::new(&limited, now), Claim::new(&other, now)]);
    assert_eq!((division.granted, division.unclaimed), (vec![1, 3], 0));
}

#[test]
fn a_starved_priority_gets_one_slot() {
    let urgent = [waiting(9, 100, 100), NONE, NONE];
    let starved = LevelDemand { overtaken: STARVATION_LIMIT, ..waiting(9, 900, 900) };
    let overtaken = LevelDemand { overtaken: STARVATION_LIMIT - 1, ..starved };
    assert_eq!(division(4, &[urgent, [NONE, NONE, starved]]), (vec![3, 1], 0));
    assert_eq!(division(4, &[urgent, [NONE, NONE, overtaken]]), (vec![4, 0], 0));
}

/// If each owner served its own starved statements, those of all owners would go ahead of the
/// urgent ones.
#[test]
fn only_one_owner_serves_a_starved_priority_at_a_time() {
    let now = Instant::now();
    let starved = |earliest| {
        let level = LevelDemand { overtaken: STARVATION_LIMIT, ..waiting(9, earliest, earliest) };
        demand(0, [waiting(9, 100, 100), NONE, level])
    };
    for (own, other, expected) in [(500, 900, Some(LEVELS - 1)), (900, 500, None)] {
        let mut shared = SharedCapacity::default();
        shared.on_demand(&node("b"), &starved(other), now);
        let allocation = shared.allocation(&node("a"), &starved(own), 4, now);
        assert_eq!(allocation.and_then(|allocation| allocation.starved_level), expected);
    }
}

#[test]
fn unclaimed_slots_are_reported() {
    assert_eq!(division(4, &[[NONE, NONE, NONE], [waiting(1, 9, 9), NONE, NONE]]), (vec![0, 1], 3));
    assert_eq!(division(4, &[]), (vec![], 4));
    assert_eq!(division(0, &[[waiting(1, 9, 9), NONE, NONE]]), (vec![0], 0));
}

fn node(name: &str) -> NodeName {
    NodeName::new(name)
}

/// Number of the four slots that owner `a` may take.
fn slots(shared: &mut SharedCapacity, own: &InstanceDemand, now: Instant) -> Option<u32> {
    shared.allocation(&node("a"), own, 4, now).map(|allocation| allocation.slots)
}

/// Otherwise an owner that stays silent would block its share for ever.
#[test]
fn a_demand_expires_without_news_and_the_owners_own_limit_applies_again() {
    let start = Instant::now();
    let mut shared = SharedCapacity::default();
    let own = demand(0, [NONE, waiting(9, 500, 500), NONE]);
    assert_eq!(slots(&mut shared, &own, start), None);
    shared.on_demand(&node("b"), &demand(3, [waiting(9, 100, 100), NONE, NONE]), start);
    assert_eq!(slots(&mut shared, &own, start), Some(0));
    let late = start + DEMAND_LIFETIME;
    assert_eq!(shared.expire(late - ms(1)), []);
    assert_eq!(shared.expire(late), [node("b")]);
    assert_eq!(slots(&mut shared, &own, late), None);
}

/// A withdrawn demand leaves only the statements that still run.
#[test]
fn a_withdrawn_demand_counts_what_runs_until_it_has_ended() {
    let start = Instant::now();
    let mut shared = SharedCapacity::default();
    let own = demand(0, [NONE, waiting(9, 500, 500), NONE]);
    let withdrawn = demand(3, [waiting(9, 100, 100), NONE, NONE]).withdrawn();
    shared.on_demand(&node("b"), &withdrawn, start);
    assert_eq!(slots(&mut shared, &own, start), Some(1));
    assert_eq!(slots(&mut shared, &own, start + ms(10)), None);
    assert_eq!(shared.expire(start + ms(10)), [], "nothing expired unexpectedly");
}

/// Two owners that are cut off in one direction: one keeps all slots although the other has
/// reported more urgent statements to it.
#[test]
fn an_owner_that_does_not_yield_cannot_keep_another_from_its_share() {
    let start = Instant::now();
    let mut shared = SharedCapacity::default();
    let own = demand(0, [waiting(2, 100, 100), NONE, NONE]);
    let deaf = demand(4, [NONE, NONE, waiting(9, 500, 500)]);
    for elapsed in 0..10 {
        let now = start + ms(elapsed);
        shared.on_demand(&node("b"), &deaf, now);
        assert_eq!(slots(&mut shared, &own, now), Some(0), "{elapsed} ms");
    }
    assert_eq!(slots(&mut shared, &own, start + ms(10)), Some(2));
}

#[test]
fn former_owners_and_an_earlier_process_of_the_instance_do_not_count() {
    let now = Instant::now();
    let mut shared = SharedCapacity::default();
    let of = |incarnation| {
        let incarnation = Some(InstanceIncarnation(incarnation));
        InstanceDemand { incarnation, ..demand(4, [waiting(9, 100, 100), NONE, NONE]) }
    };
    shared.on_demand(&node("b"), &of(1), now);
    shared.on_demand(&node("c"), &of(2), now);
    shared.on_demand(&node("d"), &of(2), now);
    shared.retain(|owner| *owner != node("d"), Some(InstanceIncarnation(2)));
    assert_eq!(shared.known_owners(), 1);
}

/// An owner that restarts counts its starts from zero, which must not look like a wrapped counter.
#[test]
fn starts_are_counted_between_demands_of_one_process() {
    let now = Instant::now();
    let mut shared = SharedCapacity::default();
    let of = |started| demand(0, [LevelDemand { started, ..waiting(1, 9, 9) }, NONE, NONE]);
    assert_eq!(shared.on_demand(&node("b"), &of(100), now), [0, 0, 0]);
    assert_eq!(shared.on_demand(&node("b"), &of(103), now), [3, 0, 0]);
    assert_eq!(shared.on_demand(&node("b"), &of(2), now), [0, 0, 0]);
    assert_eq!(shared.on_demand(&node("b"), &of(u32::MAX), now), [0, 0, 0]);
    assert_eq!(shared.on_demand(&node("b"), &of(1), now), [2, 0, 0]);
}
