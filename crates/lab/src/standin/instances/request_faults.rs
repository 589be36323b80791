//! Faults of an instance in answering requests while it looks healthy: it fails part of them, leaves
//! part of them without an answer, and is late with others. Status queries, the commands of promotions
//! and rollbacks are answered as ever.

use std::time::Duration;

use kestrellock_platform::standin::lines::InstanceStatement;
use rand::rngs::ChaCha8Rng;
use rand::{RngExt, SeedableRng};

/// Delay of a late request.
pub const DELAY: Duration = Duration::from_millis(200);

/// Parts of an instance's requests, from 0 to 1, that have each fault.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestFaultShares {
    /// Not run and answered with an error.
    pub failed: f64,
    /// Run and answered with an error.
    pub failed_after_run: f64,
    /// Run and not answered.
    pub unanswered: f64,
    /// Run after [`DELAY`].
    pub delayed: f64,
}

/// What happens to one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestFault {
    /// It is not run and answered with an error.
    Fails,
    /// It is run and answered with an error.
    FailsAfterRun,
    /// It is run and not answered.
    Unanswered,
    /// It is run after [`DELAY`].
    Delayed,
}

/// Draws the faults of one instance's requests.
#[derive(Debug)]
pub struct RequestFaults {
    shares: RequestFaultShares,
    random: ChaCha8Rng,
}

impl RequestFaults {
    /// Faults of these shares, drawn from `seed`.
    pub fn new(shares: RequestFaultShares, seed: u64) -> Self {
        Self { shares, random: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// The fault of the next request, if it has one.
    pub fn draw(&mut self, statement: &InstanceStatement) -> Option<RequestFault> {
        let is_command = matches!(
            statement,
            InstanceStatement::Status
                | InstanceStatement::Stop(_)
                | InstanceStatement::Release
                | InstanceStatement::Demote(_)
        );
        if is_command || matches!(statement, InstanceStatement::Rollback) {
            return None;
        }
        let RequestFaultShares { failed, failed_after_run, unanswered, delayed } = self.shares;
        let mut drawn = self.random.random_range(0.0..1.0);
        let faults = [
            (failed, RequestFault::Fails),
            (failed_after_run, RequestFault::FailsAfterRun),
            (unanswered, RequestFault::Unanswered),
            (delayed, RequestFault::Delayed),
        ];
        for (share, fault) in faults {
            if drawn < share {
                return Some(fault);
            }
            drawn -= share;
        }
        None
    }
}
