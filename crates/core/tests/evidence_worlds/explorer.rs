//! Breadth-first search over all sequences of actions, so that the first violation found has the
//! shortest sequence.

use std::collections::HashSet;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::thread;
use std::time::{Duration, Instant};

use crate::model::{Action, MAX_AGE_TICKS, Scope, Violation, World};
use crate::node::TICK;

/// Number of threads that expand states.
const THREADS: usize = 2;

/// What the search looks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Goal {
    /// A broken promise.
    Violation,
    /// A state in which the observed node has acknowledged a commit.
    Acknowledgement,
    /// A state in which the observed node serves a statement that arrived right before the first time
    /// step in which it may send a write.
    Read,
}

/// A state that the search looked for.
#[derive(Clone, Debug)]
pub struct Found {
    /// The broken promise, if the search looked for one.
    pub violation: Option<Violation>,
    /// What was believed.
    pub belief: String,
    /// The actions that lead there.
    pub trace: Vec<Action>,
}

/// The result of a search.
#[derive(Clone, Debug)]
pub struct Search {
    /// Number of distinct states.
    pub states: usize,
    /// Length of the longest explored sequences of actions.
    pub depth: usize,
    /// Whether there are no states beyond that depth.
    pub is_complete: bool,
    /// How long it took.
    pub elapsed: Duration,
    /// The first state that was looked for.
    pub found: Option<Found>,
}

/// How a state was reached.
#[derive(Clone, Copy, Debug)]
struct Step {
    parent: usize,
    action: Action,
}

/// A state of the last level, with its index.
type Indexed = (usize, World);

/// A state that follows from one of the last level.
struct Candidate {
    key: u128,
    step: Step,
    world: World,
}

/// Explores all sequences of at most `depth` actions, until the goal is found.
pub fn explore(scope: Scope, depth: usize, goal: Goal) -> Search {
    let began = Instant::now();
    let first = World::new(scope);
    let mut visited = HashSet::from([key(&first)]);
    let mut steps: Vec<Option<Step>> = vec![None];
    let mut level: Vec<Indexed> = vec![(0, first)];
    let mut reached = 0;
    let mut found = None;
    while reached < depth && !level.is_empty() && found.is_none() {
        reached += 1;
        let mut next = Vec::new();
        for candidate in expand(&level, &visited) {
            if !visited.insert(candidate.key) {
                continue;
            }
            steps.push(Some(candidate.step));
            let index = steps.len() - 1;
            if found.is_none() {
                found = is_goal(&candidate.world, goal).map(|(violation, belief)| Found {
                    violation,
                    belief,
                    trace: trace(&steps, index),
                });
            }
            next.push((index, candidate.world));
        }
        level = next;
    }
    Search {
        states: steps.len(),
        depth: reached,
        is_complete: level.is_empty(),
        elapsed: began.elapsed(),
        found,
    }
}

fn is_goal(world: &World, goal: Goal) -> Option<(Option<Violation>, String)> {
    match goal {
        Goal::Violation => world.violation().map(|(violation, belief)| (Some(violation), belief)),
        Goal::Acknowledgement => world.has_acknowledged().then(|| (None, String::new())),
        Goal::Read => world.serves_read().then(|| (None, String::new())),
    }
}

/// The states that follow from those of a level, in a fixed order.
fn expand(level: &[Indexed], visited: &HashSet<u128>) -> Vec<Candidate> {
    let part = level.len().div_ceil(THREADS).max(1);
    thread::scope(|scope| {
        let workers: Vec<_> = level
            .chunks(part)
            .map(|states| scope.spawn(move || expand_part(states, visited)))
            .collect();
        let results = workers.into_iter();
        results.flat_map(|worker| worker.join().expect("a worker panicked")).collect()
    })
}

fn expand_part(states: &[Indexed], visited: &HashSet<u128>) -> Vec<Candidate> {
    let mut own = HashSet::new();
    let mut candidates = Vec::new();
    for (parent, world) in states {
        for action in world.actions() {
            let world = world.after(action);
            let key = key(&world);
            if !visited.contains(&key) && own.insert(key) {
                let step = Step { parent: *parent, action };
                candidates.push(Candidate { key, step, world });
            }
        }
    }
    candidates
}

fn trace(steps: &[Option<Step>], index: usize) -> Vec<Action> {
    let mut actions = Vec::new();
    let mut index = index;
    while let Some(step) = steps[index] {
        actions.push(step.action);
        index = step.parent;
    }
    actions.reverse();
    actions
}

fn key(world: &World) -> u128 {
    let mut text = String::with_capacity(2_048);
    world.render(&mut text);
    let hash = |seed: u8| {
        let mut hasher = DefaultHasher::new();
        (seed, &text).hash(&mut hasher);
        u128::from(hasher.finish())
    };
    hash(0) << 64 | hash(1)
}

/// Appends `debug` with each point in time replaced by its age at `now` in milliseconds.
pub fn push_relative(debug: &str, now: Instant, text: &mut String) {
    let max_age = i64::from(MAX_AGE_TICKS) * TICK.as_millis() as i64;
    let now = milliseconds(&format!("{now:?}"));
    let mut parts = debug.split("Instant { ");
    text.push_str(parts.next().unwrap_or_default());
    for part in parts {
        let (time, rest) = part.split_once('}').unwrap_or((part, ""));
        let age = (now - milliseconds(time)).min(max_age);
        text.push_str(&age.to_string());
        text.push_str(rest);
    }
}

/// The milliseconds in the debug text of a point in time, which the standard library prints as
/// seconds and nanoseconds.
fn milliseconds(time: &str) -> i64 {
    let number = |name: &str| {
        let (_, rest) = time.split_once(name).expect("the text of a time has this field");
        let end = rest.find(|letter: char| !letter.is_ascii_digit()).unwrap_or(rest.len());
        rest[..end].parse::<i64>().expect("the field is a number")
    };
    number("tv_sec: ") * 1_000 + number("tv_nsec: ") / 1_000_000
}
