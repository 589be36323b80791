//! State of the links between zones.

use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use super::FIRST_ZONE_OCTET;

/// Position of a zone in its network.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
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

/// All ways between the zones of a network.
#[derive(Debug)]
pub struct Links {
    zones: usize,
    links: Mutex<Vec<Link>>,
    stopping: AtomicBool,
}

impl Links {
    /// Links without delay, loss or cuts.
    pub fn new(zones: usize) -> Self {
        let links = Mutex::new(vec![Link::default(); zones * zones]);
        Self { zones, links, stopping: AtomicBool::new(false) }
    }

    fn locked(&self) -> MutexGuard<'_, Vec<Link>> {
        self.links.lock().expect("a holder of the links lock panicked")
    }

    /// The link from one zone to another.
    pub fn get(&self, from: ZoneNumber, to: ZoneNumber) -> Link {
        self.locked()[from.0 * self.zones + to.0]
    }

    /// Changes the link from one zone to another.
    pub fn change(&self, from: ZoneNumber, to: ZoneNumber, change: impl FnOnce(&mut Link)) {
        change(&mut self.locked()[from.0 * self.zones + to.0]);
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
