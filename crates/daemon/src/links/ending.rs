//! The end of links when a node stops.
//!
//! A node that stops sends what is queued, then ends its stream on every link, and keeps reading
//! until the other nodes have closed. Closing a socket with unread input makes TCP send a reset, and
//! a reset destroys answers that the other node has not read yet.

use kestrellock_core::ids::NodeName;

use super::Links;
use super::link::{Link, LinkStage};
use crate::event::Io;

fn is_in_use(link: &Link) -> bool {
    link.is_established() && link.stage() == LinkStage::InUse
}

impl Links {
    /// The gateways of `node` have said that they run nothing more. Messages for them are returned
    /// as not sent from now on, so that they go elsewhere.
    pub fn on_left(&mut self, node: &NodeName) {
        let links = self.links.iter_mut().map(|(_, link)| link);
        links.filter(|link| link.node() == Some(node)).for_each(Link::on_peer_left);
    }

    /// Whether the kernel has taken all messages for other nodes.
    pub fn are_flushed(&self) -> bool {
        self.links.iter().filter(|(_, link)| is_in_use(link)).all(|(_, link)| link.is_flushed())
    }

    /// Ends the stream to every other node.
    pub fn end(&mut self, io: &mut Io) {
        self.flush(io);
        let links = self.links.iter_mut().map(|(_, link)| link);
        links.filter(|link| is_in_use(link)).for_each(Link::end);
    }

    /// Whether the other nodes have closed every link.
    pub fn are_closed(&self) -> bool {
        !self.links.iter().any(|(_, link)| is_in_use(link))
    }
}
