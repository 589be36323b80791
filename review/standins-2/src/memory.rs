//! Clients prepare statements and keep them. The platform kills a process that has more memory than
//! its machine grants, and starts it again.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::record::Record;
use crate::{Needs, Paths, Route, Verdict, World};

/// `memoryMb` of the machines.
const MEMORY_LIMIT: u64 = 260 * 1024 * 1024;
/// Sessions on each of two nodes: as many as stand open at a node of the deployment.
const SESSIONS: usize = 48;
/// Statements that each session prepares.
const STATEMENTS: usize = 32;
/// Bytes of a shape: a fifth of what a message may have.
const SHAPE_BYTES: usize = 200_000;
/// Bytes of a shape without the trouble.
const SMALL_SHAPE_BYTES: usize = 40;
/// Nodes that get these sessions.
const NODES: usize = 2;
/// Ends of a process, on two machines or more, from which on the rule is broken.
const ENDS: usize = 3;
const RUN_LIMIT: Duration = Duration::from_secs(75);
/// Time between the end of a process and its next start.
const RESTART_DELAY: Duration = Duration::from_millis(500);

pub fn play(paths: &Paths, trouble: bool) -> io::Result<Verdict> {
    let needs = Needs {
        services: &["dele69a"],
        lag: Duration::from_millis(8),
        routes: &[Route {
            host: "lepu270",
            kind: "primary",
            service: "dele69a",
            max_staleness_ms: 0,
        }],
    };
    let mut world = World::start(paths, &needs)?;
    let bytes = if trouble { SHAPE_BYTES } else { SMALL_SHAPE_BYTES };
    let over = Arc::new(AtomicBool::new(false));
    let prepared = Arc::new(AtomicUsize::new(0));
    let lost = Arc::new(AtomicUsize::new(0));
    let mut threads = Vec::new();
    for number in 0..NODES {
        let front = world.nodes[number].front;
        for session in 0..SESSIONS {
            let (over, prepared) = (over.clone(), prepared.clone());
            let name = format!("p{number}s{session}");
            let record = if session == 0 { Some(world.record.clone()) } else { None };
            threads.push(thread::spawn(move || {
                let mut turn = 0;
                while !over.load(Ordering::Acquire) {
                    turn += 1;
                    let name = format!("{name}t{turn}");
                    // A session that breaks off is opened again.
                    let _ = prepare(front, &name, bytes, &over, &prepared, record.as_ref());
                    thread::sleep(Duration::from_millis(300));
                }
            }));
        }
        // Another client of the node, with small statements.
        let (over, record, lost) = (over.clone(), world.record.clone(), lost.clone());
        let name = format!("w{number}");
        threads.push(thread::spawn(move || {
            let mut turn = 0;
            while !over.load(Ordering::Acquire) {
                turn += 1;
                let name = format!("{name}t{turn}");
                if write(front, &name, &over, &record).is_err() {
                    lost.fetch_add(1, Ordering::Relaxed);
                }
                thread::sleep(Duration::from_millis(200));
            }
        }));
    }
    let began = Instant::now();
    let mut ends = vec![0; world.nodes.len()];
    let mut highest = vec![0; world.nodes.len()];
    let enough = |ends: &[usize]| ends.iter().filter(|ended| **ended >= ENDS).count() >= NODES;
    let limit = if trouble { RUN_LIMIT } else { RUN_LIMIT / 3 };
    while began.elapsed() < limit && !enough(&ends) {
        for number in 0..world.nodes.len() {
            let memory = world.nodes[number].memory();
            highest[number] = memory.max(highest[number]);
            if memory > MEMORY_LIMIT || !world.nodes[number].runs() {
                ends[number] += 1;
                world.record.note(&format!(
                    "node {number} has {} MB, more than 260: the platform kills it",
                    memory / 1024 / 1024
                ));
                world.nodes[number].kill();
                thread::sleep(RESTART_DELAY);
                world.nodes[number].start_again()?;
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
    over.store(true, Ordering::Release);
    let highest: Vec<u64> = highest.iter().map(|bytes| bytes / 1024 / 1024).collect();
    let sum = format!(
        "{} statements were prepared; ends of processes {ends:?}; highest memory {highest:?} MB; \
         sessions of other clients that broke off {}",
        prepared.load(Ordering::Relaxed),
        lost.load(Ordering::Relaxed)
    );
    world.record.note(&sum);
    for thread in threads {
        let _ = thread.join();
    }
    if prepared.load(Ordering::Relaxed) == 0 {
        return Err(io::Error::other("nothing was prepared"));
    }
    Ok(if enough(&ends) { Verdict::Broken(sum) } else { Verdict::Held })
}

/// A session that prepares its statements, runs one of them and stays open.
fn prepare(
    front: SocketAddr,
    name: &str,
    bytes: usize,
    over: &AtomicBool,
    prepared: &AtomicUsize,
    record: Option<&Record>,
) -> io::Result<()> {
    let silent = Record::silent();
    let mut client = Client::open(front, "lepu270", name, record.unwrap_or(&silent))?;
    for number in 0..STATEMENTS {
        let shape = format!("{name}n{number}{}", "q".repeat(bytes));
        if !client.ask(&format!("PREPARE s{number} READ {shape}"))?.is_success() {
            return Err(io::Error::other("not prepared"));
        }
        prepared.fetch_add(1, Ordering::Relaxed);
    }
    while !over.load(Ordering::Acquire) {
        client.ask("READ 1a4")?;
        thread::sleep(Duration::from_millis(500));
    }
    Ok(())
}

fn write(front: SocketAddr, name: &str, over: &AtomicBool, record: &Record) -> io::Result<()> {
    let mut client = Client::open(front, "lepu270", name, record)?;
    while !over.load(Ordering::Acquire) {
        let id = client.next_id();
        client.ask(&format!("WRITE row {id}"))?;
        thread::sleep(Duration::from_millis(200));
    }
    Ok(())
}
