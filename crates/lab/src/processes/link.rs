//! Links of a node to the store and to the promotion service.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::standin::delaying_relay::{DelayingRelay, LinkDelay};
use crate::standin::relay::{Partition, Relay, RelayObserver};

/// The trouble that the links of a node have while it is active.
#[derive(Clone, Debug)]
pub enum LinkFault {
    /// They carry nothing, and hold bytes back.
    Partition(Arc<Partition>),
    /// They carry everything, but late.
    Delay(Arc<LinkDelay>),
}

/// A running relay of a link.
#[derive(Debug)]
pub enum LinkRelay {
    /// It can be partitioned.
    Partitioned(Relay),
    /// It can delay bytes.
    Delaying(DelayingRelay),
}

impl LinkFault {
    /// Begins the fault.
    pub fn begin(&self) {
        match self {
            Self::Partition(partition) => partition.begin(),
            Self::Delay(delay) => delay.begin(),
        }
    }

    /// Ends the fault.
    pub fn end(&self) {
        match self {
            Self::Partition(partition) => partition.end(),
            Self::Delay(delay) => delay.end(),
        }
    }

    /// Whether the fault is active.
    pub fn is_active(&self) -> bool {
        match self {
            Self::Partition(partition) => partition.is_active(),
            Self::Delay(delay) => delay.is_active(),
        }
    }

    /// Starts a relay to `target` that has this fault.
    pub fn relay(&self, target: SocketAddr, observer: Arc<RelayObserver>) -> io::Result<LinkRelay> {
        Ok(match self {
            Self::Partition(partition) => {
                LinkRelay::Partitioned(Relay::start(target, partition.clone(), observer)?)
            }
            Self::Delay(delay) => {
                LinkRelay::Delaying(DelayingRelay::start(target, delay.clone(), observer)?)
            }
        })
    }
}

impl LinkRelay {
    /// Address on which it listens.
    pub fn address(&self) -> SocketAddr {
        match self {
            Self::Partitioned(relay) => relay.address(),
            Self::Delaying(relay) => relay.address(),
        }
    }
}
