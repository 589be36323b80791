//! Replacing primaries in virtual time: the real decisions before modelled instances, store and
//! network, with seeds. Each seed draws its own faults; a checker judges what callers were told.
//!
//! `SEEDS=20000 cargo test --release -p kestrellock-core --test replacement -- --nocapture` plays
//! more seeds than CI does.

mod acting;
mod around;
mod checker;
mod faults;
mod instances;
mod listing;
mod messages;
mod node;
mod old_primaries;
mod plan;
mod refills;
mod returns;
mod serving;
mod store;
mod trace;
mod traffic;
mod world;

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};

use checker::Violation;
use plan::{Faults, Plant};
use world::{Outcome, World};

/// Seeds that CI plays.
const SEEDS: u64 = 240;
/// Seeds with planted faults; each must be caught in at least one of them.
const PLANTED_SEEDS: u64 = 3_840;
/// They are played in parts, until one is caught.
const PART: u64 = 96;
const FIRST_SEED: u64 = 1;
/// Plays around a seed in CI.
const PLAYS_AROUND: u64 = 60;
/// The same where one of several hundred breaks.
const PLAYS_AROUND_A_RARE_MOMENT: u64 = 200;

/// Seeds with up to four faults that broke a promise once, with what was wrong.
const MENDED_SEEDS_OF_FEW_FAULTS: [(u64, &str); 1] =
    [(16686, "a successor that led while the store was down was taken for one that was lost")];

/// The same with up to nine faults.
const MENDED_SEEDS: [(u64, &str); 10] = [
    (
        339,
        "a replica was released before it followed the successor, and said it followed the old one",
    ),
    (1530, "a promotion was sent again though a replica had forgotten that it was stopped"),
    (65, "a replica stayed stopped with a higher term than that of the successor"),
    (192, "the same, after two holders"),
    (589, "a promotion was sent again to a replica that was no longer ahead"),
    (399, "replicas were stopped with a term that the old primary led: they received on"),
    (4206, "the same after a restart of the holder"),
    (7864, "the same after a node had been killed"),
    (2219, "a second holder called the attempt off and released only what it had stopped itself"),
    (12832, "the model promoted twice under one term; the platform gives the next one"),
];

/// The same where promotions release all replicas.
const MENDED_SEEDS_WITH_RELEASES: [(u64, &str); 1] = [(
    17934,
    "the successor died before replicas had heard of it, and the old primary answered one more commit",
)];

/// The same with up to four faults where an instance starts again with nothing.
const MENDED_SEEDS_OF_FEW_FAULTS_WITH_EMPTY_STARTS: [(u64, &str); 6] = [
    (440, "the instance being promoted started again; the old primary held what it had held"),
    (1737, "an answer that nobody waited for any more was taken for an acknowledgement"),
    (1912, "an old primary answered commits through a replica that had forgotten the newer term"),
    (1985, "the same, and then nobody replaced it, because nothing was sent there"),
    (4866, "the holder had started after the instance, and took it for one that held everything"),
    (17058, "the same"),
];

/// The same with up to nine faults where promotions release all replicas.
const MENDED_SEEDS_WITH_EMPTY_STARTS: [(u64, &str); 3] = [
    (2911, "the holder had started after the instance, and took it for one that held everything"),
    (9380, "the same"),
    (14341, "the same"),
];

/// Seeds with up to four faults where nodes come, in which a holder took the nodes of its own old list for all, since their
/// word came before the answer of the store that its intent was recorded.
const MENDED_SEEDS_OF_FEW_FAULTS_WHILE_NODES_COME: [u64; 9] =
    [1210296, 1212314, 1212622, 1214793, 1225912, 1227103, 1227337, 1228503, 1228795];

/// Seeds with up to nine faults, releases and empty starts in which the store came back from a copy.
const MENDED_SEEDS_WITH_A_RETURN: [(u64, &str); 4] = [
    (318, "the copy told an earlier start of an instance that had lost its log since"),
    (946, "an old primary that an earlier holder had stopped as a replica stayed stopped"),
    (1747, "the copy told an earlier start of an instance that had lost its log since"),
    (2299, "an old primary that an earlier holder had stopped as a replica stayed stopped"),
];

