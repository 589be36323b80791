//! The old primary follows its successor and confirms its commits, which it has not applied yet, while
//! the released replica still reports the old term.

use std::time::Duration;

use kestrellock_peer::message::TransactionState;

use crate::clients::Clients;
use crate::world::{CUT_OFF_NODE, World};

/// So long that each read at a replica lacks the newest commits.
const REPLICA_LAG: Duration = Duration::from_millis(500);
/// Reads of the node that is cut off, each by a session of its own.
const READS: [&str; 3] = ["READ thing", "EXECUTE get thing", "BEGIN READ"];

/// Guards against reads that do not see what was acknowledged before they were sent: the released
/// replica does not show that the instance which is held for the primary has become a replica itself.
#[test]
fn no_read_runs_at_a_former_primary_that_follows_its_successor() {
    let world = World::start(REPLICA_LAG);
    let inside = Clients::at(&world.platform, CUT_OFF_NODE);
    let mut sessions = READS.map(|_| inside.open("reader").expect("it opens"));
    for session in &mut sessions {
        for text in ["PREPARE get READ shape", "READ thing"] {
            let answer = session.run(text).expect("an answer");
            assert!(answer.is_success(), "{text}: {:?}", answer.outcome);
        }
    }
    world.cut_off();
    let log_length = world.wait_for_stops();
    world.wait_for_successor();
    // The successor would be replaced as well if it could commit nothing for long.
    world.group().step_down(&world.former);
    // No other instance confirms it.
    world.wait_for_commit_of_successor(log_length);
    let ran_before = world.runs_at_former();
    for (text, session) in READS.iter().zip(&mut sessions) {
        session.send_statement(text).expect("it is sent");
    }
    for session in &mut sessions {
        let answer = session.read_answer().expect("an answer");
        println!("{:?}", answer.outcome);
        if answer.state != TransactionState::Idle {
            println!("{:?}", session.run("READ thing").expect("an answer").outcome);
        }
    }
    let ran = world.runs_at_former() - ran_before;
    println!("{ran} reads ran at the former primary");
    world.outside.stop();
    world.assert_statements_ran_on_current_logs();
}
