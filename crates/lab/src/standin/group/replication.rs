//! Log shipping, failure detection, elections and step-downs of one group.
//!
//! The rules are those of a replicated log with terms, as in Raft:
//!
//! - A member accepts log records only from a term that is at least the highest term it has
//!   promised.
//! - Before a member adopts a higher term, it drops the records that the primary of that term does
//!   not have.
//! - A member votes only if it has had no contact with a primary for its election timeout.
//! - The winner has the highest (term of the last record, flushed offset) of a majority.
//!
//! A record that a majority has flushed in the term of its primary is therefore never lost.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::events::{EventLog, GroupEventKind, Signal};
use super::instance::Instance;
use super::options::GroupOptions;
use super::state::{Generation, Record, State};

/// Longest interval between two ticks of the replicator.
const TICK_INTERVAL: Duration = Duration::from_millis(1);
/// A member's election timeout is longer than the configured one by up to this fraction, so that
/// members do not all time out together.
const ELECTION_TIMEOUT_SPREAD: f64 = 0.2;

/// The replicator's view of one member.
#[derive(Debug)]
struct Member {
    instance: Arc<Instance>,
    last_contact: Instant,
    timeout: Duration,
    /// When it learned that a higher term than the one it leads exists.
    newer_term_since: Option<Instant>,
    generation: Generation,
}

/// The most recently elected primary.
#[derive(Clone, Copy, Debug)]
struct Leader {
    index: usize,
    term: u32,
    is_lost: bool,
}

/// Carries log records and votes between the members of one group.
pub struct Replicator {
    members: Vec<Member>,
    options: GroupOptions,
    events: Arc<EventLog>,
    signal: Arc<Signal>,
    random: StdRng,
    leader: Leader,
}

impl Replicator {
    /// Creates a replicator for `instances`, of which the first is primary at term 1.
    pub fn new(
        instances: &[Arc<Instance>],
        options: GroupOptions,
        events: Arc<EventLog>,
        signal: Arc<Signal>,
    ) -> Self {
        let now = Instant::now();
        let mut random = StdRng::seed_from_u64(options.seed);
        let members = instances
            .iter()
            .map(|instance| Member {
                instance: instance.clone(),
                last_contact: now,
                timeout: draw_timeout(options.election_timeout, &mut random),
                newer_term_since: None,
                generation: instance.state().generation,
            })
            .collect();
        let leader = Leader { index: 0, term: 1, is_lost: false };
        Self { members, options, events, signal, random, leader }
    }

    /// Runs until `stopping` is set.
    pub fn run(mut self, stopping: &AtomicBool) {
        while !stopping.load(Ordering::Acquire) {
            let next = self.tick(Instant::now());
            let timeout =
                next.map_or(TICK_INTERVAL, |next| next.saturating_duration_since(Instant::now()));
            self.signal.wait(timeout.min(TICK_INTERVAL));
        }
    }

    /// Performs all steps that are due. Returns when the next received record is due to be applied.
    pub fn tick(&mut self, now: Instant) -> Option<Instant> {
        self.detect_restarts(now);
        self.ship_all(now);
        self.update_leader_contact();
        self.step_down_outdated(now);
        self.elect(now);
        self.members
            .iter()
            .filter(|member| member.instance.is_running())
            .filter_map(|member| member.instance.apply_due(now))
            .min()
    }

    /// Resets the view of restarted members: they know of no primary and of no higher term.
    fn detect_restarts(&mut self, now: Instant) {
        for member in &mut self.members {
            let generation = member.instance.state().generation;
            if member.generation != generation {
                member.generation = generation;
                member.last_contact = now;
                member.newer_term_since = None;
            }
        }
    }

    fn instance(&self, index: usize) -> &Arc<Instance> {
        &self.members[index].instance
    }

    /// One-way delay between two members, or `None` if they are not connected in this direction.
    fn delay(&self, from: usize, to: usize) -> Option<Duration> {
        let (from, to) = (self.instance(from), self.instance(to));
        if !from.is_running() || !to.is_running() || from.is_isolated() || to.is_isolated() {
            return None;
        }
        match &self.options.network {
            Some(network) => network.delay(&from.zone, &to.zone),
            None => Some(Duration::ZERO),
        }
    }

    /// Whether two members can communicate in both directions.
    fn can_communicate(&self, first: usize, second: usize) -> bool {
        first == second
            || (self.delay(first, second).is_some() && self.delay(second, first).is_some())
    }

    fn primaries(&self) -> Vec<usize> {
        let mut primaries: Vec<usize> = (0..self.members.len())
            .filter(|index| self.instance(*index).is_running())
            .filter(|index| self.instance(*index).is_primary())
            .collect();
        primaries.sort_by_key(|index| self.instance(*index).state().term);
        primaries
    }

    fn ship_all(&mut self, now: Instant) {
        for source in self.primaries() {
            for target in 0..self.members.len() {
                if target != source && self.can_communicate(source, target) {
                    self.ship(source, target, now);
                }
            }
        }
    }

