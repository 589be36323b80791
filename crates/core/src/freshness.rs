//! Computes how old the data that an instance serves may be.
//!
//! The age counts from the time at which a majority last confirmed the primary, because no
//! instance, including the primary itself, can know which commits an unconfirmed primary has
//! missed. A replica is as fresh as the latest time at which the confirmed primary had not passed
//! the replica's current position.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::ids::InstanceName;
use crate::position::{Position, Term};
use crate::routing::Role;

/// Number of primary positions to keep.
const MAX_SAMPLES: usize = 1024;
/// Shortest time between two kept positions, so that frequent probes do not shorten the period they
/// cover.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);

/// Time since a fixed origin.
pub type Moment = Duration;

/// A report from an instance.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    /// Its role.
    pub role: Role,
    /// The term it follows and the offset that its readers see.
    pub applied: Position,
    /// When the report was requested. The report was true at that time or later.
    pub requested_at: Moment,
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    requested_at: Moment,
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
    /// Records a report from an instance.
    pub fn on_observation(&mut self, instance: &InstanceName, observation: Observation) {
        self.newest.insert(instance.clone(), observation);
        let term = observation.applied.term;
        if term > self.term {
            self.term = term;
            self.samples.clear();
        }
        if observation.role == Role::Primary && term == self.term {
            self.sample(Sample {
                requested_at: observation.requested_at,
                position: observation.applied,
            });
        }
    }

    fn sample(&mut self, sample: Sample) {
        match self.samples.back_mut() {
            // The primary has not advanced, so a replica that had reached its position then has
            // reached it now.
            Some(last) if last.position == sample.position => {
                last.requested_at = last.requested_at.max(sample.requested_at);
            }
            Some(last) if sample.requested_at < last.requested_at + SAMPLE_INTERVAL => {}
            _ => self.samples.push_back(sample),
        }
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// When a majority last confirmed the primary of the highest reported term.
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

    /// The time up to which an instance's data is complete; `None` if unknown.
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
                Some(sample.requested_at.min(confirmed))
            }
        }
    }

    /// Upper bound of how far an instance's data lags at `now`.
    pub fn age(&self, instance: &InstanceName, majority: usize, now: Moment) -> Option<Duration> {
        let moment = self.fresh_as_of(instance, majority)?;
        Some(now.saturating_sub(moment))
    }
}
