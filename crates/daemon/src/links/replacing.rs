//! Retires links on which the other node is silent, and replaces them.
//!
//! A link goes through three stages. In use, it carries messages both ways. When its node is silent
//! it is retired: nothing more is sent on it, messages that still arrive count, and a new link is
//! opened. Once the new link is established to the same process, the old one is sealed: this node
//! reads what has arrived, ignores everything later, and keeps the socket open until the other node
//! has done the same. Both nodes then reconcile their leases on the new link
//! (`shard::reconnecting`).
//!
//! While no new link is established, the node is reported as silent at intervals and work is routed
//! to other nodes.

use std::time::{Duration, Instant};

use kestrellock_core::ids::NodeName;
use kestrellock_peer::channel::Hello;
use kestrellock_peer::message::PeerMessage;

use super::duplicates::LinkId;
use super::heartbeat::HeartbeatAction;
use super::link::{Link, LinkStage, Received, log_closed};
use super::{LinkReplacement, Links, Origin};
use crate::event::Io;
use crate::metrics::ConnectionEvent;

/// How long a replaced connection is kept open if the other node never reports that it has read
/// what arrived on it. Closing earlier could destroy data that it has not read yet.
const REPLACED_LINK_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval between reports of a silent node to which no new link is established. Work avoids a
/// reported node for one second, so reporting twice as often leaves no gap.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Why messages that arrive on a connection from now on are ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SealReason {
    /// The other node was silent on it.
    Silent,
    /// Another connection to the same process is established, and both ends keep that one.
    Duplicate,
}

impl SealReason {
    fn log_and_count(self, peer: &Hello, received: usize, io: &Io) {
        let (peer, received) = (peer.node.as_str(), received as u64);
        match self {
            Self::Silent => {
                io.context.metrics.link_connections.count(ConnectionEvent::Silent);
                log::info!(event = "link_replaced", peer = peer, received = received; "replaced a silent connection to another node with a new one");
            }
            Self::Duplicate => {
                io.context.metrics.link_connections.count(ConnectionEvent::Duplicate);
                log::info!(event = "link_doubled", peer = peer, received = received; "two connections to another node were established; both nodes keep the same one");
            }
        }
    }
}

impl Links {
    /// Seals the retired links to a node after a new link to it was established. A retired link to
    /// an earlier process is closed instead.
    pub(super) fn seal_retired_links(&mut self, peer: &Hello, io: &mut Io) {
        let is_retired =
            |link: &Link| link.stage() == LinkStage::Retired && link.node() == Some(&peer.node);
        let retired: Vec<usize> =
            self.links.iter().filter(|(_, link)| is_retired(link)).map(|(key, _)| key).collect();
        for key in retired {
            let known = self.links[key].peer().map(|known| (known.incarnation, known.shards));
            match known == Some((peer.incarnation, 1)) && self.hello.shards == 1 {
                true => self.seal(key, peer, SealReason::Silent, io),
                // The process that had the exchanges has terminated, or the nodes have several
                // shards and cannot reconcile their leases: report the exchanges as lost.
                false => self.close(key, io),
            }
        }
    }

    /// The connection to a node that was retired most recently.
    pub(super) fn retired_link(&self, node: &NodeName) -> Option<LinkId> {
        let is_retired =
            |link: &&Link| link.stage() == LinkStage::Retired && link.node() == Some(node);
        let retired = self.links.iter().map(|(_, link)| link).filter(is_retired);
        let newest = retired.max_by_key(|link| link.opened())?;
        newest.info(&self.hello.node).map(|info| info.id)
    }

    /// Reads what has arrived on a connection and ignores everything that arrives later.
    pub(super) fn seal(&mut self, key: usize, peer: &Hello, reason: SealReason, io: &mut Io) {
        self.by_node.retain(|_, used| *used != key);
        let link = &mut self.links[key];
        // An error is irrelevant: the connection is out of use.
        let _ = link.fill();
        let Received { messages: received, violation, .. } = link.advance(io.now);
        if let Some(error) = &violation {
            log_closed(error, io);
        }
        link.discard_input();
        link.set_stage(LinkStage::Replaced { since: io.now });
        reason.log_and_count(peer, received.len(), io);
        let old = Origin { node: peer.node.clone(), opened: link.opened() };
        self.replacements.push(LinkReplacement { old, received });
    }

