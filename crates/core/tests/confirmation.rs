//! Confirmation of commits, checked against a model of a group with elections, divergent logs and
//! truncation.

use kestrellock_core::confirmation::{
    Confirmation, ConfirmationRule, FlushReport, ProbeNumber, Verdict,
};
use kestrellock_core::ids::InstanceName;
use kestrellock_core::position::{LogOffset, Position, Term};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// One committed transaction in an instance's log: the term it was written under and a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Entry {
    term: u32,
    number: usize,
}

#[derive(Clone, Debug, Default)]
struct Member {
    log: Vec<Entry>,
    /// Highest term in which it has voted or that it has followed.
    promised: u32,
    /// Term whose primary it follows or is; `None` between a vote and the first message of the new
    /// primary.
    following: Option<u32>,
    primary: bool,
}

impl Member {
    /// The rank that elections compare: term of the last entry, then length of the log.
    fn rank(&self) -> (u32, usize) {
        (self.log.last().map_or(0, |entry| entry.term), self.log.len())
    }

    fn flushed(&self) -> Option<Position> {
        let offset = LogOffset(self.log.len() as u64);
        self.following.map(|term| Position { term: Term(term), offset })
    }
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Write(usize),
    Ship(usize, usize),
    Elect(usize, usize),
    Probe(usize),
}

struct Pending {
    entry: Entry,
    confirmation: Confirmation,
}

struct Model {
    members: Vec<Member>,
    majority: usize,
    needed: usize,
    written: usize,
    probes: ProbeNumber,
    pending: Vec<Pending>,
    acknowledged: Vec<(usize, Entry)>,
}

fn name(index: usize) -> InstanceName {
    InstanceName::new(format!("instance-{index}"))
}

impl Model {
    /// A group whose commits are acknowledged after `needed` confirmations.
    fn new(size: usize, needed: usize) -> Self {
        let follower = Member { promised: 1, following: Some(1), ..Member::default() };
        let mut members = vec![follower; size];
        members[0].primary = true;
        Self {
            members,
            majority: size / 2 + 1,
            needed,
            written: 0,
            probes: ProbeNumber::default(),
            pending: Vec::new(),
            acknowledged: Vec::new(),
        }
    }

    fn write(&mut self, index: usize) {
        let member = &mut self.members[index];
        let (true, Some(term)) = (member.primary, member.following) else { return };
        self.written += 1;
        let entry = Entry { term, number: self.written };
        member.log.push(entry);
        let offset = LogOffset(member.log.len() as u64);
        let position = Position { term: Term(term), offset };
        let rule = ConfirmationRule::Flushed;
        let confirmation = Confirmation::new(name(index), position, rule, self.probes.next());
        let pending = Pending { entry, confirmation };
        self.pending.push(pending);
        self.settle(None);
    }

    /// The primary sends its log; the receiver truncates its divergent entries and appends one
    /// entry.
    fn ship(&mut self, from: usize, to: usize) {
        let source = self.members[from].clone();
        let Some(term) = source.following else { return };
        let target = &mut self.members[to];
        if from == to || !source.primary || target.promised > term {
            return;
        }
        let common = target.log.iter().zip(&source.log).take_while(|(a, b)| a == b).count();
        target.log.truncate(common);
        target.log.extend(source.log.get(common));
        target.promised = term;
        target.following = Some(term);
        target.primary = false;
    }

    /// `candidate` requests votes from the members, beginning at `first`, until a majority has
    /// agreed.
    fn elect(&mut self, candidate: usize, first: usize) {
        let count = self.members.len();
        let rank = self.members[candidate].rank();
        let term = self.members.iter().map(|member| member.promised).max().unwrap_or(0) + 1;
        let mut voters = vec![candidate];
        let others = (0..count).map(|step| (first + step) % count).filter(|one| *one != candidate);
        voters.extend(others.filter(|one| self.members[*one].rank() <= rank));
        if voters.len() < self.majority {
            return;
        }
        for voter in voters.into_iter().take(self.majority) {
            let member = &mut self.members[voter];
            member.promised = term;
            member.following = None;
            member.primary = false;
        }
        let winner = &mut self.members[candidate];
        winner.following = Some(term);
        winner.primary = true;
    }

