//! Two clients prepare statements of different shapes under the same name. Each must run its own.

use std::collections::HashMap;
use std::io;
use std::time::Duration;

use crate::client::Client;
use crate::instance::ends;
use crate::{Needs, Paths, Route, Verdict, World};

const ROUNDS: usize = 5;

/// Bytes of a shape.
const LENGTH: usize = 512;

/// A shape of letters and digits. All have the same words at two places and differ in the signs
/// behind these.
fn shape(first: char, second: char) -> String {
    let mut bytes = vec![b'q'; LENGTH];
    let mut put =
        |at: usize, text: &str| bytes[at..at + text.len()].copy_from_slice(text.as_bytes());
    put(FIRST_WORD.0, FIRST_WORD.1);
    put(SECOND_WORD.0, SECOND_WORD.1);
    put(FIRST_WORD.0 + 4, &first.to_string());
    put(SECOND_WORD.0 + 4, &second.to_string());
    String::from_utf8(bytes).unwrap_or_default()
}

const FIRST_WORD: (usize, &str) = (FIRST_AT, "paaa");
const SECOND_WORD: (usize, &str) = (SECOND_AT, "9BWR");
const FIRST_AT: usize = 251;
const SECOND_AT: usize = 315;

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
    // Without the trouble the second client's shape differs in one more sign.
    let shapes = [shape('2', '3'), if trouble { shape('3', '2') } else { shape('4', '2') }];
    let mut asked: HashMap<String, String> = HashMap::new();
    let mut problems = Vec::new();
    for round in 0..ROUNDS {
        for number in 0..world.nodes.len() {
            let front = world.nodes[number].front;
            for (who, shape) in shapes.iter().enumerate() {
                let name = format!("c{round}{number}{who}");
                let mut client = Client::open(front, "lepu270", &name, &world.record)?;
                client.ask(&format!("PREPARE s1 READ {shape}"))?;
                let id = client.next_id();
                asked.insert(id.clone(), shape.clone());
                let answer = client.ask("EXECUTE s1 1a4")?;
                let own = format!("nothing by {}", ends(shape));
                if answer.is_success() && answer.rows != [own] {
                    problems.push(format!("{id} got the rows of another client's shape"));
                }
            }
        }
    }
    for run in world.services[0].runs() {
        if let (Some(shape), Some(own)) = (&run.shape, asked.get(&run.id))
            && shape != own
        {
            let (ran, own) = (ends(shape), ends(own));
            let problem = format!("{} ran {ran}, its client had prepared {own}", run.id);
            world.record.note(&format!("BROKEN {problem}"));
            problems.push(problem);
        }
    }
    let run = world.services[0].runs().iter().filter(|run| run.shape.is_some()).count();
    world.record.note(&format!("{run} prepared statements were run, {} problems", problems.len()));
    if run == 0 || !world.all_run() {
        return Err(io::Error::other("nothing was run"));
    }
    Ok(match problems.first() {
        None => Verdict::Held,
        Some(problem) => Verdict::Broken(format!("{} times, first: {problem}", problems.len())),
    })
}
