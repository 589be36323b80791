//! Read-your-writes over interleavings of writes, replication, elections, partitions and probes.
//!
//! A model of a group of three instances replicates a log, elects by majority, and keeps an old
//! primary that does not know of its replacement. Sessions write, read with the bound they carry,
//! and connect without a bound. Every instance that satisfies a session's bound must hold the
//! writes that the session must see.

use std::collections::BTreeSet;

use kestrellock_core::confirmation::{
    Confirmation, ConfirmationRule, FlushReport, ProbeNumber, Verdict,
};
use kestrellock_core::current_position::CurrentPositionQuery;
use kestrellock_core::ids::InstanceName;
use kestrellock_core::position::{LogOffset, Position, Term};
use kestrellock_core::routing::Role;
use proptest::prelude::*;

const INSTANCES: usize = 3;
const MAJORITY: usize = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Record {
    term: u32,
    write: usize,
}

#[derive(Clone, Debug)]
struct Instance {
    name: InstanceName,
    is_primary: bool,
    /// Timeline that it follows and reports.
    term: u32,
    /// Highest term it has voted for. It accepts no records of a lower term.
    promised: u32,
    log: Vec<Record>,
    applied: usize,
}

impl Instance {
    fn position(&self, offset: usize) -> Position {
        Position { term: Term(self.term), offset: LogOffset(offset as u64) }
    }

    fn applied_position(&self) -> Position {
        self.position(self.applied)
    }

    fn role(&self) -> Role {
        if self.is_primary { Role::Primary } else { Role::Replica }
    }
}

#[derive(Clone, Debug)]
enum Step {
    Write { instance: usize },
    Ship { from: usize, to: usize, records: usize },
    Apply { instance: usize, records: usize },
    Elect { candidate: usize, voter: usize },
    Probe { instance: usize },
    Connect,
}

fn step() -> impl Strategy<Value = Step> {
    let instance = 0..INSTANCES;
    prop_oneof![
        4 => instance.clone().prop_map(|instance| Step::Write { instance }),
        6 => (instance.clone(), instance.clone(), 1..4_usize)
            .prop_map(|(from, to, records)| Step::Ship { from, to, records }),
        3 => (instance.clone(), 1..4_usize)
            .prop_map(|(instance, records)| Step::Apply { instance, records }),
        1 => (instance.clone(), instance.clone())
            .prop_map(|(candidate, voter)| Step::Elect { candidate, voter }),
        6 => instance.prop_map(|instance| Step::Probe { instance }),
        2 => Just(Step::Connect),
    ]
}

struct PendingWrite {
    write: usize,
    confirmation: Confirmation,
}

struct ConnectingSession {
    must_see: BTreeSet<usize>,
    query: CurrentPositionQuery,
}

struct Session {
    must_see: BTreeSet<usize>,
    bound: Position,
}

struct World {
    instances: Vec<Instance>,
    last_probe: ProbeNumber,
    writes: usize,
    pending: Vec<PendingWrite>,
    connecting: Vec<ConnectingSession>,
    acknowledged: BTreeSet<usize>,
    /// The session that does all writes and carries its token.
    writer: Session,
    sessions: Vec<Session>,
}

impl World {
    fn new() -> Self {
        let instances = (0..INSTANCES)
            .map(|index| Instance {
                name: InstanceName::new(format!("i{index}")),
                is_primary: index == 0,
                term: 1,
                promised: 1,
                log: Vec::new(),
                applied: 0,
            })
            .collect();
        Self {
            instances,
            last_probe: ProbeNumber::default(),
            writes: 0,
            pending: Vec::new(),
            connecting: Vec::new(),
            acknowledged: BTreeSet::new(),
            writer: Session { must_see: BTreeSet::new(), bound: Position::default() },
            sessions: Vec::new(),
        }
    }

    fn run(&mut self, step: &Step) {
        match *step {
            Step::Write { instance } => self.write(instance),
            Step::Ship { from, to, records } => self.ship(from, to, records),
            Step::Apply { instance, records } => {
                let instance = &mut self.instances[instance];
                instance.applied = (instance.applied + records).min(instance.log.len());
            }
            Step::Elect { candidate, voter } => self.elect(candidate, voter),
            Step::Probe { instance } => self.probe(instance),
            Step::Connect => self.connecting.push(ConnectingSession {
                must_see: self.acknowledged.clone(),
                query: CurrentPositionQuery::new(self.last_probe.next()),
            }),
        }
    }

