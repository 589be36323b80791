//! Plays runs, a few at a time.

use std::sync::{Condvar, Mutex};

use kestrellock_lab::processes::late_promotion::{Outcome, Scenario, run};

/// Maximum number of runs at the same time. Each has at least three nodes.
const MAX_RUNS: usize = 3;

/// Limits the number of runs at the same time.
static RUNNING: Mutex<usize> = Mutex::new(0);
static RUN_ENDED: Condvar = Condvar::new();

/// One of the runs at the same time.
struct RunSlot;

impl RunSlot {
    fn take() -> Self {
        let running = RUNNING.lock().expect("no holder of the lock panics");
        let running = RUN_ENDED.wait_while(running, |running| *running >= MAX_RUNS);
        *running.expect("no holder of the lock panics") += 1;
        Self
    }
}

impl Drop for RunSlot {
    fn drop(&mut self) {
        *RUNNING.lock().expect("no holder of the lock panics") -= 1;
        RUN_ENDED.notify_one();
    }
}

fn play(scenario: &Scenario) -> Outcome {
    let _slot = RunSlot::take();
    let outcome = run(scenario).unwrap_or_else(|error| panic!("the run failed: {error}"));
    println!("{}", outcome.journal);
    outcome
}

/// Plays a run whose rules must hold.
pub fn assert_rules_hold(scenario: &Scenario) -> Outcome {
    let outcome = play(scenario);
    let violations: Vec<String> = outcome.violations.iter().map(ToString::to_string).collect();
    assert!(violations.is_empty(), "{}", violations.join("\n"));
    outcome
}

fn number(variable: &str, default: u64) -> u64 {
    std::env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Plays a run for each of `SEEDS` seeds from `FIRST_SEED`. Each takes up to half a minute.
pub fn assert_rules_hold_for_seeds(scenario: impl Fn(u64) -> Scenario + Sync) {
    let first = number("FIRST_SEED", 1);
    let seeds: Vec<u64> = (first..first + number("SEEDS", 6)).collect();
    let failures = Mutex::new(Vec::new());
    let next = Mutex::new(seeds.into_iter());
    let take = || next.lock().expect("no holder of the lock panics").next();
    std::thread::scope(|scope| {
        for _ in 0..MAX_RUNS {
            scope.spawn(|| {
                while let Some(seed) = take() {
                    let failure = play_seed(&scenario(seed));
                    failures.lock().expect("no holder of the lock panics").extend(failure);
                }
            });
        }
    });
    let failures = failures.into_inner().expect("no holder of the lock panics");
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Plays a run. Returns what failed in it.
fn play_seed(scenario: &Scenario) -> Option<String> {
    let _slot = RunSlot::take();
    let failure = match run(scenario) {
        Ok(outcome) => {
            println!("{scenario:?}\n{}\n", outcome.summary);
            let broken: Vec<String> = outcome.violations.iter().map(ToString::to_string).collect();
            (!broken.is_empty()).then(|| broken.join("; "))
        }
        Err(error) => Some(format!("the run failed: {error}")),
    };
    failure.map(|failure| format!("{}: {failure}", scenario.name))
}
