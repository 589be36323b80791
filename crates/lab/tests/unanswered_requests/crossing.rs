//! Requests that are on their way to a node when it ends their session.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use kestrellock_core::ids::ZoneName;
use kestrellock_lab::platform::client::{Answer, LineSession};
use kestrellock_lab::platform::{Platform, PlatformOptions, wait};
use kestrellock_lab::standin::network::Network;
use kestrellock_peer::message::TransactionState;

use crate::counters::{refused_crossing, unanswered};
use crate::{Stop, ask, has_run, is_promise, primary_database, sleep_until, start};

/// Delays of the links between the clients and their node, one way.
const DELAYS_MS: [u64; 4] = [4, 60, 150, 250];
const SEED: u64 = 1;
/// Time that sessions rest before the first request of a test. A session that has rested for a
/// second is asked to connect elsewhere without waiting for its next request.
const REST: Duration = Duration::from_millis(1_500);

/// Addresses of the first node over links with these delays.
pub fn links(platform: &Platform, delays_ms: &[u64]) -> (Arc<Network>, Vec<SocketAddr>) {
    let zones: Vec<ZoneName> =
        delays_ms.iter().map(|delay| ZoneName::new(format!("delay-{delay}"))).collect();
    let network = Network::new(&zones, SEED).expect("a network");
    let expose = |(zone, delay): (&ZoneName, &u64)| {
        network.set_delay(zone, zone, Duration::from_millis(*delay));
        network.expose_tcp(zone, platform.client_addresses[0]).expect("a relay")
    };
    let addresses = zones.iter().zip(delays_ms).map(expose).collect();
    (network, addresses)
}

/// A session, and when its next request is sent relative to the start of the stop, in milliseconds.
struct Client {
    session: LineSession,
    name: String,
    moment_ms: i64,
}

/// Opens sessions for all moments over all links, and runs the statements on each. The row `#` of a
/// statement stands for the session's name.
fn open_all(addresses: &[SocketAddr], moments_ms: &[i64], statements: &[&str]) -> Vec<Client> {
    let open = |address: SocketAddr, name: String, moment_ms: i64| {
        let mut session = LineSession::open(address, &primary_database(), &name).expect("it opens");
        for text in statements {
            // A BEGIN may be refused for a moment, because transactions hold connections.
            wait(text, || session.run(&text.replace('#', &name)).expect("an answer").is_success())
                .expect("in time");
        }
        Client { session, name, moment_ms }
    };
    std::thread::scope(|scope| {
        let mut opening = Vec::new();
        for (link, address) in addresses.iter().enumerate() {
            for (number, moment_ms) in moments_ms.iter().enumerate() {
                let name = format!("client-{link}-{number}");
                opening.push(scope.spawn(move || open(*address, name, *moment_ms)));
            }
        }
        opening.into_iter().map(|thread| thread.join().expect("it opens")).collect()
    })
}

/// Stops the first node and lets every client act at its moment.
fn play<T: Send>(
    platform: Platform,
    clients: Vec<Client>,
    act: impl Fn(Client) -> T + Sync,
) -> (Stop, Vec<T>) {
    let earliest = clients.iter().map(|client| client.moment_ms).min().unwrap_or(0).min(0);
    let first = Instant::now();
    let begin = first + Duration::from_millis(earliest.unsigned_abs());
    let act = &act;
    std::thread::scope(|scope| {
        let acting: Vec<_> = clients
            .into_iter()
            .map(|client| {
                scope.spawn(move || {
                    let offset = (client.moment_ms - earliest).unsigned_abs();
                    sleep_until(first + Duration::from_millis(offset));
                    act(client)
                })
            })
            .collect();
        sleep_until(begin);
        let stop = Stop::begin(platform);
        (stop, acting.into_iter().map(|thread| thread.join().expect("it was served")).collect())
    })
}

