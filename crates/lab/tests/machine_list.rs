//! Nodes find each other through the platform's list, although it lags and lies.

use std::sync::Arc;
use std::time::{Duration, Instant};

use kestrellock_core::ids::{NodeName, ZoneName};
use kestrellock_daemon::node::{Listeners, Node};
use kestrellock_daemon::policy::Policy;
use kestrellock_daemon::settings::Settings;
use kestrellock_lab::standin::machines::{ListedMachine, ListedState, MachineListServer};
use kestrellock_net::source::SourceAddress;
use kestrellock_store::etcd::EtcdStore;
use kestrellock_store::machines::{HttpMachineList, MachineList};

const NODES: usize = 3;
const LIMIT: Duration = Duration::from_secs(60);

fn listed(settings: &Settings) -> ListedMachine {
    ListedMachine {
        node: settings.node.clone(),
        zone: settings.zone.clone(),
        peer_address: settings.peer_address,
        state: ListedState::Live,
    }
}

#[test]
fn nodes_without_peers_in_their_settings_join_through_the_list() {
    let server = MachineListServer::start().expect("a list");
    let mut all = Vec::new();
    let mut listeners = Vec::new();
    for number in 0..NODES {
        let node = NodeName::new(format!("node-{number}"));
        let mut settings = Settings::loopback(node, ZoneName::new("z"));
        settings.machine_list = Some(format!("{}/machines", server.endpoint()));
        listeners.push(Listeners::bind(&mut settings).expect("free ports"));
        all.push(settings);
    }
    let mut machines: Vec<ListedMachine> = all.iter().map(listed).collect();
    // A machine that is long gone, listed first.
    let gone = ListedMachine {
        node: NodeName::new("gone"),
        peer_address: ([127, 0, 0, 1], 9).into(),
        ..machines[0].clone()
    };
    machines.insert(0, gone);
    server.set_machines(machines);
    let store = Arc::new(EtcdStore::new(vec!["http://127.0.0.1:1".to_owned()], SourceAddress::ANY));
    let nodes: Vec<Node> = all
        .iter()
        .zip(listeners)
        .map(|(settings, listeners)| {
            Node::start(settings, listeners, store.clone(), Policy::Standard).expect("it starts")
        })
        .collect();
    let end = Instant::now() + LIMIT;
    while !nodes.iter().all(|node| node.context.live.load().len() == NODES) {
        assert!(Instant::now() < end, "the nodes did not find each other");
        std::thread::sleep(Duration::from_millis(20));
    }
    nodes.into_iter().for_each(Node::kill);
}

#[test]
fn the_list_s_faults_are_errors_and_its_answers_whole() {
    let server = MachineListServer::start().expect("a list");
    let list = HttpMachineList::new(format!("{}/machines", server.endpoint()), SourceAddress::ANY);
    assert_eq!(list.machines().expect("an empty list"), []);
    let settings = Settings::loopback(NodeName::new("a"), ZoneName::new("z"));
    server.set_machines(vec![listed(&settings)]);
    let machines = list.machines().expect("one machine");
    assert_eq!((machines.len(), machines[0].node.as_str()), (1, "a"));
    server.set_outage(true);
    assert!(list.machines().is_err());
    server.set_outage(false);
    assert!(list.machines().is_ok());
    assert!(
        HttpMachineList::new(format!("{}/nothing", server.endpoint()), SourceAddress::ANY)
            .machines()
            .is_err()
    );
}
