//! A platform on which a primary is replaced while a node reaches that primary and one replica only.

use std::thread;
use std::time::Duration;

use kestrellock_lab::platform::{
    Platform, PlatformOptions, ZONES, node_relay_zone, store_relay_zone, wait,
};
use kestrellock_lab::standin::instances::InstanceGroup;

use crate::clients::{Clients, REST};

const NODES: usize = 3;
/// The node that loses the store and the other nodes.
pub const CUT_OFF_NODE: usize = 2;
/// A node that keeps them.
const OTHER_NODE: usize = 0;
/// Numbers of the first primary, of its successor, and of the replica that does not reach it.
const FORMER: usize = 0;
const SUCCESSOR: usize = 1;
const RELEASED: usize = 2;
/// Time after which all nodes that reach the store list an instance that has joined.
const LISTING_TIME: Duration = Duration::from_millis(1_500);
/// Number of violations that a failure shows.
const MAX_SHOWN: usize = 5;

/// A platform, and clients of a node that keeps the store.
pub struct World {
    pub platform: Platform,
    pub former: String,
    pub successor: String,
    /// The replica that does not reach the successor.
    pub released: String,
    /// Writers at a node that keeps the store.
    pub outside: Clients,
}

impl World {
    /// Starts a platform, and a writer at a node that keeps the store.
    pub fn start(replica_lag: Duration) -> Self {
        let options = PlatformOptions {
            nodes: NODES,
            replica_lag,
            relayed: true,
            partitionable: true,
            ..PlatformOptions::default()
        };
        let platform = Platform::start(options).expect("it starts");
        platform.wait_until_ready().expect("it is ready");
        let names = platform.groups[0].instances();
        let [former, successor, released] =
            [FORMER, SUCCESSOR, RELEASED].map(|number| names[number].clone());
        assert_eq!(platform.groups[0].primary().as_ref(), Some(&former));
        let outside = Clients::at(&platform, OTHER_NODE);
        outside.start(outside.open("outside").expect("it opens"), &["WRITE thing outside"], REST);
        wait("writes are acknowledged", || !outside.succeeded().is_empty()).expect("in time");
        Self { platform, former, successor, released, outside }
    }

    pub fn group(&self) -> &InstanceGroup {
        &self.platform.groups[0]
    }

    /// Cuts the node off. From then on the replicas do not reach each other, and only the one that is
    /// going to be chosen receives commits.
    pub fn cut_off(&self) {
        let group = self.group();
        group.set_separated(&self.successor, &self.released, true);
        group.set_replication_blocked(&self.released, true);
        wait("the successor has the longer log", || {
            group.log(&self.successor).len() > group.log(&self.released).len()
        })
        .expect("in time");
        self.platform.partition_nodes(&[CUT_OFF_NODE], FORMER, &[RELEASED]);
    }

    /// Has the node lose the store and the other nodes, and then an instance join, which is going to
    /// be chosen and which the node does not list. Then cuts the node off from everything but the
    /// first primary and the two replicas that it lists. From then on only the joined instance receives commits, and the
    /// replicas do not reach it.
    pub fn cut_off_beside_joined(&mut self) {
        let network = self.platform.network.as_ref().expect("a platform with relays");
        let reached_before = (0..NODES).filter(|node| *node != CUT_OFF_NODE).map(node_relay_zone);
        for zone in reached_before.chain([store_relay_zone()]) {
            network.cut(&node_relay_zone(CUT_OFF_NODE), &zone);
        }
        let group = self.group();
        let joined = group.join(ZONES[SUCCESSOR]).expect("it starts");
        let has_more_than = |other: &String| group.log(&joined).len() > group.log(other).len();
        for replica in [&self.successor, &self.released] {
            group.set_replication_blocked(replica, true);
            group.set_separated(&joined, replica, true);
            wait("the joined instance has the longer log", || has_more_than(replica))
                .expect("in time");
        }
        thread::sleep(LISTING_TIME);
        self.platform.partition_nodes(&[CUT_OFF_NODE], FORMER, &[SUCCESSOR, RELEASED]);
        self.successor = joined;
    }

    /// Waits until the other nodes have stopped the replicas. Returns how long the log of the one that
    /// is going to be chosen is.
    pub fn wait_for_stops(&self) -> usize {
        let group = self.group();
        wait("the replicas are stopped", || {
            [&self.successor, &self.released].into_iter().all(|name| group.is_stopped(name))
        })
        .expect("in time");
        group.log(&self.successor).len()
    }

    /// Waits until the successor leads. From then on the released replica receives commits of the
    /// old primary.
    pub fn wait_for_successor(&self) {
        wait("the successor leads", || self.group().primary().as_ref() == Some(&self.successor))
            .expect("in time");
        self.group().set_replication_blocked(&self.released, false);
    }

    /// Lets the other instances that the cut-off node lists as replicas follow the successor.
    pub fn connect_successor(&self) {
        let group = self.group();
        for replica in [SUCCESSOR, RELEASED].map(|number| group.instances()[number].clone()) {
            group.set_separated(&self.successor, &replica, false);
            group.set_replication_blocked(&replica, false);
        }
    }

    /// Waits until a client has got a commit of the successor, whose log had `log_length` commits when
    /// it was promoted, as acknowledged.
    pub fn wait_for_commit_of_successor(&self, log_length: usize) {
        wait("the successor acknowledges a commit", || {
            let acknowledged = self.outside.succeeded();
            let commits = self.group().log(&self.successor).split_off(log_length);
            commits.iter().flat_map(|commit| &commit.ids).any(|id| acknowledged.contains(id))
        })
        .expect("in time");
    }

    /// Number of reads and writes of clients that the first primary has run.
    pub fn runs_at_former(&self) -> usize {
        let executed = self.group().executed_statements();
        executed.iter().filter(|run| run.instance == self.former).count()
    }

    /// Asserts that no statement ran on a log that lacks a commit which was acknowledged before.
    pub fn assert_statements_ran_on_current_logs(&self) {
        let violations = self.platform.clients.violations(&self.platform.groups);
        let shown: Vec<String> =
            violations.iter().take(MAX_SHOWN).map(ToString::to_string).collect();
        let count = violations.len();
        assert!(shown.is_empty(), "{count} statements broke a rule:\n{}", shown.join("\n"));
    }
}
