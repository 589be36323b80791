//! Clients send statements without a pause and read the answers. The other clients of their node must be
//! served all the same.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::{Needs, Paths, Route, Verdict, World};

/// How long the flood lasts.
const FLOOD_FOR: Duration = Duration::from_secs(20);
/// Connections that flood.
const FLOODS: usize = 1;
/// Time without an answer from which on a request counts as not answered: more than its deadline and
/// the time-out of its route together.
const UNANSWERED: Duration = Duration::from_secs(5);
/// Statements that the flood writes at once.
const BATCH: usize = 2_048;
/// What the flood sends in a second at most, in bytes: a little less than 200 Mbit/s.
const RATE: f64 = 24_000_000.0;

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
    let front = world.nodes[0].front;
    let over = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(AtomicU64::new(0));
    let mut floods = Vec::new();
    // Another session of the same node, opened before.
    let mut client = Client::open(front, "lepu270", "other", &world.record)?;
    client.ask("WRITE row before")?;
    if trouble {
        for number in 0..FLOODS {
            let (over, sent) = (over.clone(), sent.clone());
            floods.push(thread::spawn(move || flood(front, number, &over, &sent)));
        }
    }
    world.record.note("the flood begins");
    let until = Instant::now() + FLOOD_FOR;
    let mut slowest = Duration::ZERO;
    let (mut answered, mut unanswered, mut unready) = (0, 0, 0);
    let mut problem = String::new();
    while Instant::now() < until {
        let begun = Instant::now();
        match client.ask("WRITE row data") {
            Ok(_) => answered += 1,
            Err(error) => problem = error.to_string(),
        }
        let took = begun.elapsed();
        slowest = slowest.max(took);
        if took >= UNANSWERED {
            unanswered += 1;
            world.record.note(&format!("a write had no answer for {took:?} {problem}"));
        }
        if !problem.is_empty() {
            break;
        }
        if !world.nodes[0].is_ready() {
            unready += 1;
        }
        thread::sleep(Duration::from_millis(100));
    }
    over.store(true, Ordering::Release);
    for flood in floods {
        let _ = flood.join();
    }
    let sum = format!(
        "{answered} writes of the other session answered, {unanswered} not within 5 s, slowest \
         {slowest:?}; {} MB sent by the flood; the node runs: {}; not ready {unready} times",
        sent.load(Ordering::Relaxed) / 1024 / 1024,
        world.nodes[0].runs()
    );
    world.record.note(&sum);
    let is_broken = unanswered > 0 || !world.nodes[0].runs();
    if answered == 0 && !is_broken {
        return Err(io::Error::other("nothing was answered"));
    }
    Ok(if is_broken { Verdict::Broken(sum) } else { Verdict::Held })
}

fn flood(front: SocketAddr, number: usize, over: &AtomicBool, sent: &AtomicU64) -> io::Result<()> {
    let mut stream = TcpStream::connect(front)?;
    stream.write_all(format!("STARTUP lepu270 u-flood{number}\r\n").as_bytes())?;
    let mut answers = stream.try_clone()?;
    let reader = thread::spawn(move || {
        let mut chunk = vec![0; 1 << 20];
        while matches!(answers.read(&mut chunk), Ok(1..)) {}
    });
    let batch = "QUERY a EXECUTE x 1\r\n".repeat(BATCH);
    let (began, mut bytes) = (Instant::now(), 0.0);
    while !over.load(Ordering::Acquire) {
        // Not more than the rate, also after a time in which less was taken.
        let due = Duration::from_secs_f64(bytes / RATE);
        bytes = f64::max(bytes, began.elapsed().as_secs_f64() * RATE) + batch.len() as f64;
        thread::sleep(due.saturating_sub(began.elapsed()));
        if stream.write_all(batch.as_bytes()).is_err() {
            break;
        }
        sent.fetch_add(batch.len() as u64, Ordering::Relaxed);
    }
    let _ = stream.shutdown(Shutdown::Both);
    let _ = reader.join();
    Ok(())
}
