//! Relays between zones: delay, loss, cuts, and what goes on after a cut heals.

use std::io::{Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use kestrellock_core::ids::ZoneName;
use kestrellock_lab::standin::network::Network;
use kestrellock_lab::standin::network::links::SilencedDirection;
use socket2::{Domain, Socket, Type};

const PATIENCE: Duration = Duration::from_secs(30);
/// Long enough to see that nothing comes.
const SILENCE: Duration = Duration::from_millis(60);
const DELAY: Duration = Duration::from_millis(5);
const HOST: u16 = 2;

fn zones() -> Vec<ZoneName> {
    ["north", "south", "east"].map(ZoneName::new).into()
}

fn network() -> Arc<Network> {
    Network::new(&zones(), 1).expect("the network starts")
}

/// A server that sends back what it gets, on any connection.
fn echo_server(host: IpAddr) -> SocketAddr {
    let listener = TcpListener::bind((host, 0)).expect("binds");
    let address = listener.local_addr().expect("has an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("accepts");
            thread::spawn(move || {
                let mut chunk = [0_u8; 4096];
                while let Ok(count @ 1..) = stream.read(&mut chunk) {
                    if stream.write_all(&chunk[..count]).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

fn connect_from(source: IpAddr, address: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&SocketAddr::new(source, 0).into()).expect("binds to its own address");
    socket.connect(&address.into()).expect("connects");
    let stream: TcpStream = socket.into();
    stream.set_nodelay(true).expect("sets the option");
    stream.set_read_timeout(Some(PATIENCE)).expect("sets the limit");
    stream
}

fn echo(stream: &mut TcpStream, text: &[u8]) -> Duration {
    let start = Instant::now();
    stream.write_all(text).expect("writes");
    let mut answer = vec![0_u8; text.len()];
    stream.read_exact(&mut answer).expect("reads");
    assert_eq!(answer, text);
    start.elapsed()
}

fn is_silent(stream: &mut TcpStream) -> bool {
    stream.set_read_timeout(Some(SILENCE)).expect("sets the limit");
    let outcome = stream.read(&mut [0_u8; 1]);
    stream.set_read_timeout(Some(PATIENCE)).expect("sets the limit");
    matches!(outcome, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
}

#[test]
fn addresses_belong_to_their_zones() {
    let network = network();
    for zone in zones() {
        let address = network.address(&zone, 77);
        assert_eq!(network.zone_of(address.into()), Some(zone));
    }
    assert_eq!(network.zone_of([127, 0, 0, 1].into()), None);
    assert_eq!(network.zone_of([127, 13, 0, 1].into()), None);
}

#[test]
fn the_target_sees_the_source_address_of_the_caller() {
    let network = network();
    let [north, south, _] = &zones()[..] else { panic!("three zones") };
    let listener = TcpListener::bind((network.address(north, HOST), 0)).expect("binds");
    let target = listener.local_addr().expect("has an address");
    let exposed = network.expose_tcp(north, target).expect("exposes");
    let source = network.address(south, 9);
    let _caller = connect_from(source.into(), exposed);
    let (_, peer) = listener.accept().expect("accepts");
    assert_eq!(peer.ip(), source);
}

#[test]
fn each_way_takes_at_least_its_own_delay() {
    let network = network();
    let [north, south, east] = &zones()[..] else { panic!("three zones") };
    let target = echo_server(network.address(north, HOST).into());
    let exposed = network.expose_tcp(north, target).expect("exposes");
    network.set_delay(south, north, DELAY);
    network.set_delay(north, south, DELAY * 3);
    let mut delayed = connect_from(network.address(south, 2).into(), exposed);
    let shortest = (0..20).map(|_| echo(&mut delayed, b"hello")).min().expect("some");
    assert!(shortest >= DELAY * 4, "{shortest:?}");
    let mut other = connect_from(network.address(east, 2).into(), exposed);
    echo(&mut other, b"hello");
}

#[test]
fn a_large_transfer_arrives_whole_and_in_order() {
    let network = network();
    let [north, south, _] = &zones()[..] else { panic!("three zones") };
    let target = echo_server(network.address(north, HOST).into());
    let exposed = network.expose_tcp(north, target).expect("exposes");
    network.set_delay_everywhere(Duration::from_millis(1));
    let mut stream = connect_from(network.address(south, 2).into(), exposed);
    let sent: Vec<u8> = (0..8_000_000_u32).map(|number| (number % 251) as u8).collect();
    let mut writer = stream.try_clone().expect("clones");
    let copy = sent.clone();
    let writing = thread::spawn(move || writer.write_all(&copy).expect("writes"));
    let mut received = vec![0_u8; sent.len()];
    stream.read_exact(&mut received).expect("reads");
    writing.join().expect("no panic");
    assert!(received == sent, "the bytes differ");
}

/// How a link is cut, and how it is healed.
struct Cut {
    name: &'static str,
    cut: fn(&Network, &ZoneName, &ZoneName),
}

#[test]
fn a_cut_is_silence_and_traffic_goes_on_after_it() {
    let cuts = [
        Cut { name: "both ways", cut: |network, one, other| network.cut(one, other) },
        Cut { name: "there", cut: |network, one, other| network.cut_one_way(other, one) },
        Cut { name: "back", cut: |network, one, other| network.cut_one_way(one, other) },
        Cut { name: "zone", cut: |network, one, _| network.cut_zone(one) },
    ];
    for Cut { name, cut } in cuts {
        let network = network();
        let [north, south, east] = &zones()[..] else { panic!("three zones") };
        let target = echo_server(network.address(north, HOST).into());
        let exposed = network.expose_tcp(north, target).expect("exposes");
        let source = network.address(south, 2).into();
        let mut open = connect_from(source, exposed);
        echo(&mut open, b"before");
        cut(&network, north, south);
        open.write_all(b"during").expect("writes");
        assert!(is_silent(&mut open), "open connection, {name}");
        let mut late = connect_from(source, exposed);
        late.write_all(b"late").expect("writes");
        assert!(is_silent(&mut late), "new connection, {name}");
        let mut inside = connect_from(network.address(north, 3).into(), exposed);
        echo(&mut inside, b"inside");
        assert_eq!(network.delay(east, south), Some(Duration::ZERO), "{name}");
        network.heal_zone(north);
        for (stream, text) in [(&mut open, &b"during"[..]), (&mut late, &b"late"[..])] {
            let mut answer = vec![0_u8; text.len()];
            stream.read_exact(&mut answer).unwrap_or_else(|error| panic!("{name}: {error}"));
            assert_eq!(answer, text, "{name}");
        }
    }
}

#[test]
fn a_close_during_a_cut_is_seen_after_it() {
    let network = network();
    let [north, south, _] = &zones()[..] else { panic!("three zones") };
    let listener = TcpListener::bind((network.address(north, HOST), 0)).expect("binds");
    let target = listener.local_addr().expect("has an address");
    let exposed = network.expose_tcp(north, target).expect("exposes");
    let mut caller = connect_from(network.address(south, 2).into(), exposed);
    caller.write_all(b"x").expect("writes");
    let (mut accepted, _) = listener.accept().expect("accepts");
    accepted.read_exact(&mut [0_u8; 1]).expect("reads");
    network.cut(north, south);
    drop(accepted);
    assert!(is_silent(&mut caller));
    network.heal(north, south);
    assert!(matches!(caller.read(&mut [0_u8; 1]), Ok(0) | Err(_)));
}

#[test]
fn a_refused_connection_is_reset() {
    let network = network();
    let [north, south, _] = &zones()[..] else { panic!("three zones") };
    let listener = TcpListener::bind((network.address(north, HOST), 0)).expect("binds");
    let target = listener.local_addr().expect("has an address");
    drop(listener);
    let exposed = network.expose_tcp(north, target).expect("exposes");
    let mut caller = connect_from(network.address(south, 2).into(), exposed);
    assert!(matches!(caller.read(&mut [0_u8; 1]), Ok(0) | Err(_)));
}

fn udp(address: IpAddr) -> UdpSocket {
    let socket = UdpSocket::bind((address, 0)).expect("binds");
    socket.set_read_timeout(Some(PATIENCE)).expect("sets the limit");
    socket
}

fn receive(socket: &UdpSocket) -> (Vec<u8>, SocketAddr) {
    let mut buffer = [0_u8; 2048];
    let (count, sender) = socket.recv_from(&mut buffer).expect("receives");
    (buffer[..count].to_vec(), sender)
}

#[test]
fn datagrams_go_there_and_back_between_the_senders_own_addresses() {
    let network = network();
    let [north, south, _] = &zones()[..] else { panic!("three zones") };
    let server = udp(network.address(north, HOST).into());
    let target = server.local_addr().expect("has an address");
    let exposed = network.expose_udp(north, target).expect("exposes");
    network.set_delay_everywhere(DELAY);
    let caller = udp(network.address(south, 2).into());
    let start = Instant::now();
    caller.send_to(b"ping", exposed).expect("sends");
    let (text, sender) = receive(&server);
    assert_eq!((&text[..], sender.ip()), (&b"ping"[..], network.address(south, 2).into()));
    server.send_to(b"pong", sender).expect("sends");
    let (text, from) = receive(&caller);
    assert_eq!((&text[..], from), (&b"pong"[..], exposed));
    assert!(start.elapsed() >= DELAY * 2);
}

#[test]
fn datagrams_are_lost_at_the_given_rate_and_in_a_cut() {
    const SENT: usize = 1000;
    let network = network();
    let [north, south, _] = &zones()[..] else { panic!("three zones") };
    let server = udp(network.address(north, HOST).into());
    let exposed =
        network.expose(north, server.local_addr().expect("has an address")).expect("exposes");
    let caller = udp(network.address(south, 2).into());
    network.set_loss(south, north, 0.3);
    let receiving = thread::spawn(move || {
        let mut count = 0;
        loop {
            match &receive(&server).0[..] {
                b"end" => return (count, server),
                _ => count += 1,
            }
        }
    });
    for _ in 0..SENT {
        caller.send_to(b"x", exposed).expect("sends");
        thread::sleep(Duration::from_micros(100));
    }
    network.set_loss(south, north, 0.0);
    caller.send_to(b"end", exposed).expect("sends");
    let (count, server) = receiving.join().expect("no panic");
    assert!((300..850).contains(&count), "{count} of {SENT} arrived");
    network.cut(north, south);
    caller.send_to(b"lost", exposed).expect("sends");
    thread::sleep(SILENCE);
    network.heal(north, south);
    caller.send_to(b"kept", exposed).expect("sends");
    assert_eq!(receive(&server).0, b"kept");
}

#[test]
fn open_connections_go_silent_without_a_reset_and_new_ones_work() {
    for way in [SilencedDirection::ToTarget, SilencedDirection::FromTarget, SilencedDirection::Both]
    {
        let network = network();
        let [north, south, _] = &zones()[..] else { panic!("three zones") };
        let target = echo_server(network.address(north, HOST).into());
        let exposed = network.expose_tcp(north, target).expect("is exposed");
        let source = network.address(south, HOST).into();
        let mut open = connect_from(source, exposed);
        echo(&mut open, b"before");
        network.silence_open_connections(north, way);
        open.write_all(b"during").expect("writes");
        assert!(is_silent(&mut open), "{way:?}");
        echo(&mut connect_from(source, exposed), b"new");
        assert!(is_silent(&mut open), "for good, {way:?}");
    }
}
