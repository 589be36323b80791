//! Connections that are bound to this machine's address, and their TCP options.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};

use kestrellock_core::ids::{NodeName, ZoneName};
use kestrellock_daemon::agent::promotion::process_probes::probe;
use kestrellock_daemon::net::connect::connect_from;
use kestrellock_daemon::net::keepalive::{CLIENT_KEEPALIVE, INSTANCE_KEEPALIVE};
use kestrellock_daemon::node::Listeners;
use kestrellock_daemon::settings::Settings;
use kestrellock_net::source::SourceAddress;
use socket2::SockRef;

#[test]
fn a_listener_can_bind_to_the_local_port_of_a_connection() {
    let elsewhere = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = elsewhere.local_addr().expect("its address");
    let connection = connect_from(SourceAddress::new(address.ip()), address, None)
        .expect("it starts to connect");
    let (_accepted, client) = elsewhere.accept().expect("it connects");
    assert_eq!(connection.local_addr().expect("its address"), client);
    TcpListener::bind(client).expect("a restarted node can bind its port");
}

#[test]
fn connections_to_instances_have_keepalive_and_user_timeouts() {
    let instance = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = instance.local_addr().expect("its address");
    let connection =
        connect_from(SourceAddress::new(address.ip()), address, Some(&INSTANCE_KEEPALIVE))
            .expect("it starts to connect");
    let socket = SockRef::from(&connection);
    assert!(socket.keepalive().expect("the option"));
    assert_eq!(socket.tcp_keepalive_time().expect("the option"), INSTANCE_KEEPALIVE.idle);
    assert_eq!(socket.tcp_keepalive_interval().expect("the option"), INSTANCE_KEEPALIVE.interval);
    assert_eq!(socket.tcp_user_timeout().expect("the option"), INSTANCE_KEEPALIVE.unacknowledged);
}

#[test]
fn accepted_connections_inherit_the_keepalive_of_their_listener() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    CLIENT_KEEPALIVE.apply_to(&listener).expect("the options");
    let address = listener.local_addr().expect("its address");
    let _client = TcpStream::connect(address).expect("it connects");
    let (accepted, _) = listener.accept().expect("it connects");
    let socket = SockRef::from(&accepted);
    assert!(socket.keepalive().expect("the option"));
    assert_eq!(socket.tcp_keepalive_time().expect("the option"), CLIENT_KEEPALIVE.idle);
}

/// Guards against probes that pass a partition of addresses: the other side then looks alive.
#[test]
fn a_probe_for_a_process_comes_from_the_nodes_address() {
    let node = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let source = IpAddr::V4(Ipv4Addr::new(127, 202, 0, 7));
    probe(SourceAddress::new(source), node.local_addr().expect("its address"));
    assert_eq!(node.accept().expect("a probe").1.ip(), source);
}

/// Guards against a node that starts with an address that its machine does not have, and cannot
/// reach anything from it.
#[test]
fn a_node_does_not_start_with_an_address_that_its_machine_does_not_have() {
    let mut settings = Settings::loopback(NodeName::new("node"), ZoneName::new("zone"));
    // Reserved for documentation.
    settings.peer_address = SocketAddr::from(([192, 0, 2, 1], 0));
    let error = Listeners::bind(&mut settings).err().expect("it cannot listen");
    assert!(error.to_string().starts_with("cannot listen on 192.0.2.1:0: "), "{error}");
}
