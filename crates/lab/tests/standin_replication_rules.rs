//! The rules of replication, driven step by step on a clock of the test's own.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use kestrellock_core::ids::ZoneName;
use kestrellock_lab::standin::group::events::{EventLog, GroupEventKind, Signal};
use kestrellock_lab::standin::group::instance::{Instance, InstanceConfig};
use kestrellock_lab::standin::group::lag::{Lag, LagSource};
use kestrellock_lab::standin::group::options::GroupOptions;
use kestrellock_lab::standin::group::replication::Replicator;
use kestrellock_lab::standin::group::service::{ServiceQueue, ServiceTimes};
use kestrellock_lab::standin::group::tables::Change;
use proptest::prelude::*;

const ELECTION_TIMEOUT: Duration = Duration::from_secs(10);
/// Longer than any member waits before it votes.
const LONG: Duration = Duration::from_secs(13);
const SHORT: Duration = Duration::from_secs(1);
const HEALING_STEPS: usize = 8;

/// Something that happens to a group.
#[derive(Clone, Copy, Debug)]
enum Step {
    Wait(Duration),
    Write(usize),
    Kill(usize),
    Restart(usize),
    Pause(usize),
    Resume(usize),
    Isolate(usize),
    Rejoin(usize),
    StopReceiving(usize),
    Receive(usize),
}

/// A record and the members that have reported it flushed under its term.
#[derive(Debug)]
struct Written {
    term: u32,
    end: u64,
    reported: BTreeSet<usize>,
}

struct Group {
    instances: Vec<Arc<Instance>>,
    coordinator: Replicator,
    events: Arc<EventLog>,
    now: Instant,
    written: Vec<Written>,
    led: Vec<Option<usize>>,
}

impl Group {
    fn new(size: usize, seed: u64) -> Self {
        let events = Arc::new(EventLog::default());
        let signal = Arc::new(Signal::default());
        let instances: Vec<Arc<Instance>> = (0..size)
            .map(|index| {
                Arc::new(Instance::new(InstanceConfig {
                    index,
                    zone: ZoneName::new(format!("zone-{index}")),
                    service: ServiceQueue::new(1, ServiceTimes::default(), seed),
                    connection_limit: 1,
                    connection_setup: Duration::ZERO,
                    lag: LagSource::new(Lag::default(), seed),
                    events: events.clone(),
                    signal: signal.clone(),
                }))
            })
            .collect();
        let options = GroupOptions {
            election_timeout: ELECTION_TIMEOUT,
            step_down_delay: Duration::ZERO,
            seed,
            ..GroupOptions::default()
        };
        let mut coordinator = Replicator::new(&instances, options, events.clone(), signal);
        let now = Instant::now() + LONG;
        coordinator.tick(now);
        Self { instances, coordinator, events, now, written: Vec::new(), led: Vec::new() }
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Wait(time) => self.now += time,
            Step::Write(index) => self.write(index),
            Step::Kill(index) => self.instances[index].kill(),
            Step::Restart(index) if !self.instances[index].is_alive() => {
                self.instances[index].restart();
            }
            Step::Restart(_) => {}
            Step::Pause(index) => self.instances[index].set_paused(true),
            Step::Resume(index) => self.instances[index].set_paused(false),
            Step::Isolate(index) => self.instances[index].set_isolated(true),
            Step::Rejoin(index) => self.instances[index].set_isolated(false),
            Step::StopReceiving(index) => self.instances[index].set_receiving(false),
            Step::Receive(index) => self.instances[index].set_receiving(true),
        }
        if !matches!(step, Step::Write(_)) {
            self.coordinator.tick(self.now);
        }
        self.observe();
    }

    /// Commits at an instance if it believes that it leads.
    fn write(&mut self, index: usize) {
        let instance = self.instances[index].clone();
        let mut state = instance.state();
        if !instance.is_running() || !state.primary {
            return;
        }
        instance.append(&mut state, vec![Change::Drop { table: "none".into() }]);
        let reported = BTreeSet::new();
        self.written.push(Written { term: state.term, end: state.flushed(), reported });
    }

    /// Takes in what every member would say of itself now.
    fn observe(&mut self) {
        for instance in &self.instances {
            let state = instance.state();
            for written in &mut self.written {
                if state.term == written.term && state.flushed() >= written.end {
                    written.reported.insert(instance.index);
                }
            }
            if state.primary {
                let term = state.term as usize;
                self.led.resize(self.led.len().max(term + 1), None);
                let leader = *self.led[term].get_or_insert(instance.index);
                assert_eq!(leader, instance.index, "two primaries at term {term}");
            }
        }
    }

    fn log(&self, index: usize) -> Vec<(u32, u64)> {
        let state = self.instances[index].state();
        state.log.iter().map(|entry| (entry.record.term, entry.record.end)).collect()
    }

    fn heal(&mut self) {
        for index in 0..self.instances.len() {
            for step in [
                Step::Restart(index),
                Step::Resume(index),
                Step::Rejoin(index),
                Step::Receive(index),
            ] {
                self.take(step);
            }
        }
        for _ in 0..HEALING_STEPS {
            self.take(Step::Wait(LONG));
        }
    }

    fn primary(&self) -> Option<usize> {
        let leads = |instance: &&Arc<Instance>| instance.is_running() && instance.is_primary();
        let found = self.instances.iter().filter(leads).max_by_key(|found| found.state().term);
        found.map(|instance| instance.index)
    }

    fn elections(&self) -> Vec<usize> {
        let elected = |kind| match kind {
            GroupEventKind::Elected { index, .. } => Some(index),
            _ => None,
        };
        self.events.all().into_iter().filter_map(|event| elected(event.kind)).collect()
    }
}

