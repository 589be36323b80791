//! How old the data may be that an instance serves.
//!
//! Age counts from when a majority last confirmed the primary: nobody can tell what an unconfirmed
//! primary has missed, not even itself. A replica is as fresh as the newest moment at which the
//! confirmed primary was no further than the replica is now.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::ids::InstanceName;
use crate::position::{Position, Term};
use crate::routing::Role;

/// Positions of the primary that are remembered.
const MAX_SAMPLES: usize = 1024;
/// Shortest time between two of them, so that frequent probes do not shorten the memory.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);

/// Time since some fixed moment.
pub type Moment = Duration;

/// What an instance said of itself.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    /// Its role.
    pub role: Role,
    /// Term it follows and offset that its readers see.
    pub applied: Position,
    /// When it was asked; what it said was true then or later.
    pub requested_at: Moment,
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    asked: Moment,
    position: Position,
}

/// Freshness of the instances of one group.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    newest: BTreeMap<InstanceName, Observation>,
    term: Term,
    samples: VecDeque<Sample>,
}

impl Freshness {
    /// Takes in what an instance said.
    pub fn on_observation(&mut self, instance: &InstanceName, observation: Observation) {
        self.newest.insert(instance.clone(), observation);
        let term = observation.applied.term;
        if term > self.term {
            self.term = term;
            self.samples.clear();
        }
        if observation.role == Role::Primary && term == self.term {
            self.sample(Sample { asked: observation.requested_at, position: observation.applied });
        }
    }

    fn sample(&mut self, sample: Sample) {
        match self.samples.back_mut() {
            // The primary has stood still: whoever had reached it then has reached it now.
            Some(last) if last.position == sample.position => {
                last.asked = last.asked.max(sample.asked);
            }
            Some(last) if sample.asked < last.asked + SAMPLE_INTERVAL => {}
            _ => self.samples.push_back(sample),
        }
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// When a majority last confirmed the primary of the highest term seen.
    pub fn confirmed_at(&self, majority: usize) -> Option<Moment> {
        let mut followers: Vec<Moment> = self
            .newest
            .values()
            .filter(|observation| observation.applied.term == self.term)
            .map(|observation| observation.requested_at)
            .collect();
        followers.sort_unstable();
        let index = followers.len().checked_sub(majority)?;
        followers.get(index).copied()
    }

    /// The moment up to which an instance's data is complete; `None` if that is not known.
    pub fn fresh_as_of(&self, instance: &InstanceName, majority: usize) -> Option<Moment> {
        let observation = self.newest.get(instance)?;
        let confirmed = self.confirmed_at(majority)?;
        match observation.role {
            Role::Primary => (observation.applied.term == self.term).then_some(confirmed),
            Role::Replica => {
                let reached = self.samples.iter().rev();
                let sample = reached
                    .into_iter()
                    .find(|sample| observation.applied.satisfies(&sample.position))?;
                Some(sample.asked.min(confirmed))
            }
        }
    }

    /// How far an instance's data may trail at `now`.
    pub fn age(&self, instance: &InstanceName, majority: usize, now: Moment) -> Option<Duration> {
        let moment = self.fresh_as_of(instance, majority)?;
        Some(now.saturating_sub(moment))
    }
}
