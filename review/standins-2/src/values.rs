//! Clients with different session values write and read while one instance fails a part of its
//! requests. A statement may run only where the values are those acknowledged to its client.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::{Needs, Paths, Route, Verdict, World};

/// How long the instance fails a part of its requests.
const FAILING_FOR: Duration = Duration::from_millis(7_000);
/// The part of its requests that it fails.
const PART: f64 = 0.38;
/// Clients of each node.
const CLIENTS: usize = 4;

type Asked = Arc<Mutex<HashMap<String, BTreeMap<String, String>>>>;

pub fn play(paths: &Paths, trouble: bool) -> io::Result<Verdict> {
    let route = |host, kind| Route { host, kind, service: "dele69a", max_staleness_ms: 1_500 };
    let needs = Needs {
        services: &["dele69a", "kafi81c", "wuno96b"],
        lag: Duration::from_millis(8),
        routes: &[route("lepu270", "primary")],
    };
    let mut world = World::start(paths, &needs)?;
    let asked = Asked::default();
    let until = Instant::now() + FAILING_FOR + Duration::from_secs(2);
    let mut threads = Vec::new();
    for number in 0..world.nodes.len() {
        for client in 0..CLIENTS {
            let (front, record) = (world.nodes[number].front, world.record.clone());
            let asked = asked.clone();
            let name = format!("c{number}{client}");
            threads.push(thread::spawn(move || {
                let mut turn = 0;
                while Instant::now() < until {
                    turn += 1;
                    let name = format!("{name}t{turn}");
                    // A client whose session ends opens another one.
                    let _ = session(front, &name, client, until, &asked, &record);
                    thread::sleep(Duration::from_millis(50));
                }
            }));
        }
    }
    thread::sleep(Duration::from_secs(1));
    if trouble {
        world.services[0].set_failing(Some((0, PART)));
        thread::sleep(FAILING_FOR);
        world.services[0].set_failing(None);
    }
    for thread in threads {
        let _ = thread.join();
    }
    let asked = asked.lock().unwrap_or_else(PoisonError::into_inner);
    let mut problems = Vec::new();
    let runs = world.services[0].runs();
    for run in &runs {
        if let Some(values) = asked.get(&run.id)
            && *values != run.values
        {
            let problem = format!(
                "{} {} ran with the values {:?}, acknowledged to its client were {values:?}",
                run.id, run.text, run.values
            );
            world.record.note(&format!("BROKEN {problem}"));
            problems.push(problem);
        }
    }
    let failed = world.services[0].failed();
    world.record.note(&format!(
        "{} statements were run, failed were {failed:?}, {} problems",
        runs.len(),
        problems.len()
    ));
    if runs.is_empty() || !world.all_run() {
        return Err(io::Error::other("nothing was run"));
    }
    Ok(match problems.first() {
        None => Verdict::Held,
        Some(problem) => Verdict::Broken(format!("{} times, first: {problem}", problems.len())),
    })
}

/// One session: it sets its value once, then writes single statements.
fn session(
    front: std::net::SocketAddr,
    name: &str,
    client: usize,
    until: Instant,
    asked: &Asked,
    record: &crate::record::Record,
) -> io::Result<()> {
    let mut session = Client::open(front, "lepu270", name, record)?;
    let mut values = BTreeMap::new();
    // Every fourth client sets nothing.
    if client > 0 {
        let value = format!("tenant-{client}");
        if !session.ask(&format!("SET owner {value}"))?.is_success() {
            return Ok(());
        }
        values.insert("owner".to_owned(), value);
    }
    while Instant::now() < until {
        let id = session.next_id();
        asked.lock().unwrap_or_else(PoisonError::into_inner).insert(id.clone(), values.clone());
        session.ask(&format!("WRITE row{client} {id}"))?;
        thread::sleep(Duration::from_millis(40));
    }
    Ok(())
}
