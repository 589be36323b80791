//! Connections from a machine's own address.

use std::net::{TcpListener, TcpStream};

use kestrellock_daemon::net::connect::connect_from;
use kestrellock_daemon::net::liveness::{OF_CALLERS, TO_INSTANCES};
use socket2::SockRef;

#[test]
fn a_port_in_use_by_a_connection_can_be_listened_on() {
    let elsewhere = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = elsewhere.local_addr().expect("its address");
    let connection = connect_from(address.ip(), address, None).expect("it begins to connect");
    let (_accepted, client) = elsewhere.accept().expect("it connects");
    assert_eq!(connection.local_addr().expect("its address"), client);
    TcpListener::bind(client).expect("a node started again gets its port");
}

#[test]
fn limits_for_silence_are_in_force_on_connections_to_instances() {
    let instance = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = instance.local_addr().expect("its address");
    let connection =
        connect_from(address.ip(), address, Some(&TO_INSTANCES)).expect("it begins to connect");
    let socket = SockRef::from(&connection);
    assert!(socket.keepalive().expect("the option"));
    assert_eq!(socket.tcp_keepalive_time().expect("the option"), TO_INSTANCES.idle);
    assert_eq!(socket.tcp_keepalive_interval().expect("the option"), TO_INSTANCES.interval);
    assert_eq!(socket.tcp_user_timeout().expect("the option"), TO_INSTANCES.unacknowledged);
}

#[test]
fn accepted_connections_have_the_limits_of_their_listener() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    OF_CALLERS.set_on(&listener).expect("the options");
    let address = listener.local_addr().expect("its address");
    let _caller = TcpStream::connect(address).expect("it connects");
    let (accepted, _) = listener.accept().expect("it connects");
    let socket = SockRef::from(&accepted);
    assert!(socket.keepalive().expect("the option"));
    assert_eq!(socket.tcp_keepalive_time().expect("the option"), OF_CALLERS.idle);
}
