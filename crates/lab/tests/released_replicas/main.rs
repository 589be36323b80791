//! A promotion releases every replica, also one that does not reach the successor. Such a replica goes
//! on with the old primary's log, confirms its commits, and reports the old term. Guards against a node
//! that takes this for a sign that the old primary still leads: it has lost the store and the other
//! nodes, and does not hear of the replacement.

mod clients;
mod follower;
mod old_primary;
mod world;