fn run(size: usize, seed: u64, steps: &[Step]) -> Group {
    let mut group = Group::new(size, seed);
    steps.iter().for_each(|step| group.take(*step));
    group
}

/// A case and what must come of it.
struct Case {
    name: &'static str,
    steps: &'static [Step],
    primary: Option<usize>,
    elections: usize,
    /// Records in the primary's log that writes put there.
    kept: usize,
}

#[test]
fn elections_and_logs_follow_the_rules() {
    use Step::{
        Isolate, Kill, Pause, Receive, Rejoin, Restart, Resume, StopReceiving, Wait, Write,
    };
    let cases = [
        Case {
            name: "nothing happens",
            steps: &[Write(0), Wait(LONG), Wait(LONG)],
            primary: Some(0),
            elections: 0,
            kept: 1,
        },
        Case {
            name: "a short pause",
            steps: &[Pause(0), Wait(SHORT), Resume(0), Wait(LONG)],
            primary: Some(0),
            elections: 0,
            kept: 0,
        },
        Case {
            name: "flapping",
            steps: &[
                Isolate(0),
                Wait(SHORT),
                Rejoin(0),
                Wait(SHORT),
                Isolate(0),
                Wait(SHORT),
                Rejoin(0),
                Wait(LONG),
            ],
            primary: Some(0),
            elections: 0,
            kept: 0,
        },
        Case {
            name: "a replica dies",
            steps: &[Kill(2), Wait(LONG), Write(0), Wait(LONG)],
            primary: Some(0),
            elections: 0,
            kept: 1,
        },
        Case {
            name: "the only replica up to date wins",
            steps: &[StopReceiving(1), Write(0), Wait(SHORT), Kill(0), Wait(LONG)],
            primary: Some(2),
            elections: 1,
            kept: 1,
        },
        Case {
            name: "no majority, no primary",
            steps: &[Kill(0), Kill(1), Wait(LONG), Wait(LONG)],
            primary: None,
            elections: 0,
            kept: 0,
        },
        Case {
            name: "a majority again",
            steps: &[Kill(0), Kill(1), Wait(LONG), Restart(1), Wait(LONG)],
            primary: Some(1),
            elections: 1,
            kept: 0,
        },
        Case {
            name: "killed twice",
            steps: &[
                Kill(0),
                Wait(LONG),
                Restart(0),
                Wait(SHORT),
                Kill(1),
                Wait(LONG),
                Restart(1),
                Wait(SHORT),
            ],
            primary: Some(0),
            elections: 2,
            kept: 0,
        },
        Case {
            name: "a write of a cut-off primary is dropped",
            steps: &[Isolate(0), Write(0), Wait(LONG), Rejoin(0), Wait(SHORT), Wait(SHORT)],
            primary: Some(1),
            elections: 1,
            kept: 0,
        },
        Case {
            name: "a cut-off primary writes until it hears",
            steps: &[
                Isolate(0),
                Wait(LONG),
                Write(0),
                Write(1),
                Rejoin(0),
                Wait(SHORT),
                Wait(SHORT),
            ],
            primary: Some(1),
            elections: 1,
            kept: 1,
        },
        Case {
            name: "a paused primary resumes",
            steps: &[Pause(0), Wait(LONG), Resume(0), Wait(SHORT), Write(0), Wait(SHORT)],
            primary: Some(1),
            elections: 1,
            kept: 0,
        },
        Case {
            name: "a killed primary returns",
            steps: &[Write(0), Wait(SHORT), Kill(0), Wait(LONG), Write(1), Restart(0), Wait(SHORT)],
            primary: Some(1),
            elections: 1,
            kept: 2,
        },
        Case {
            name: "the winner dies at once",
            steps: &[Kill(0), Wait(LONG), Kill(1), Restart(0), Wait(LONG)],
            primary: Some(0),
            elections: 2,
            kept: 0,
        },
        Case {
            name: "a replica that did not receive catches up",
            steps: &[
                StopReceiving(2),
                Write(0),
                Wait(SHORT),
                Receive(2),
                Wait(SHORT),
                Kill(0),
                Wait(LONG),
            ],
            primary: Some(1),
            elections: 1,
            kept: 1,
        },
    ];
    for case in cases {
        let group = run(3, 7, case.steps);
        assert_eq!(group.primary(), case.primary, "primary: {}", case.name);
        assert_eq!(group.elections().len(), case.elections, "elections: {}", case.name);
        if let Some(primary) = case.primary {
            let log = group.log(primary);
            let kept =
                group.written.iter().filter(|written| log.contains(&(written.term, written.end)));
            assert_eq!(kept.count(), case.kept, "kept: {}", case.name);
        }
    }
}