/// Seeds in which an instance that starts again with nothing loses a commit or lets an old primary answer
/// one: with up to four faults, and with up to nine where promotions release all replicas.
const BROKEN_SEEDS_OF_FEW_FAULTS_WITH_EMPTY_STARTS: [u64; 1] = [14008];
const BROKEN_SEEDS_WITH_EMPTY_STARTS: [u64; 6] = [5976, 9805, 15444, 15611, 17708, 19308];

fn seeds() -> Range<u64> {
    let first = std::env::var("FIRST_SEED").ok().and_then(|text| text.parse().ok());
    let first = first.unwrap_or(FIRST_SEED);
    let count = std::env::var("SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(SEEDS);
    first..first + count
}

/// Plays seeds on all processors; outcomes by seed.
fn play(seeds: Range<u64>, faults: Faults, plant: Plant) -> BTreeMap<u64, Outcome> {
    play_worlds(seeds, |seed| World::new(seed, faults, plant))
}

/// Plays the worlds of these numbers on all processors; outcomes by number.
fn play_worlds(numbers: Range<u64>, world: impl Fn(u64) -> World + Sync) -> BTreeMap<u64, Outcome> {
    let next = AtomicU64::new(numbers.start);
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let parts = std::thread::scope(|scope| {
        let play_part = || {
            let mut outcomes = Vec::new();
            loop {
                let number = next.fetch_add(1, Ordering::Relaxed);
                if number >= numbers.end {
                    return outcomes;
                }
                outcomes.push((number, world(number).play()));
            }
        };
        let handles: Vec<_> = (0..threads).map(|_| scope.spawn(play_part)).collect();
        handles.into_iter().map(|handle| handle.join().expect("it plays")).collect::<Vec<_>>()
    });
    parts.into_iter().flatten().collect()
}

/// Violations of the seeds that broke a promise: how many seeds, and some with their faults.
fn describe(outcomes: &BTreeMap<u64, Outcome>) -> String {
    let broken: Vec<_> =
        outcomes.iter().filter(|(_, outcome)| !outcome.violations.is_empty()).collect();
    let some = broken.iter().take(10).map(|(seed, outcome)| {
        let first = &outcome.violations[0];
        format!(
            "seed {seed}, {} times: {first:?} with {:?}",
            outcome.violations.len(),
            outcome.plan
        )
    });
    format!("{} seeds\n{}", broken.len(), some.collect::<Vec<_>>().join("\n"))
}

fn violations(outcomes: &BTreeMap<u64, Outcome>) -> Vec<(u64, Violation)> {
    let each = outcomes.iter().flat_map(|(seed, outcome)| {
        outcome.violations.iter().map(|violation| (*seed, violation.clone()))
    });
    each.collect()
}

/// Plays the seeds; none may break a promise, and enough must happen.
fn holds(faults: Faults) {
    holds_with_a_promotion_in(4, faults);
}

/// The same; on average there must be a promotion in so many seeds.
fn holds_with_a_promotion_in(seeds_of_promotion: u64, faults: Faults) {
    let outcomes = play(seeds(), faults, Plant::None);
    let found = violations(&outcomes);
    let total = |count: fn(&Outcome) -> u64| outcomes.values().map(count).sum::<u64>();
    println!(
        "{} seeds, at most {} faults: {} writes acknowledged, {} reads at primaries, {} promotions, \
         {} violations",
        outcomes.len(),
        faults.most,
        total(|outcome| outcome.acknowledged),
        total(|outcome| outcome.reads),
        total(|outcome| outcome.promotions),
        found.len()
    );
    assert!(found.is_empty(), "{}", describe(&outcomes));
    let least = outcomes.len() as u64 / seeds_of_promotion;
    assert!(total(|outcome| outcome.promotions) > least, "too few promotions");
    assert!(total(|outcome| outcome.reads) > outcomes.len() as u64 * 20, "too few reads");
}

#[test]
fn no_seed_breaks_a_promise() {
    holds(Faults::all());
}

#[test]
fn no_seed_with_many_faults_at_once_breaks_a_promise() {
    holds(Faults::dense());
}

#[test]
fn no_seed_breaks_a_promise_where_promotions_release_all_replicas() {
    holds(Faults::all().with_releases());
}

#[test]
fn no_seed_with_many_faults_breaks_a_promise_where_promotions_release_all_replicas() {
    holds(Faults::dense().with_releases());
}

#[test]
fn no_seed_breaks_a_promise_while_connections_go_silent() {
    holds(Faults::all().with_silences());
}

#[test]
fn no_seed_with_many_faults_breaks_a_promise_while_connections_go_silent() {
    holds(Faults::dense().with_releases().with_silences());
}

#[test]
fn no_seed_breaks_a_promise_while_an_instance_starts_again_with_nothing() {
    holds(Faults::all().with_empty_starts());
}

#[test]
fn no_seed_with_many_faults_breaks_a_promise_while_an_instance_starts_again_with_nothing() {
    holds(Faults::dense().with_releases().with_empty_starts());
}

/// Nodes come while primaries are replaced, and some of them lose the store at once.
#[test]
fn no_seed_breaks_a_promise_while_nodes_come() {
    holds(Faults::all().with_nodes_that_come());
}

#[test]
fn no_seed_with_many_faults_breaks_a_promise_while_nodes_come() {
    holds(Faults::dense().with_releases().with_empty_starts().with_nodes_that_come());
}

/// All nodes start at about the same time, knowing nothing of what happened before.
#[test]
fn no_seed_breaks_a_promise_with_a_start_of_all_nodes() {
    holds(Faults::all().with_empty_starts().with_start_of_all());
}

#[test]
fn no_seed_with_many_faults_breaks_a_promise_with_a_start_of_all_nodes() {
    holds(Faults::dense().with_releases().with_empty_starts().with_start_of_all());
}

/// The store comes back from an older copy while primaries are replaced: holds, records, votes and who was promoted
/// are lost, and revisions are given out again.
#[test]
fn no_seed_breaks_a_promise_while_the_store_comes_back_from_a_copy() {
    // Some replacements are not needed any more by the time that the return has been waited out.
    holds_with_a_promotion_in(6, Faults::all().with_put_back());
}

#[test]
fn no_seed_with_many_faults_breaks_a_promise_while_the_store_comes_back_from_a_copy() {
    holds(Faults::dense().with_releases().with_put_back());
}

#[test]
fn no_seed_with_empty_starts_breaks_a_promise_while_the_store_comes_back_from_a_copy() {
    holds(Faults::dense().with_releases().with_empty_starts().with_put_back());
}

#[test]
fn no_seed_with_a_start_of_all_breaks_a_promise_while_the_store_comes_back_from_a_copy() {
    holds(Faults::all().with_empty_starts().with_start_of_all().with_put_back());
}

/// A bare revision as fence is given out again, or is lower than the platform has seen.
#[test]
fn a_fence_of_a_bare_revision_is_caught() {
    let faults = Faults::dense().with_put_back();
    is_caught_with(faults, Plant::FenceOfRevision, |found| {
        matches!(found, Violation::Fence { .. })
    });
}

/// The store, back from a copy, tells the start of an instance that has lost its log since.
#[test]
fn starts_of_a_copy_that_are_believed_are_caught() {
    let faults = Faults::dense().with_releases().with_empty_starts().with_put_back();
    is_caught_with(faults, Plant::StartsBelieved, |found| {
        matches!(found, Violation::LostCommit { .. })
    });
}

/// A node that nobody waits for yet relies on its evidence for as long as one that is listed.
#[test]
fn evidence_of_a_node_that_is_not_listed_is_caught() {
    let faults = Faults::all().with_nodes_that_come();
    is_caught_with(faults, Plant::UnlistedEvidenceLasts, |found| {
        matches!(found, Violation::StaleRead { .. })
    });
}

/// Whoever replaces a primary goes by the nodes that its own copy of the store lists, which may be old.
#[test]
fn a_list_of_nodes_that_is_not_read_anew_is_caught() {
    let faults = Faults::all().with_nodes_that_come();
    is_caught_with(faults, Plant::ListFromCopy, |found| {
        matches!(found, Violation::StaleRead { .. })
    });
}

#[test]
fn memory_that_outlasts_a_process_is_caught() {
    let faults = Faults::dense().with_empty_starts();
    is_caught_with(faults, Plant::MemoryKept, |found| {
        matches!(found, Violation::LostCommit { .. })
    });
}

#[test]
fn seeds_that_broke_a_promise_once_hold() {
    let few = MENDED_SEEDS_OF_FEW_FAULTS.map(|(seed, cause)| (seed, Faults::all(), cause));
    let many = MENDED_SEEDS.map(|(seed, cause)| (seed, Faults::dense(), cause));
    let releases = Faults::dense().with_releases();
    let released = MENDED_SEEDS_WITH_RELEASES.map(|(seed, cause)| (seed, releases, cause));
    let empty = Faults::all().with_empty_starts();
    let emptied =
        MENDED_SEEDS_OF_FEW_FAULTS_WITH_EMPTY_STARTS.map(|(seed, cause)| (seed, empty, cause));
    let many_empty = releases.with_empty_starts();
    let many_emptied =
        MENDED_SEEDS_WITH_EMPTY_STARTS.map(|(seed, cause)| (seed, many_empty, cause));
    let returned = many_empty.with_put_back();
    let returned = MENDED_SEEDS_WITH_A_RETURN.map(|(seed, cause)| (seed, returned, cause));
    let all = few.into_iter().chain(many).chain(released).chain(emptied).chain(many_emptied);
    let all = all.chain(returned);
    for (seed, faults, cause) in all {
        let outcome = World::new(seed, faults, Plant::None).play();
        assert!(outcome.violations.is_empty(), "seed {seed}: {cause}: {:?}", outcome.violations);
    }
}

/// Callers lost a commit that had been acknowledged. The promoted primary i-1 lost its log at 1,099 ms; it started
/// again at 1,699 ms with nobody to refill it, and counted as one that holds everything 3 s later. i-0, which had
/// been away since before that commit, was promoted with 22 commits of 36 at 6,322 ms; i-2 had them all, was back
/// since 3,804 ms and was not waited for.
#[test]
fn an_instance_that_nobody_could_refill_does_not_count_after_a_while() {
    let faults = Faults::all().with_empty_starts();
    let outcome = World::new(604_898, faults, Plant::None).play();
    assert!(outcome.violations.is_empty(), "{:?}", outcome.violations.first());
}

#[test]
fn seeds_with_empty_starts_that_still_break_a_promise_hold() {
    let few = Faults::all().with_empty_starts();
    let many = Faults::dense().with_releases().with_empty_starts();
    let seeds = BROKEN_SEEDS_OF_FEW_FAULTS_WITH_EMPTY_STARTS.map(|seed| (seed, few));
    let others = BROKEN_SEEDS_WITH_EMPTY_STARTS.map(|seed| (seed, many));
    let broken = seeds.into_iter().chain(others).filter_map(|(seed, faults)| {
        let outcome = World::new(seed, faults, Plant::None).play();
        Some((seed, outcome.violations.into_iter().next()?))
    });
    let broken: Vec<_> = broken.collect();
    assert!(broken.is_empty(), "{broken:#?}");
}

#[test]
fn seeds_that_broke_a_promise_while_nodes_came_hold() {
    let faults = Faults::all().with_nodes_that_come();
    for seed in MENDED_SEEDS_OF_FEW_FAULTS_WHILE_NODES_COME {
        let outcome = World::new(seed, faults, Plant::None).play();
        assert!(outcome.violations.is_empty(), "seed {seed}: {:?}", outcome.violations.first());
    }
}

/// Callers lose commits that were acknowledged. i-1 was stopped at 2,955 ms, and checked at 3,065 ms; i-2 was promoted, to
/// lead from 3,375 ms on. At 3,309 ms i-1 started again, within a moment and with its log, but without knowing that it had been
/// stopped; it received from the old primary i-0, which nobody but a node out of reach of the store could reach, and
/// i-0 answered eight commits of that node at once. i-2 lacks them.
///
/// All that was to be known was known, and asked: no order reaches the old primary, and the promotion was under way.
#[test]
fn a_replica_that_forgets_that_it_was_stopped_while_another_is_promoted_loses_no_commit() {
    let faults = Faults::all().with_nodes_that_come();
    let outcome = World::new(1_226_659, faults, Plant::None).play();
    assert!(outcome.violations.is_empty(), "{:?}", outcome.violations.first());
}

/// Callers lose a commit that was acknowledged. i-0 was checked at 1,778 ms, started again with nothing at 1,788 ms without
/// having been away (two crashes overlap in this plan), and the platform promoted it: it led from 2,091 ms on with no
/// commits, until i-1, which held all 60, led at 2,222 ms. No order names the start that is to be promoted.
#[test]
fn an_instance_that_loses_its_log_at_the_moment_of_its_promotion_loses_no_commit() {
    let faults = Faults::all().with_empty_starts();
    let outcome = World::new(47_317_907, faults, Plant::None).play();
    assert!(outcome.violations.is_empty(), "{:?}", outcome.violations.first());
}

/// An instance loses its log and runs again sooner than a promotion takes.
#[test]
fn no_seed_breaks_a_promise_while_an_instance_loses_its_log_for_a_moment() {
    holds(Faults::all().with_quick_empty_starts());
}

#[test]
fn no_seed_with_many_faults_breaks_a_promise_while_an_instance_loses_its_log_for_a_moment() {
    holds(Faults::dense().with_releases().with_quick_empty_starts());
}

/// A replica is replaced as planned while the primary is, and nodes hear of that from whoever does it.
#[test]
fn no_seed_breaks_a_promise_while_replicas_leave() {
    holds(Faults::all().with_replicas_that_leave().with_word_of_holders());
}

#[test]
fn no_seed_with_many_faults_breaks_a_promise_while_replicas_leave() {
    let many = Faults::dense().with_releases().with_empty_starts();
    holds(many.with_replicas_that_leave().with_word_of_holders());
}

/// A node that does not reach the store hears of a replacement from nobody.
#[test]
fn replacements_that_nodes_are_not_told_of_are_caught() {
    let faults = Faults::all().with_replicas_that_leave();
    is_caught_with(faults, Plant::None, |found| matches!(found, Violation::LostCommit { .. }));
}

/// An old primary's answer counts though a replacement has been under way for long.
#[test]
fn late_answers_of_old_primaries_are_caught() {
    let faults = Faults::all().with_replicas_that_leave().with_word_of_holders();
    is_caught_with(faults, Plant::LateAnswers, |found| {
        matches!(found, Violation::LostCommit { .. })
    });
}

/// Guards the story of a replica that was replaced as planned while a listed node did not reach the store.
#[test]
fn plays_around_the_end_of_a_replica_hold_where_nodes_are_told_of_replacements() {
    let faults = Faults::all().with_replicas_that_leave().with_word_of_holders();
    holds_around(&[322], faults);
}

/// A node that nobody waits for yet passes on what a primary answers, without the word of replicas.
#[test]
fn commits_that_nobody_confirms_at_a_node_that_is_not_listed_are_caught() {
    let faults = Faults::all().with_nodes_that_come();
    let plays = play_worlds(0..PART, |play| {
        World::around(1_226_659, play, faults).with_planted(Plant::Unconfirmed)
    });
    let found = violations(&plays);
    let lost = |(_, found): &(u64, Violation)| matches!(found, Violation::LostCommit { .. });
    assert!(found.iter().any(lost), "it is not caught");
}

/// A replica leaves as planned while another one is being promoted: its successor at its address knows of no stop.
#[test]
fn plays_around_the_end_of_a_stopped_replica_lose_no_commit() {
    holds_around(&[1_226_659], Faults::all().with_nodes_that_come());
}

/// An old primary comes back when the one promoted after it has lost its log.
#[test]
fn plays_around_the_return_of_an_old_primary_hold() {
    let faults = Faults::dense().with_releases().with_empty_starts();
    hold_in_plays(plays_around(PLAYS_AROUND_A_RARE_MOMENT), &[15_611], faults);
}

/// An instance loses its log between its last check and its promotion.
#[test]
fn plays_around_a_loss_at_the_moment_of_promotion_lose_no_commit() {
    holds_around(&[47_317_907], Faults::all().with_empty_starts());
    holds_around(&[19_308], Faults::dense().with_releases().with_empty_starts());
}

#[test]
fn plays_around_seeds_that_once_broke_a_promise_hold() {
    let few = Faults::all();
    let many = Faults::dense();
    let released = many.with_releases();
    let seeds_of =
        |listed: &[(u64, &str)]| listed.iter().map(|(seed, _)| *seed).collect::<Vec<_>>();
    holds_around(&seeds_of(&MENDED_SEEDS_OF_FEW_FAULTS), few);
    holds_around(&seeds_of(&MENDED_SEEDS), many);
    holds_around(&seeds_of(&MENDED_SEEDS_WITH_RELEASES), released);
    let emptied = seeds_of(&MENDED_SEEDS_OF_FEW_FAULTS_WITH_EMPTY_STARTS);
    holds_around(&emptied, few.with_empty_starts());
    holds_around(&[604_898, 14_008], few.with_empty_starts());
    holds_around(&seeds_of(&MENDED_SEEDS_WITH_EMPTY_STARTS), released.with_empty_starts());
    holds_around(&[5_976, 9_805, 15_444, 17_708], released.with_empty_starts());
    holds_around(&MENDED_SEEDS_OF_FEW_FAULTS_WHILE_NODES_COME, few.with_nodes_that_come());
    let returned = seeds_of(&MENDED_SEEDS_WITH_A_RETURN);
    holds_around(&returned, released.with_empty_starts().with_put_back());
}

/// How many plays around a seed there are: `AROUND=1500` plays more than CI does.
fn plays_around(ordinary: u64) -> u64 {
    std::env::var("AROUND").ok().and_then(|text| text.parse().ok()).unwrap_or(ordinary)
}

/// Plays around seeds that once broke a promise; none may break one.
fn holds_around(seeds: &[u64], faults: Faults) {
    hold_in_plays(plays_around(PLAYS_AROUND), seeds, faults);
}

fn hold_in_plays(plays: u64, seeds: &[u64], faults: Faults) {
    let mut broken = Vec::new();
    for seed in seeds {
        let outcomes = play_worlds(0..plays, |play| World::around(*seed, play, faults));
        let found = violations(&outcomes);
        let plays: BTreeSet<u64> = found.iter().map(|(play, _)| *play).collect();
        println!("around seed {seed}: {} of {} plays break", plays.len(), outcomes.len());
        broken.extend(found.into_iter().next().map(|found| (*seed, plays.len(), found)));
    }
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Prints the story of one seed: `TRACE_SEED=14008 TRACE_KIND=few_empty cargo test --release -p
/// kestrellock-core --test replacement story -- --ignored --nocapture`; TRACE_PLAY names a play around it.
#[test]
#[ignore = "a tool: prints the story of the seed that the environment names"]
fn story_of_one_seed() {
    let seed = std::env::var("TRACE_SEED").expect("TRACE_SEED names a seed");
    let seed = seed.parse().expect("a seed is a number");
    let kind = std::env::var("TRACE_KIND").expect("TRACE_KIND names the kind of faults");
    let faults = match kind.as_str() {
        "few" => Faults::all(),
        "many" => Faults::dense(),
        "few_empty" => Faults::all().with_empty_starts(),
        "many_empty" => Faults::dense().with_releases().with_empty_starts(),
        "many_silent" => Faults::dense().with_releases().with_silences(),
        "few_come" => Faults::all().with_nodes_that_come(),
        "many_come" => Faults::dense().with_releases().with_empty_starts().with_nodes_that_come(),
        "few_back" => Faults::all().with_put_back(),
        "many_back" => Faults::dense().with_releases().with_put_back(),
        "many_empty_back" => Faults::dense().with_releases().with_empty_starts().with_put_back(),
        "few_all_back" => Faults::all().with_empty_starts().with_start_of_all().with_put_back(),
        "few_quick" => Faults::all().with_quick_empty_starts(),
        "many_quick" => Faults::dense().with_releases().with_quick_empty_starts(),
        "few_replica" => Faults::all().with_replicas_that_leave().with_word_of_holders(),
        "few_replica_untold" => Faults::all().with_replicas_that_leave(),
        "few_all" => Faults::all().with_empty_starts().with_start_of_all(),
        "many_all" => Faults::dense().with_releases().with_empty_starts().with_start_of_all(),
        other => panic!("no kind of faults is called {other}"),
    };
    let play = std::env::var("TRACE_PLAY").ok().and_then(|text| text.parse().ok());
    let world = match play {
        Some(play) => World::around(seed, play, faults),
        None => World::new(seed, faults, Plant::None),
    };
    let (outcome, lines) = world.traced().play_and_tell();
    println!("{:#?}\n{}\n{:?}", outcome.plan, lines.join("\n"), outcome.violations);
}

#[test]
fn trouble_of_single_nodes_and_replicas_moves_no_primary() {
    let outcomes = play(seeds(), Faults::without_primaries(), Plant::None);
    let moved: Vec<_> = outcomes
        .iter()
        .filter(|(_, outcome)| outcome.promotions > 0)
        .map(|(seed, outcome)| (*seed, outcome.plan.clone()))
        .collect();
    let found = violations(&outcomes);
    println!("{} seeds of {} ms each: {} moved", outcomes.len(), world::LENGTH_MS, moved.len());
    assert!(found.is_empty(), "{}", describe(&outcomes));
    assert!(moved.is_empty(), "primaries were replaced without need: {moved:#?}");
}

/// A planted fault and a violation that shows it.
fn is_caught(plant: Plant, shows: impl Fn(&Violation) -> bool) {
    is_caught_with(Faults::dense(), plant, shows);
}

fn is_caught_with(faults: Faults, plant: Plant, shows: impl Fn(&Violation) -> bool) {
    let parts = (FIRST_SEED..FIRST_SEED + PLANTED_SEEDS).step_by(PART as usize);
    let caught = parts.into_iter().find_map(|first| {
        let outcomes = play(first..first + PART, faults, plant);
        let found = violations(&outcomes);
        found.into_iter().find(|(_, violation)| shows(violation))
    });
    println!("{plant:?}: {caught:?}");
    assert!(caught.is_some(), "{plant:?} is not caught");
}

#[test]
fn reads_without_evidence_are_caught() {
    is_caught(Plant::EvidenceDropped, |found| matches!(found, Violation::StaleRead { .. }));
}

/// A replica that a promotion released without its hearing of it says what it said before. Connections go silent
/// besides: an old primary is soon told to step down by whoever knows of the newer term, so that the fault shows
/// where that is not heard.
#[test]
fn the_word_of_one_replica_without_a_look_at_the_store_is_caught() {
    let faults = Faults::dense().with_releases().with_silences();
    is_caught_with(faults, Plant::NoLook, |found| matches!(found, Violation::StaleRead { .. }));
}

#[test]
fn evidence_from_answers_that_wait_for_no_replica_is_caught() {
    is_caught(Plant::AnswersShow, |found| matches!(found, Violation::StaleRead { .. }));
}

#[test]
fn a_promotion_that_does_not_wait_is_caught() {
    is_caught(Plant::NoLapse, |found| matches!(found, Violation::StaleRead { .. }));
}

#[test]
fn the_choice_of_the_wrong_replica_is_caught() {
    is_caught(Plant::WrongReplica, |found| matches!(found, Violation::LostCommit { .. }));
}

#[test]
fn a_promotion_without_stopping_replicas_is_caught() {
    is_caught(Plant::NotStopped, |found| {
        matches!(found, Violation::LostCommit { .. } | Violation::TwoPrimaries { .. })
    });
}

#[test]
fn a_fence_that_is_used_again_is_caught() {
    is_caught(Plant::FenceReused, |found| matches!(found, Violation::Fence { .. }));
}

#[test]
fn a_replica_that_stays_stopped_is_caught() {
    is_caught(Plant::StopForgotten, |found| matches!(found, Violation::Stuck { .. }));
}

#[test]
fn a_write_in_doubt_that_is_called_not_run_is_caught() {
    is_caught(Plant::DoubtPromised, |found| matches!(found, Violation::FalsePromise { .. }));
}