    fn probe(&mut self, index: usize) {
        self.probes = self.probes.next();
        if let Some(flushed) = self.members[index].flushed() {
            self.settle(Some((index, flushed)));
        }
    }

    fn settle(&mut self, heard: Option<(usize, Position)>) {
        let needed = self.needed;
        let probe = self.probes;
        let acknowledged = &mut self.acknowledged;
        self.pending.retain_mut(|pending| {
            let verdict = match heard {
                Some((index, flushed)) => {
                    let instance = &name(index);
                    pending
                        .confirmation
                        .on_flush_report(FlushReport { instance, probe, flushed }, needed)
                }
                None => pending.confirmation.verdict(needed),
            };
            if verdict == Verdict::Confirmed {
                let offset = pending.confirmation.position().offset.0 as usize;
                acknowledged.push((offset, pending.entry));
            }
            verdict == Verdict::Waiting
        });
    }

    fn run(&mut self, step: Step) {
        let size = self.members.len();
        match step {
            Step::Write(index) => self.write(index % size),
            Step::Ship(from, to) => self.ship(from % size, to % size),
            Step::Elect(candidate, first) => self.elect(candidate % size, first % size),
            Step::Probe(index) => self.probe(index % size),
        }
    }

    /// The first acknowledged entry that the newest primary lacks.
    fn lost(&self) -> Option<Entry> {
        let newest =
            self.members.iter().filter(|one| one.primary).max_by_key(|one| one.following)?;
        let missing = |(offset, entry): &&(usize, Entry)| newest.log.get(offset - 1) != Some(entry);
        self.acknowledged.iter().find(missing).map(|(_, entry)| *entry)
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..5_usize).prop_map(Step::Write),
        8 => (0..5_usize, 0..5_usize).prop_map(|(from, to)| Step::Ship(from, to)),
        2 => (0..5_usize, 0..5_usize).prop_map(|(one, first)| Step::Elect(one, first)),
        6 => (0..5_usize).prop_map(Step::Probe),
    ];
    proptest::collection::vec(step, 1..120)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, rng_seed: RngSeed::Fixed(4), ..ProptestConfig::default() })]

    #[test]
    fn confirmed_commit_is_never_lost(size in prop_oneof![Just(3_usize), Just(5)], steps in steps()) {
        let mut model = Model::new(size, size / 2 + 1);
        for step in steps {
            model.run(step);
            prop_assert_eq!(model.lost(), None);
        }
    }
}

/// The model can lose a commit that fewer instances than a majority have confirmed.
#[test]
fn commit_acknowledged_by_its_primary_alone_can_be_lost() {
    let mut model = Model::new(3, 1);
    for step in [Step::Write(0), Step::Elect(1, 2)] {
        model.run(step);
    }
    assert_eq!(model.lost(), Some(Entry { term: 1, number: 1 }));
}

#[test]
fn confirms_according_to_the_rule() {
    let position = Position { term: Term(3), offset: LogOffset(100) };
    let at = |term, offset| Position { term: Term(term), offset: LogOffset(offset) };
    use ConfirmationRule::{Flushed, Term as TermOnly};
    let table = [
        (Flushed, 5, at(3, 100), Verdict::Confirmed),
        (Flushed, 4, at(3, 100), Verdict::Waiting),
        (Flushed, 5, at(3, 99), Verdict::Waiting),
        (Flushed, 5, at(2, 100), Verdict::Waiting),
        (Flushed, 5, at(4, 100), Verdict::Superseded(Term(4))),
        (TermOnly, 5, at(3, 0), Verdict::Confirmed),
        (TermOnly, 4, at(3, 0), Verdict::Waiting),
        (TermOnly, 5, at(4, 200), Verdict::Superseded(Term(4))),
    ];
    for (rule, probe, flushed, expected) in table {
        let mut confirmation = Confirmation::new(name(0), position, rule, ProbeNumber(5));
        let instance = &name(1);
        let evidence = FlushReport { instance, probe: ProbeNumber(probe), flushed };
        assert_eq!(
            confirmation.on_flush_report(evidence, 2),
            expected,
            "{rule:?} {probe} {flushed:?}"
        );
    }
}
