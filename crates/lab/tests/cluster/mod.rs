//! A store and nodes without back ends, driven by the operators' command line.

#![allow(dead_code, reason = "each test file uses a part")]

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use argh::FromArgs;
use kestrellock_core::ids::{NodeName, ZoneName};
use kestrellock_ctl::arguments::Arguments;
use kestrellock_daemon::node::{Listeners, Node};
use kestrellock_daemon::policy::Policy;
use kestrellock_daemon::settings::{PeerSettings, Settings};
use kestrellock_lab::standin::store::PlatformStore;
use kestrellock_net::source::SourceAddress;
use kestrellock_program::secret::Secret;
use kestrellock_store::etcd::EtcdStore;

const TOKEN: &str = "a-token-nobody-guesses";
const LIMIT: Duration = Duration::from_secs(30);

/// What a run of the command line led to.
pub struct Told {
    pub outcome: Result<(), String>,
    pub output: String,
}

impl Told {
    /// The output of a run that succeeded.
    pub fn done(self) -> String {
        self.outcome.unwrap_or_else(|error| panic!("{error}\n{}", self.output));
        self.output
    }

    /// The error of a run that failed.
    pub fn failed(self) -> String {
        self.outcome.expect_err(&self.output)
    }
}

/// Files of one test, removed with it.
pub struct Files {
    folder: PathBuf,
}

impl Files {
    /// A folder of its own.
    pub fn new(test: &str) -> Self {
        let name = format!("kestrellock-{test}-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("a folder for files");
        Self { folder }
    }

    /// Writes a file and gives its path.
    pub fn write(&self, name: &str, text: &str) -> String {
        let path = self.folder.join(name);
        std::fs::write(&path, text).expect("a file is written");
        path.display().to_string()
    }
}

impl Drop for Files {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Nodes on loopback.
pub struct Cluster {
    pub nodes: Vec<Node>,
    pub settings: Vec<Settings>,
    pub files: Files,
    store: Arc<EtcdStore>,
    token_file: String,
}

impl Cluster {
    /// Starts one node for each zone named.
    pub fn start(test: &str, store: &PlatformStore, zones: &[&str]) -> Self {
        let files = Files::new(test);
        let token_file = files.write("token", TOKEN);
        let endpoints = vec![store.endpoint()];
        let (settings, listeners) = bind(zones, &endpoints);
        let store = Arc::new(EtcdStore::new(endpoints, SourceAddress::ANY));
        let nodes = settings.iter().zip(listeners).map(|(settings, listeners)| {
            Node::start(settings, listeners, store.clone(), Policy::Standard).expect("it starts")
        });
        let nodes = nodes.collect();
        let cluster = Self { nodes, settings, files, store, token_file };
        cluster.wait_for("membership", |node| node.context.live.load().len() == zones.len());
        cluster
    }

    /// Runs `kestrellockctl` against a node.
    pub fn ctl(&self, node: usize, words: &[&str]) -> Told {
        let address = self.settings[node].admin_address.to_string();
        let mut all = vec!["--node", &address, "--token-file", &self.token_file];
        all.extend(words);
        let arguments = Arguments::from_args(&["kestrellockctl"], &all).expect("right use");
        let mut output = Vec::new();
        let outcome = kestrellock_ctl::run(arguments, &mut output);
        let outcome = outcome.map_err(|report| format!("{report:?}"));
        Told { outcome, output: String::from_utf8(output).expect("text") }
    }

    /// Waits until every node satisfies a condition.
    pub fn wait_for(&self, what: &str, holds: impl Fn(&Node) -> bool) {
        let limit = Instant::now() + LIMIT;
        while !self.nodes.iter().all(&holds) {
            assert!(Instant::now() < limit, "{what}: not in time");
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Kills a node and starts another one in its place, on new ports.
    pub fn restart(&mut self, node: usize) {
        self.nodes.remove(node).kill();
        let settings = &mut self.settings[node];
        for address in
            [&mut settings.caller_address, &mut settings.peer_address, &mut settings.admin_address]
        {
            address.set_port(0);
        }
        let listeners = Listeners::bind(settings).expect("free ports");
        let started = Node::start(settings, listeners, self.store.clone(), Policy::Standard);
        self.nodes.insert(node, started.expect("it starts"));
    }

    /// Stops the nodes.
    pub fn stop(self) {
        self.nodes.into_iter().for_each(Node::kill);
    }
}

fn bind(zones: &[&str], endpoints: &[String]) -> (Vec<Settings>, Vec<Listeners>) {
    let mut all = Vec::new();
    let mut listeners = Vec::new();
    for (number, zone) in zones.iter().enumerate() {
        let node = NodeName::new(format!("node-{number}"));
        let mut settings = Settings::loopback(node, ZoneName::new(zone));
        settings.store_endpoints = endpoints.to_vec();
        settings.secrets.admin_token = Some(Secret::new(TOKEN));
        listeners.push(Listeners::bind(&mut settings).expect("free ports"));
        all.push(settings);
    }
    let peers: Vec<PeerSettings> = all.iter().map(peer_of).collect();
    for settings in &mut all {
        let own: SocketAddr = settings.peer_address;
        settings.peers = peers.iter().filter(|peer| peer.address != own).cloned().collect();
    }
    (all, listeners)
}

fn peer_of(settings: &Settings) -> PeerSettings {
    PeerSettings {
        node: settings.node.clone(),
        zone: settings.zone.clone(),
        address: settings.peer_address,
    }
}