    fn write(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        if !instance.is_primary {
            return;
        }
        let write = self.writes;
        self.writes += 1;
        instance.log.push(Record { term: instance.term, write });
        instance.applied = instance.log.len();
        let position = instance.applied_position();
        let (name, first) = (instance.name.clone(), self.last_probe.next());
        let confirmation = Confirmation::new(name, position, ConfirmationRule::Flushed, first);
        self.pending.push(PendingWrite { write, confirmation });
    }

    fn ship(&mut self, from: usize, to: usize, records: usize) {
        let source = self.instances[from].clone();
        let target = &mut self.instances[to];
        if from == to || !source.is_primary || target.promised > source.term {
            return;
        }
        let pairs = source.log.iter().zip(&target.log);
        let common = pairs.take_while(|(left, right)| left == right).count();
        target.promised = source.term;
        target.term = source.term;
        target.is_primary = false;
        target.log.truncate(common);
        target.applied = target.applied.min(common);
        target.log.extend(source.log.iter().skip(common).take(records));
    }

    /// The candidate and one voter form a majority; the third instance does not learn of the
    /// election.
    fn elect(&mut self, candidate: usize, voter: usize) {
        let up_to_date = |instance: &Instance| {
            (instance.log.last().map_or(0, |record| record.term), instance.log.len())
        };
        let (ours, theirs) = (&self.instances[candidate], &self.instances[voter]);
        if candidate == voter || up_to_date(ours) < up_to_date(theirs) {
            return;
        }
        let term = ours.promised.max(theirs.promised) + 1;
        let voter = &mut self.instances[voter];
        voter.promised = term;
        voter.is_primary = false;
        let winner = &mut self.instances[candidate];
        winner.promised = term;
        winner.term = term;
        winner.is_primary = true;
        winner.applied = winner.log.len();
    }

    fn probe(&mut self, index: usize) {
        self.last_probe = self.last_probe.next();
        let instance = &self.instances[index];
        let evidence = FlushReport {
            instance: &instance.name,
            probe: self.last_probe,
            flushed: instance.position(instance.log.len()),
        };
        for mut pending in std::mem::take(&mut self.pending) {
            match pending.confirmation.on_flush_report(evidence, MAJORITY) {
                Verdict::Waiting => self.pending.push(pending),
                Verdict::Superseded(_) => {}
                Verdict::Confirmed => {
                    self.acknowledged.insert(pending.write);
                    self.writer.must_see.insert(pending.write);
                    let position = pending.confirmation.position();
                    self.writer.bound = self.writer.bound.join(position);
                }
            }
        }
        let role = instance.role();
        for mut session in std::mem::take(&mut self.connecting) {
            match session.query.on_evidence(evidence, role, MAJORITY) {
                None => self.connecting.push(session),
                Some(bound) => {
                    self.sessions.push(Session { must_see: session.must_see, bound });
                }
            }
        }
    }

    fn check(&self) -> Result<(), TestCaseError> {
        for session in self.sessions.iter().chain([&self.writer]) {
            for instance in &self.instances {
                if !instance.applied_position().satisfies(&session.bound) {
                    continue;
                }
                let seen: BTreeSet<usize> =
                    instance.log[..instance.applied].iter().map(|record| record.write).collect();
                prop_assert!(
                    session.must_see.is_subset(&seen),
                    "{:?} at {:?} admits {instance:?}, which lacks {:?}",
                    session.must_see,
                    session.bound,
                    session.must_see.difference(&seen).collect::<Vec<_>>()
                );
            }
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1000))]

    #[test]
    fn instances_that_satisfy_a_bound_hold_the_writes_the_session_must_see(
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let mut world = World::new();
        for step in &steps {
            world.run(step);
            world.check()?;
        }
    }
}

#[test]
fn model_acknowledges_writes_and_connects_sessions() {
    let mut world = World::new();
    let steps = [
        Step::Write { instance: 0 },
        Step::Ship { from: 0, to: 1, records: 1 },
        Step::Probe { instance: 1 },
        Step::Connect,
        Step::Probe { instance: 0 },
        Step::Probe { instance: 1 },
    ];
    steps.iter().for_each(|step| world.run(step));
    assert_eq!(world.acknowledged, BTreeSet::from([0]));
    assert_eq!(world.sessions.len(), 1);
    let admitted =
        |instance: &Instance| instance.applied_position().satisfies(&world.sessions[0].bound);
    let admits: Vec<bool> = world.instances.iter().map(admitted).collect();
    assert_eq!(admits, [true, false, false], "the replica has flushed but not applied");
}