    /// Pings nodes that owe answers, and retires links on which they stay silent.
    pub(super) fn check_heartbeats(&mut self, io: &mut Io) {
        let mut silent = Vec::new();
        for (key, link) in &mut self.links {
            match link.on_tick(io.now) {
                HeartbeatAction::Nothing => {}
                HeartbeatAction::Ping => {
                    io.context.isolation.report_trouble();
                    // A link that cannot take the ping soon counts as silent.
                    let _ = link.send(PeerMessage::Ping, io.now);
                    self.unflushed.push(key);
                }
                HeartbeatAction::Silent => {
                    io.context.isolation.report_trouble();
                    link.log_silence(io.now);
                    silent.push(key);
                }
            }
        }
        if silent.is_empty() {
            return;
        }
        for key in silent {
            self.retire(key, io);
        }
        self.ping_quiet_links(io.now);
    }

    /// Takes a link out of use on which its node was silent, and opens a new one.
    fn retire(&mut self, key: usize, io: &mut Io) {
        let link = &mut self.links[key];
        link.set_stage(LinkStage::Retired);
        let Some(node) = link.node().cloned() else { return };
        self.by_node.retain(|_, used| *used != key);
        self.connect(&node, io);
        self.silent.push(node);
    }

    /// Pings all links on which no answer is outstanding. The failure that silenced one link may
    /// have broken others that are idle; the next exchange on such a link would get no answer.
    fn ping_quiet_links(&mut self, now: Instant) {
        for (key, link) in &mut self.links {
            if link.ping_if_quiet(now) {
                self.unflushed.push(key);
            }
        }
    }

    /// Reports nodes whose link was retired and not yet replaced, so that work avoids them, and
    /// opens the new link again if that failed.
    pub(super) fn check_retired_links(&mut self, io: &mut Io) {
        if io.now < self.next_report {
            return;
        }
        self.next_report = io.now + REPORT_INTERVAL;
        let is_retired = |link: &&Link| link.stage() == LinkStage::Retired;
        let retired = self.links.iter().map(|(_, link)| link).filter(is_retired);
        let nodes: Vec<NodeName> = retired.filter_map(|link| link.node().cloned()).collect();
        for node in nodes {
            if !self.by_node.contains_key(&node) {
                self.connect(&node, io);
            }
            self.silent.push(node);
        }
    }

    /// Removes replaced links to `node`, which has reported that it read what had arrived on them.
    pub fn close_replaced(&mut self, node: &NodeName, io: &mut Io) {
        let is_done = |link: &Link| {
            let replaced = matches!(link.stage(), LinkStage::Replaced { .. });
            replaced && link.node() == Some(node)
        };
        self.remove_where(is_done, io);
    }

    /// Removes links that were replaced longer ago than the timeout.
    pub(super) fn remove_expired_replaced(&mut self, io: &mut Io) {
        let now = io.now;
        let is_obsolete = |link: &Link| match link.stage() {
            LinkStage::Replaced { since } => now > since + REPLACED_LINK_TIMEOUT,
            LinkStage::InUse | LinkStage::Retired => false,
        };
        self.remove_where(is_obsolete, io);
    }

    pub(super) fn remove_where(&mut self, is_obsolete: impl Fn(&Link) -> bool, io: &mut Io) {
        let expired: Vec<usize> =
            self.links.iter().filter(|(_, link)| is_obsolete(link)).map(|(key, _)| key).collect();
        expired.into_iter().for_each(|key| self.remove(key, io));
    }

    /// Removes a replaced link, on which no exchange is in progress.
    pub(super) fn remove(&mut self, key: usize, io: &mut Io) {
        if let Some(mut link) = self.links.try_remove(key) {
            link.deregister(io.registry);
            io.context.metrics.link_connections.count(ConnectionEvent::Closed);
        }
    }
}