    /// Ships log records from a primary to another member. If the member knows of a higher term,
    /// the primary learns of it instead. If the member is an outdated primary, it learns of this
    /// primary's term instead.
    fn ship(&mut self, source: usize, target: usize, now: Instant) {
        let Some(delay) = self.delay(source, target) else { return };
        let (primary, replica) = (self.instance(source).clone(), self.instance(target).clone());
        let term = primary.state().term;
        let mut state = replica.state();
        if state.promised > term {
            drop(state);
            self.members[source].newer_term_since.get_or_insert(now);
            return;
        }
        if state.primary {
            drop(state);
            self.members[target].newer_term_since.get_or_insert(now);
            return;
        }
        if !replica.is_receiving() {
            drop(state);
            self.members[target].last_contact = now;
            return;
        }
        let follows = state.term == term && state.promised == term;
        let log_length = state.log.len();
        drop(state);
        let (common_length, missing) =
            missing_records(&primary, &replica, follows.then_some(log_length));
        let arrived = |record: &&Arc<Record>| record.committed + delay <= now;
        state = replica.state();
        // `common_length` is still valid after the lock was released: only this thread changes the
        // log of a replica, and a restart keeps the log.
        state.truncate(common_length);
        state.term = term;
        state.promised = term;
        for record in missing.iter().take_while(arrived) {
            replica.receive(&mut state, record.clone(), now);
        }
        drop(state);
        self.members[target].last_contact = now;
    }

    /// Records an event when the elected primary loses or regains contact with a majority.
    fn update_leader_contact(&mut self) {
        let Leader { index, term, is_lost } = self.leader;
        let leads = {
            let state = self.instance(index).state();
            state.primary && state.term == term
        };
        let reached =
            (0..self.members.len()).filter(|other| self.can_communicate(index, *other)).count();
        let runs = leads && self.instance(index).is_running();
        let has_majority = runs && reached >= self.majority();
        if !has_majority && !is_lost {
            self.leader.is_lost = true;
            self.events.add(GroupEventKind::PrimaryLost { index, term });
        } else if has_majority && is_lost {
            self.leader.is_lost = false;
            self.events.add(GroupEventKind::PrimaryRegained { index, term });
        }
    }

    fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Demotes primaries that have known of a higher term for the step-down delay.
    fn step_down_outdated(&mut self, now: Instant) {
        for index in 0..self.members.len() {
            let Some(since) = self.members[index].newer_term_since else { continue };
            let instance = self.instance(index).clone();
            if now < since + self.options.step_down_delay || !instance.is_running() {
                continue;
            }
            self.members[index].newer_term_since = None;
            self.members[index].last_contact = now;
            let mut state = instance.state();
            if !state.primary {
                continue;
            }
            let term = state.term;
            state.step_down();
            drop(state);
            instance.connections.reset_all();
            self.events.add(GroupEventKind::SteppedDown { index, term });
        }
    }

    /// Elects a primary if a majority has had no contact with one for their election timeouts.
    fn elect(&mut self, now: Instant) {
        let waiting: Vec<usize> = (0..self.members.len())
            .filter(|index| {
                let member = &self.members[*index];
                member.instance.is_running()
                    && !member.instance.is_primary()
                    && now.duration_since(member.last_contact) >= member.timeout
            })
            .collect();
        let mut candidates = waiting.clone();
        candidates.sort_by_key(|index| {
            let state = self.instance(*index).state();
            std::cmp::Reverse((state.last_term(), state.flushed()))
        });
        for candidate in candidates {
            let voters: Vec<usize> = waiting
                .iter()
                .copied()
                .filter(|other| self.can_communicate(candidate, *other))
                .collect();
            if voters.len() >= self.majority() {
                return self.promote_winner(candidate, &voters, now);
            }
        }
    }

    fn promote_winner(&mut self, winner: usize, voters: &[usize], now: Instant) {
        let promised = voters.iter().map(|voter| self.instance(*voter).state().promised);
        let term = promised.max().unwrap_or(0) + 1;
        for voter in voters {
            self.instance(*voter).state().promised = term;
            let timeout = draw_timeout(self.options.election_timeout, &mut self.random);
            self.members[*voter].timeout = timeout;
            self.members[*voter].last_contact = now;
        }
        self.instance(winner).state().promote(term);
        self.leader = Leader { index: winner, term, is_lost: false };
        self.events.add(GroupEventKind::Elected { index: winner, term });
    }
}

fn draw_timeout(base: Duration, random: &mut StdRng) -> Duration {
    base.mul_f64(1.0 + ELECTION_TIMEOUT_SPREAD * random.random::<f64>())
}

/// Returns the length of the log prefix that both instances share, and the primary's records after
/// it.
fn missing_records(
    primary: &Instance,
    replica: &Instance,
    known_common_length: Option<usize>,
) -> (usize, Vec<Arc<Record>>) {
    let records_after = |state: &State, common_length: usize| {
        state.log[common_length..].iter().map(|entry| entry.record.clone()).collect()
    };
    if let Some(common_length) = known_common_length {
        let state = primary.state();
        return (common_length, records_after(&state, common_length.min(state.log.len())));
    }
    let source: Vec<Arc<Record>> = records_after(&primary.state(), 0);
    let target = replica.state();
    let shorter = source.len().min(target.log.len());
    // Equal (term, end) implies equal logs up to that record, since a term has only one primary.
    let common_length = (0..shorter)
        .rev()
        .find(|index| {
            let (source_record, target_record) = (&source[*index], &target.log[*index].record);
            (source_record.term, source_record.end) == (target_record.term, target_record.end)
        })
        .map_or(0, |index| index + 1);
    (common_length, source[common_length..].to_vec())
}
