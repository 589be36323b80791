//! Chooses the instance for a read whose required position the instance itself checks.
//!
//! Every instance is a candidate, because an instance that has not reached the position refuses the
//! read without running it. The choice minimizes the expected time until the answer, plus a penalty
//! for leaving the zone.

use std::time::Duration;

use crate::ids::InstanceName;
use crate::position::Position;

/// Penalty for an instance in another zone, because traffic between zones is charged for.
const CROSS_ZONE_PENALTY: Duration = Duration::from_millis(60);
/// Expected extra time at an instance that has not answered recent requests.
const UNRESPONSIVE_PENALTY: Duration = Duration::from_secs(2);
/// Expected extra time at a replica that was behind the position when it last answered.
const LAG_PENALTY: Duration = Duration::from_millis(250);
/// A replica whose last report is older than this has had time to catch up.
const CATCH_UP_PERIOD: Duration = Duration::from_millis(200);
/// Assumed service time of an instance that has not answered yet.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(20);

/// An instance that may serve the read.
#[derive(Clone, Copy, Debug)]
pub struct Reader<'a> {
    /// The instance.
    pub instance: &'a InstanceName,
    /// Whether it is in this node's zone.
    pub is_local: bool,
    /// Position in its last report; `None` if it cannot be behind.
    pub reported_position: Option<Position>,
    /// Age of that report.
    pub report_age: Option<Duration>,
    /// Mean time of its recent answers.
    pub service_time: Option<Duration>,
    /// Statements of this node that are running or queued there.
    pub running: u32,
    /// Number of statements that it runs well concurrently.
    pub slots: u32,
    /// Whether it has timed out or refused connections since its last answer.
    pub is_unresponsive: bool,
}

/// Chooses the reader with the lowest cost for a read that needs `position`.
pub fn choose<'a>(readers: &[Reader<'a>], position: Option<&Position>) -> Option<&'a InstanceName> {
    let cheapest = readers.iter().min_by_key(|reader| cost(reader, position));
    cheapest.map(|reader| reader.instance)
}

fn cost(reader: &Reader, position: Option<&Position>) -> Duration {
    let service = reader.service_time.unwrap_or(DEFAULT_SERVICE_TIME);
    let queue = service.mul_f64(f64::from(reader.running) / f64::from(reader.slots.max(1)));
    let zone = if reader.is_local { Duration::ZERO } else { CROSS_ZONE_PENALTY };
    let unresponsive = if reader.is_unresponsive { UNRESPONSIVE_PENALTY } else { Duration::ZERO };
    let is_recent = reader.report_age.is_some_and(|age| age < CATCH_UP_PERIOD);
    let is_behind = match (&reader.reported_position, position) {
        (Some(reached), Some(position)) => is_recent && !reached.satisfies(position),
        _ => false,
    };
    let lag = if is_behind { LAG_PENALTY } else { Duration::ZERO };
    service + queue + zone + unresponsive + lag
}
