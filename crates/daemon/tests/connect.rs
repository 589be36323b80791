//! Connections from a machine's own address.

use std::net::TcpListener;

use kestrellock_daemon::net::connect::connect_from;

#[test]
fn a_port_in_use_by_a_connection_can_be_listened_on() {
    let elsewhere = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = elsewhere.local_addr().expect("its address");
    let connection = connect_from(address.ip(), address).expect("it begins to connect");
    let (_accepted, caller) = elsewhere.accept().expect("it connects");
    assert_eq!(connection.local_addr().expect("its address"), caller);
    TcpListener::bind(caller).expect("a node started again gets its port");
}
