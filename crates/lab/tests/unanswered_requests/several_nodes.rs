//! Half of the nodes stop at the same time, while clients use connections that are open.

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use kestrellock_core::ids::ZoneName;
use kestrellock_daemon::context::NodeContext;
use kestrellock_lab::platform::client::LineSession;
use kestrellock_lab::platform::{Platform, PlatformOptions};
use kestrellock_lab::standin::network::Network;
use rand::rngs::ChaCha8Rng;
use rand::{RngExt, SeedableRng};

use crate::counters::unanswered;
use crate::{ask, primary_database, start};

const NODES: usize = 6;
const CLIENTS: usize = 96;
/// Delays of the links between the clients and the nodes, one way.
const DELAYS_MS: [u64; 3] = [4, 60, 150];
/// Time for which clients work before and after the stop.
const MARGIN: Duration = Duration::from_millis(600);
/// Pauses of a client between two operations, in milliseconds. Most clients rest for longer than a
/// second, after which a leaving node does not wait for their next request.
const LONG_PAUSES_MS: Range<u64> = 900..1_600;
const SHORT_PAUSES_MS: Range<u64> = 0..100;
const LONG_PAUSE_SHARE: f64 = 0.7;
const PAUSES_IN_TRANSACTION_MS: Range<u64> = 0..400;

fn number(variable: &str, default: u64) -> u64 {
    std::env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// A client that keeps its connection until it is told to go elsewhere.
struct Client {
    addresses: Vec<SocketAddr>,
    name: String,
    random: ChaCha8Rng,
    session: Option<LineSession>,
    answered: u32,
}

impl Client {
    fn work(&mut self, is_over: &AtomicBool) {
        while !is_over.load(Ordering::Acquire) {
            if self.session.is_none() {
                self.connect();
            }
            if let Some(mut session) = self.session.take()
                && self.operate(&mut session).is_some()
            {
                self.session = Some(session);
            }
            self.rest();
        }
    }

    fn rest(&mut self) {
        let is_long = self.random.random_bool(LONG_PAUSE_SHARE);
        self.pause(if is_long { LONG_PAUSES_MS } else { SHORT_PAUSES_MS });
    }

    fn pause(&mut self, range_ms: Range<u64>) {
        std::thread::sleep(Duration::from_millis(self.random.random_range(range_ms)));
    }

    /// Connects to any node that accepts it. A node that refuses the login is left alone.
    fn connect(&mut self) {
        let address = self.addresses[self.random.random_range(0..self.addresses.len())];
        let name = format!("{}-{}", self.name, self.random.random::<u32>());
        self.session = LineSession::open(address, &primary_database(), &name).ok();
    }

    /// Runs one operation. `None` if the session ends.
    fn operate(&mut self, session: &mut LineSession) -> Option<()> {
        let row = format!("row-{}", self.random.random_range(0..20));
        let texts = match self.random.random_range(0..4) {
            0 => vec!["BEGIN".to_owned(), format!("WRITE {row} 1"), "COMMIT".to_owned()],
            1 => vec![format!("WRITE {row} 1")],
            _ => vec![format!("READ {row}")],
        };
        let is_transaction = texts.len() > 1;
        for text in texts {
            let answer = ask(session, &text)?;
            self.answered += 1;
            if is_transaction {
                // A client closes when its transaction has failed.
                answer.is_success().then_some(())?;
                self.pause(PAUSES_IN_TRANSACTION_MS);
            }
        }
        Some(())
    }
}

/// The addresses of the nodes over links of each delay.
fn links(platform: &Platform, seed: u64) -> (Arc<Network>, Vec<Vec<SocketAddr>>) {
    let zones = DELAYS_MS.map(|delay| ZoneName::new(format!("delay-{delay}")));
    let network = Network::new(&zones, seed).expect("a network");
    let expose_all = |(zone, delay): (&ZoneName, &u64)| {
        network.set_delay(zone, zone, Duration::from_millis(*delay));
        let expose = |target: &SocketAddr| network.expose_tcp(zone, *target).expect("a relay");
        platform.client_addresses.iter().map(expose).collect()
    };
    let addresses = zones.iter().zip(&DELAYS_MS).map(expose_all).collect();
    (network, addresses)
}

fn play(seed: u64) {
    let mut platform = start(PlatformOptions { nodes: NODES, ..Default::default() });
    let contexts: Vec<Arc<NodeContext>> =
        platform.nodes().map(|node| node.context.clone()).collect();
    let is_over = AtomicBool::new(false);
    let (_network, addresses) = links(&platform, seed);
    let answered: u32 = std::thread::scope(|scope| {
        let is_over = &is_over;
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| {
                let mut client = Client {
                    addresses: addresses[number % DELAYS_MS.len()].clone(),
                    name: format!("client-{number}"),
                    random: ChaCha8Rng::seed_from_u64(seed * 1_000 + number as u64),
                    session: None,
                    answered: 0,
                };
                scope.spawn(move || {
                    client.work(is_over);
                    client.answered
                })
            })
            .collect();
        std::thread::sleep(MARGIN);
        platform.stop_nodes(&[0, 2, 4]);
        std::thread::sleep(MARGIN);
        is_over.store(true, Ordering::Release);
        clients.into_iter().map(|client| client.join().expect("all were answered")).sum()
    });
    println!("seed {seed}: {answered} requests answered or refused");
    assert!(answered > CLIENTS as u32, "{answered}");
    let cut: Vec<u64> = contexts.iter().map(|context| unanswered(context)).collect();
    assert_eq!(cut, [0; NODES], "seed {seed}");
}

/// Guards against requests that are cut off while owners and fronts leave together. Plays `SEEDS`
/// seeds from `FIRST_SEED`.
#[test]
fn requests_on_open_connections_are_answered_while_half_of_the_nodes_stop() {
    let first = number("FIRST_SEED", 1);
    for seed in first..first + number("SEEDS", 1) {
        play(seed);
    }
}