#[test]
fn a_replaced_primary_has_the_log_of_its_successor() {
    let mut group = run(3, 1, &[Step::Write(0), Step::Wait(SHORT), Step::Isolate(0)]);
    group.take(Step::Write(0));
    group.take(Step::Wait(LONG));
    let successor = group.primary_other_than(0);
    group.take(Step::Write(successor));
    group.heal();
    assert_eq!(group.log(0), group.log(successor));
    assert!(!group.instances[0].is_primary());
}

impl Group {
    fn primary_other_than(&self, index: usize) -> usize {
        let other = self.instances.iter().find(|other| other.index != index && other.is_primary());
        other.expect("another primary").index
    }
}

fn step(size: usize) -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => Just(Step::Wait(SHORT)),
        3 => Just(Step::Wait(LONG)),
        6 => (0..size).prop_map(Step::Write),
        1 => (0..size).prop_map(Step::Kill),
        2 => (0..size).prop_map(Step::Restart),
        1 => (0..size).prop_map(Step::Pause),
        2 => (0..size).prop_map(Step::Resume),
        1 => (0..size).prop_map(Step::Isolate),
        2 => (0..size).prop_map(Step::Rejoin),
        1 => (0..size).prop_map(Step::StopReceiving),
        2 => (0..size).prop_map(Step::Receive),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: proptest::test_runner::RngSeed::Fixed(42), ..ProptestConfig::default() })]

    /// What a majority reported flushed under its term is in every log in the end.
    #[test]
    fn what_a_majority_flushed_is_never_lost(
        size in prop_oneof![Just(3_usize), Just(5)],
        seed in 0..1000_u64,
        steps in prop::collection::vec(step(5), 1..80),
    ) {
        let mut group = Group::new(size, seed);
        for step in steps {
            group.take(within(step, size));
        }
        group.heal();
        let primary = group.primary();
        prop_assert!(primary.is_some(), "a healed group has a primary");
        let log = group.log(primary.unwrap_or(0));
        for index in 0..size {
            prop_assert_eq!(&group.log(index), &log, "log of {}", index);
        }
        for written in group.written.iter().filter(|written| written.reported.len() > size / 2) {
            prop_assert!(log.contains(&(written.term, written.end)), "{:?} was lost", written);
        }
    }
}

/// The step with its instance within a smaller group.
fn within(step: Step, size: usize) -> Step {
    match step {
        Step::Wait(time) => Step::Wait(time),
        Step::Write(index) => Step::Write(index % size),
        Step::Kill(index) => Step::Kill(index % size),
        Step::Restart(index) => Step::Restart(index % size),
        Step::Pause(index) => Step::Pause(index % size),
        Step::Resume(index) => Step::Resume(index % size),
        Step::Isolate(index) => Step::Isolate(index % size),
        Step::Rejoin(index) => Step::Rejoin(index % size),
        Step::StopReceiving(index) => Step::StopReceiving(index % size),
        Step::Receive(index) => Step::Receive(index % size),
    }
}
