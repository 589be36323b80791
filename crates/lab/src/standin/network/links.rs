//! State of the links between zones.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use super::FIRST_ZONE_OCTET;

const SILENCES_LOCK_PANICKED: &str = "a holder of the silences lock panicked";

/// Position of a zone in its network.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ZoneNumber(pub usize);

/// One way between two zones.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Link {
    /// One-way delay.
    pub delay: Duration,
    /// Share of datagrams lost.
    pub loss: f64,
    /// Whether nothing passes.
    pub cut: bool,
}

/// Which bytes of a connection are swallowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SilencedDirection {
    /// Those from the side that opened it.
    ToTarget,
    /// Those to the side that opened it.
    FromTarget,
    /// All.
    Both,
}

/// Connections that stand open and carry nothing any more.
#[derive(Clone, Copy, Debug)]
pub struct Silence {
    /// Zone of the exposed targets.
    pub zone: ZoneNumber,
    /// Which bytes are swallowed.
    pub direction: SilencedDirection,
    /// Connections opened before this are silent, later ones work.
    pub opened_before: Instant,
}

/// One end of a zone's line: what goes to its targets, or what comes from them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LineDirection {
    /// Zone of the exposed targets.
    pub zone: ZoneNumber,
    /// Whether the bytes lead to the targets.
    pub to_target: bool,
}

/// What all streams of one end of a line share.
#[derive(Clone, Copy, Debug, Default)]
struct ZoneLine {
    /// Bytes a second; `None` where nothing limits them.
    rate: Option<f64>,
    /// When everything that was sent before has passed.
    idle_at: Option<Instant>,
    /// Bytes that were sent.
    bytes: u64,
}

impl ZoneLine {
    /// Takes `bytes` in; the time at which they have passed.
    fn transmit(&mut self, bytes: usize, now: Instant) -> Instant {
        self.bytes += bytes as u64;
        let Some(rate) = self.rate else { return now };
        let starts_at = self.idle_at.map_or(now, |idle_at| idle_at.max(now));
        let ends_at = starts_at + Duration::from_secs_f64(bytes as f64 / rate);
        self.idle_at = Some(ends_at);
        ends_at
    }
}

/// All ways between the zones of a network.
#[derive(Debug)]
pub struct Links {
    zones: usize,
    links: Mutex<Vec<Link>>,
    lines: Mutex<HashMap<LineDirection, ZoneLine>>,
    silences: Mutex<Vec<Silence>>,
    longest_pause_us: AtomicU64,
    stopping: AtomicBool,
}

impl Links {
    /// Links without delay, loss or cuts.
    pub fn new(zones: usize) -> Self {
        let links = Mutex::new(vec![Link::default(); zones * zones]);
        Self {
            zones,
            links,
            lines: Mutex::default(),
            silences: Mutex::default(),
            longest_pause_us: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
        }
    }

    fn lock_links(&self) -> MutexGuard<'_, Vec<Link>> {
        self.links.lock().expect("a holder of the links lock panicked")
    }

    /// The link from one zone to another.
    pub fn get(&self, from: ZoneNumber, to: ZoneNumber) -> Link {
        self.lock_links()[from.0 * self.zones + to.0]
    }

    /// Changes the link from one zone to another.
    pub fn change(&self, from: ZoneNumber, to: ZoneNumber, change: impl FnOnce(&mut Link)) {
        change(&mut self.lock_links()[from.0 * self.zones + to.0]);
    }

    fn line<T>(&self, direction: LineDirection, work: impl FnOnce(&mut ZoneLine) -> T) -> T {
        let mut lines = self.lines.lock().expect("a holder of the lines lock panicked");
        work(lines.entry(direction).or_default())
    }

    /// Limits what all streams of one end of a line carry together, in bytes a second.
    pub fn set_rate(&self, direction: LineDirection, rate: f64) {
        self.line(direction, |line| line.rate = Some(rate));
    }

    /// Whether the bytes of one end of a line are limited.
    pub fn is_limited(&self, direction: LineDirection) -> bool {
        self.line(direction, |line| line.rate.is_some())
    }

    /// Puts bytes on a line; the time at which they have passed it.
    pub fn transmit(&self, direction: LineDirection, bytes: usize, now: Instant) -> Instant {
        self.line(direction, |line| line.transmit(bytes, now))
    }

    /// Bytes that streams have put on one end of a line.
    pub fn bytes(&self, direction: LineDirection) -> u64 {
        self.line(direction, |line| line.bytes)
    }

    /// Open connections go silent.
    pub fn silence(&self, silence: Silence) {
        self.silences.lock().expect(SILENCES_LOCK_PANICKED).push(silence);
    }

    /// Whether the bytes that go `there` or back on a connection opened at `opened` are swallowed.
    pub fn discards(&self, zone: ZoneNumber, to_target: bool, opened: Instant) -> bool {
        let silences = self.silences.lock().expect(SILENCES_LOCK_PANICKED);
        silences.iter().any(|silence| {
            let is_affected = match silence.direction {
                SilencedDirection::ToTarget => to_target,
                SilencedDirection::FromTarget => !to_target,
                SilencedDirection::Both => true,
            };
            silence.zone == zone && is_affected && opened < silence.opened_before
        })
    }

    /// The network has carried nothing for so long, though it might have.
    pub fn record_pause(&self, pause: Duration) {
        self.longest_pause_us.fetch_max(pause.as_micros() as u64, Ordering::AcqRel);
    }

    /// The longest time for which the network has carried nothing, though it might have.
    pub fn longest_pause(&self) -> Duration {
        Duration::from_micros(self.longest_pause_us.load(Ordering::Acquire))
    }

    /// The zone of an address, or `otherwise` for addresses of none.
    pub fn zone_or(&self, address: IpAddr, otherwise: ZoneNumber) -> ZoneNumber {
        zone_of(address, self.zones).unwrap_or(otherwise)
    }

    /// Ends the event loop.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Whether the event loop is to end.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }
}

/// The zone that owns an address, in a network of `zones` zones.
pub fn zone_of(address: IpAddr, zones: usize) -> Option<ZoneNumber> {
    let IpAddr::V4(address) = address else { return None };
    let [first, second, ..] = address.octets();
    let number = usize::from(second).checked_sub(FIRST_ZONE_OCTET)?;
    (first == 127 && number < zones).then_some(ZoneNumber(number))
}
