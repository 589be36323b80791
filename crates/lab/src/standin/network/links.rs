//! State of the links between zones.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use super::FIRST_ZONE_OCTET;

const SILENCES_LOCK_PANICKED: &str = "a holder of the silences lock panicked";

/// Index of a zone in its network.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ZoneNumber(pub usize);

/// The link from one zone to another, in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Link {
    /// One-way delay.
    pub delay: Duration,
    /// Fraction of datagrams that are lost.
    pub loss: f64,
    /// Whether the link carries nothing.
    pub cut: bool,
}

/// The direction of a connection in which bytes are discarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SilencedDirection {
    /// From the client to the target.
    ToTarget,
    /// From the target to the client.
    FromTarget,
    /// Both directions.
    Both,
}

/// Selects open connections whose bytes are discarded.
#[derive(Clone, Copy, Debug)]
pub struct Silence {
    /// Zone of the exposed targets.
    pub zone: ZoneNumber,
    /// Direction in which bytes are discarded.
    pub direction: SilencedDirection,
    /// Connections opened before this time are affected; later ones work.
    pub opened_before: Instant,
}

/// One direction of a zone's line, which all streams to its exposed targets share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LineDirection {
    /// Zone of the exposed targets.
    pub zone: ZoneNumber,
    /// Whether the bytes go to the targets rather than come from them.
    pub to_target: bool,
}

/// State of one direction of a line.
#[derive(Clone, Copy, Debug, Default)]
struct ZoneLine {
    /// Bandwidth in bytes per second; `None` if it is unlimited.
    rate: Option<f64>,
    /// When the line has carried all bytes sent so far.
    idle_at: Option<Instant>,
    /// Number of bytes sent.
    bytes: u64,
}

impl ZoneLine {
    /// Sends `bytes` over the line. Returns when the line will have carried them.
    fn transmit(&mut self, bytes: usize, now: Instant) -> Instant {
        self.bytes += bytes as u64;
        let Some(rate) = self.rate else { return now };
        let starts_at = self.idle_at.map_or(now, |idle_at| idle_at.max(now));
        let ends_at = starts_at + Duration::from_secs_f64(bytes as f64 / rate);
        self.idle_at = Some(ends_at);
        ends_at
    }
}

/// All links between the zones of a network.
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
    /// Creates links without delay, loss or cuts.
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

    /// Limits the total bandwidth of all streams in one direction of a line, in bytes per second.
    pub fn set_rate(&self, direction: LineDirection, rate: f64) {
        self.line(direction, |line| line.rate = Some(rate));
    }

    /// Whether the bandwidth in one direction of a line is limited.
    pub fn is_limited(&self, direction: LineDirection) -> bool {
        self.line(direction, |line| line.rate.is_some())
    }

    /// Sends `bytes` over a line. Returns when the line will have carried them.
    pub fn transmit(&self, direction: LineDirection, bytes: usize, now: Instant) -> Instant {
        self.line(direction, |line| line.transmit(bytes, now))
    }

    /// Number of bytes that streams have sent in one direction of a line.
    pub fn bytes(&self, direction: LineDirection) -> u64 {
        self.line(direction, |line| line.bytes)
    }

    /// Silences open connections.
    pub fn silence(&self, silence: Silence) {
        self.silences.lock().expect(SILENCES_LOCK_PANICKED).push(silence);
    }

    /// Whether bytes in the given direction are discarded on a connection opened at `opened`.
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

    /// Records a time for which the network has carried nothing for lack of processor time.
    pub fn record_pause(&self, pause: Duration) {
        self.longest_pause_us.fetch_max(pause.as_micros() as u64, Ordering::AcqRel);
    }

    /// The longest recorded pause.
    pub fn longest_pause(&self) -> Duration {
        Duration::from_micros(self.longest_pause_us.load(Ordering::Acquire))
    }

    /// The zone that owns an address, or `otherwise` if no zone does.
    pub fn zone_or(&self, address: IpAddr, otherwise: ZoneNumber) -> ZoneNumber {
        zone_of(address, self.zones).unwrap_or(otherwise)
    }

    /// Tells the event loop to end.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Whether the event loop has been told to end.
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