/// Guards against a session that is closed while its client's request is on the way: the client
/// gets neither an answer nor a refusal.
#[test]
fn request_that_crosses_the_end_of_a_resting_session_is_answered_or_refused() {
    let platform = start(PlatformOptions::default());
    let (_network, addresses) = links(&platform, &DELAYS_MS);
    let moments: Vec<i64> = (-300..=1_300).step_by(100).collect();
    let clients = open_all(&addresses, &moments, &["READ page"]);
    std::thread::sleep(REST);
    let (stop, outcomes) = play(platform, clients, |mut client| {
        let id = client.session.next_statement_id();
        let answer = ask(&mut client.session, &format!("WRITE {} 1", client.name))?;
        client.session.await_end_notice("BUSY").expect("the session ends behind the answer");
        Some((id, answer))
    });
    let context = stop.context.clone();
    let platform = stop.finish();
    for (id, answer) in outcomes.iter().flatten() {
        let is_right = answer.is_success() || answer.error_code() == Some("BUSY");
        assert!(is_right, "{id}: {answer:?}");
        assert_eq!(has_run(&platform, id), answer.is_success(), "{id}: {answer:?}");
        assert_eq!(answer.state, TransactionState::Idle, "{id}: {answer:?}");
    }
    assert!(refused_crossing(&context) > 0, "no request crossed the end of its session");
    assert_eq!(unanswered(&context), 0);
}

/// Guards against short links on which all sessions that rest are closed at the same time, with
/// requests of some of them on the way.
#[test]
fn request_over_a_short_link_at_the_moment_the_node_leaves_is_answered_or_refused() {
    let platform = start(PlatformOptions::default());
    let (_network, addresses) = links(&platform, &[1, 4]);
    let moments: Vec<i64> = (-8..=80).step_by(2).collect();
    let clients = open_all(&addresses, &moments, &["READ page"]);
    std::thread::sleep(REST);
    let (stop, outcomes) =
        play(platform, clients, |mut client| ask(&mut client.session, "READ page"));
    for answer in outcomes.iter().flatten() {
        assert!(answer.is_success() || is_promise(answer), "{answer:?}");
    }
    let context = stop.context.clone();
    stop.finish();
    assert_eq!(unanswered(&context), 0);
}

/// What a client in a transaction does at its moment, up to the end of its transaction.
fn finish_transaction(mut client: Client) -> Option<(String, Answer)> {
    let writes = client.name.ends_with(['1', '3', '5', '7', '9']);
    if writes {
        let answer = ask(&mut client.session, &format!("WRITE {} 2", client.name))?;
        if answer.state == TransactionState::Failed {
            assert!(is_promise(&answer), "{answer:?}");
            ask(&mut client.session, "ROLLBACK");
            return Some((client.name, answer));
        }
        assert!(answer.is_success() || is_promise(&answer), "{answer:?}");
    }
    let answer = ask(&mut client.session, "COMMIT")?;
    assert!(answer.is_success() || is_promise(&answer), "{answer:?}");
    Some((client.name, answer))
}

/// Guards against a client that rests inside a transaction until the stop ends it, and whose next
/// statement or COMMIT gets no answer, or one that contradicts what was committed.
#[test]
fn statement_that_crosses_the_end_of_its_transaction_is_answered_or_refused() {
    let options = PlatformOptions {
        drain_limit: Duration::from_millis(1_400),
        drain_transactions: Duration::from_millis(600),
        ..Default::default()
    };
    let platform = start(options);
    let (_network, addresses) = links(&platform, &[60, 200]);
    let moments: Vec<i64> = (250..=1_550).step_by(130).collect();
    let clients = open_all(&addresses, &moments, &["BEGIN", "WRITE # 1"]);
    let (stop, outcomes) = play(platform, clients, finish_transaction);
    let context = stop.context.clone();
    let platform = stop.finish();
    let mut reader = LineSession::open(platform.client_addresses[1], &primary_database(), "reader")
        .expect("it opens");
    let mut refused = 0;
    for (name, answer) in outcomes.into_iter().flatten() {
        let rows = reader.run(&format!("READ {name}")).expect("an answer").rows;
        let has_committed = rows != ["nothing"];
        assert_eq!(has_committed, answer.is_success(), "{name}: {answer:?}, {rows:?}");
        refused += u32::from(is_promise(&answer));
    }
    assert!(refused > 0, "no statement crossed the end of its transaction");
    assert_eq!(unanswered(&context), 0);
}
