//! Which instance serves a read whose position the instance itself checks.
//!
//! Any instance may be asked: one that has not reached the position says so and has not run the
//! read. The choice is the least expected time until the answer, with a price on leaving the zone.

use std::time::Duration;

use crate::ids::InstanceName;
use crate::position::Position;

/// What leaving the zone is worth avoiding: bytes between zones are paid for.
const CROSS_ZONE_PENALTY: Duration = Duration::from_millis(60);
/// Expected extra time at an instance that has not answered lately what it was asked.
const UNRESPONSIVE_PENALTY: Duration = Duration::from_secs(2);
/// Expected extra time at a replica that was behind the position when it last answered.
const LAG_PENALTY: Duration = Duration::from_millis(250);
/// A replica that was behind longer ago than this has had time to catch up.
const CATCH_UP_PERIOD: Duration = Duration::from_millis(200);
/// Service time of an instance that has not answered yet.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(20);

/// An instance that may serve the read.
#[derive(Clone, Copy, Debug)]
pub struct Reader<'a> {
    /// The instance.
    pub instance: &'a InstanceName,
    /// Whether it is in this node's zone.
    pub is_local: bool,
    /// Position that it last told, if it can be behind.
    pub reported_position: Option<Position>,
    /// Time since then.
    pub report_age: Option<Duration>,
    /// Mean time that its answers took lately.
    pub service_time: Option<Duration>,
    /// Statements that this node has under way there.
    pub running: u32,
    /// Statements that it runs well at once.
    pub slots: u32,
    /// Whether it has been silent, or refused connections, since it last answered.
    pub is_unresponsive: bool,
}

/// Chooses among `readers` for a read that needs `position`.
pub fn choose<'a>(readers: &[Reader<'a>], position: Option<&Position>) -> Option<&'a InstanceName> {
    let cheapest = readers.iter().min_by_key(|reader| cost(reader, position));
    cheapest.map(|reader| reader.instance)
}

fn cost(reader: &Reader, position: Option<&Position>) -> Duration {
    let service = reader.service_time.unwrap_or(DEFAULT_SERVICE_TIME);
    let queue = service.mul_f64(f64::from(reader.running) / f64::from(reader.slots.max(1)));
    let zone = if reader.is_local { Duration::ZERO } else { CROSS_ZONE_PENALTY };
    let doubt = if reader.is_unresponsive { UNRESPONSIVE_PENALTY } else { Duration::ZERO };
    let lately = reader.report_age.is_some_and(|age| age < CATCH_UP_PERIOD);
    let is_behind = match (&reader.reported_position, position) {
        (Some(reached), Some(position)) => lately && !reached.satisfies(position),
        _ => false,
    };
    let behind = if is_behind { LAG_PENALTY } else { Duration::ZERO };
    service + queue + zone + doubt + behind
}
