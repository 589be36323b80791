//! A database moves to another service and back while its client's session stays open. A read of
//! the session must then see what the session itself has written before.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::{Needs, Paths, Route, Verdict, World};

/// How far the replicas are behind.
const LAG: Duration = Duration::from_millis(300);
const ROUNDS: usize = 4;
const SESSIONS: usize = 3;

fn routes(service: &str) -> [Route<'_>; 2] {
    let (kind, max_staleness_ms) = ("read_your_writes", 2_500);
    [
        Route { host: "fiti832", kind, service, max_staleness_ms },
        Route { host: "xapu221", kind, service: "dele69a", max_staleness_ms },
    ]
}

pub fn play(paths: &Paths, trouble: bool) -> io::Result<Verdict> {
    let needs = Needs { services: &["dele69a", "kafi81c"], lag: LAG, routes: &routes("dele69a") };
    let mut world = World::start(paths, &needs)?;
    let mut clients = Vec::new();
    let mut others = Vec::new();
    for (number, node) in world.nodes.iter().enumerate() {
        for session in 0..SESSIONS {
            let name = format!("c{number}{session}");
            clients.push(Client::open(node.front, "fiti832", &name, &world.record)?);
        }
        others.push(Client::open(node.front, "xapu221", &format!("o{number}"), &world.record)?);
    }
    let mut problems = Vec::new();
    let mut checked = 0;
    for round in 0..ROUNDS {
        // Some time with the usual writes and reads on both databases.
        let until = Instant::now() + Duration::from_secs(3);
        while Instant::now() < until {
            for (number, client) in clients.iter_mut().enumerate() {
                client.ask(&format!("READ own{number}"))?;
            }
            for (number, client) in others.iter_mut().enumerate() {
                client.ask(&format!("WRITE other{number} {round}"))?;
                client.ask(&format!("READ other{number}"))?;
            }
        }
        let mut written = Vec::new();
        for (number, client) in clients.iter_mut().enumerate() {
            let data = format!("round{round}");
            let answer = client.ask(&format!("WRITE own{number} {data}"))?;
            written.push((data, answer.is_success(), Instant::now()));
        }
        if trouble {
            world.configure(&routes("kafi81c"));
            thread::sleep(Duration::from_millis(60));
            for client in &mut clients {
                client.ask("READ elsewhere")?;
            }
            world.configure(&routes("dele69a"));
            thread::sleep(Duration::from_millis(60));
        }
        for (number, client) in clients.iter_mut().enumerate() {
            let (data, is_acknowledged, at) = &written[number];
            let age = at.elapsed();
            let answer = client.ask(&format!("READ own{number}"))?;
            if *is_acknowledged && answer.is_success() {
                checked += 1;
                if answer.rows != [data.clone()] {
                    let problem = format!(
                        "a session read {:?}, {age:?} after its write of {data} was acknowledged",
                        answer.rows
                    );
                    world.record.note(&format!("BROKEN {problem}"));
                    problems.push(problem);
                }
            }
        }
    }
    world.record.note(&format!("{checked} reads were checked, {} problems", problems.len()));
    if checked == 0 || !world.all_run() {
        return Err(io::Error::other("nothing was checked"));
    }
    Ok(match problems.first() {
        None => Verdict::Held,
        Some(problem) => Verdict::Broken(format!("{} times, first: {problem}", problems.len())),
    })
}
