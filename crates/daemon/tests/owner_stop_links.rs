//! What clients of another node get for exchanges that are unfinished when their owner stops.

mod support;

use std::thread;
use std::time::{Duration, Instant};

use kestrellock_core::ids::{InstanceName, NodeName, ZoneName};
use kestrellock_daemon::policy::Policy;
use kestrellock_daemon::settings::Settings;
use support::client::Client;
use support::scripted::{Scripted, ScriptedGroup};
use support::{Pair, wait_until};

const DEADLINE: Duration = Duration::from_secs(20);
const STOP_LIMIT: Duration = Duration::from_secs(2);
/// Long enough to send all answers on a busy machine.
const LONG_STOP_LIMIT: Duration = DEADLINE;
const LOST_TRANSACTION: &str = "KL1503";
const STOPPED_IN_DOUBT: &str = "KL1606";
/// Longer than a statement takes to reach an instance.
const DELIVERY_TIME: Duration = Duration::from_millis(300);
/// More answers than the sockets between two nodes can hold, of this size.
const LARGE_ANSWERS: usize = 8;
const LARGE_ANSWER_BYTES: usize = 2 * 1024 * 1024;

fn start(stop_limit: Duration) -> (ScriptedGroup, Pair, Client) {
    let group = ScriptedGroup::start();
    let pair = Pair::start(&group, DEADLINE, Policy::Standard);
    let mut settings = Settings::loopback(NodeName::new("back"), ZoneName::new("back"));
    settings.drain_limit = stop_limit;
    pair.gateway.as_ref().expect("it runs").reload(&settings);
    let mut client = Client::connect(pair.address, &[]);
    let (instance, owner) = (InstanceName::new("i0"), NodeName::new("back"));
    let nodes = [pair.front.as_ref(), pair.gateway.as_ref()].map(|node| node.expect("it runs"));
    wait_until("both nodes know the owner", || {
        let known = nodes.map(|node| node.context.gateway_of(&instance, Instant::now()));
        known.iter().all(|known| known.as_ref() == Some(&owner))
    });
    assert_eq!(client.query("INSERT INTO plain VALUES (0)").error, None);
    (group, pair, client)
}

/// Guards against a write whose front learns only from the end of the link that its owner has
/// stopped.
#[test]
fn a_write_that_runs_at_the_end_of_its_owners_stop_is_in_doubt_because_of_the_stop() {
    let (group, mut pair, mut client) = start(STOP_LIMIT);
    group.script().on_marked = Scripted::Hang;
    client.send("INSERT INTO marked VALUES (1)");
    wait_until("the statement at the instance", || group.seen("marked") == 1);
    let gateway = pair.gateway.take().expect("it runs");
    let (began, stopping) = (Instant::now(), thread::spawn(move || gateway.stop()));
    let answer = client.answer();
    assert_eq!(answer.code(), STOPPED_IN_DOUBT, "{answer:?}");
    assert!(began.elapsed() <= STOP_LIMIT, "after {:?}", began.elapsed());
    stopping.join().expect("it stops");
    assert_eq!(group.seen("marked"), 1);
    assert_eq!(client.query("INSERT INTO plain VALUES (2)").error, None);
}

/// Guards against an idle transaction whose commit is reported as in doubt, or waits, although its
/// owner has rolled it back.
#[test]
fn an_idle_transaction_is_lost_at_the_final_refusals_of_its_owner() {
    let (group, mut pair, mut client) = start(STOP_LIMIT);
    assert_eq!(client.query("BEGIN").error, None);
    assert_eq!(client.query("INSERT INTO marked VALUES (1)").error, None);
    let gateway = pair.gateway.take().expect("it runs");
    let context = gateway.context.clone();
    let stopping = thread::spawn(move || gateway.stop());
    let has_stop = || context.stop.load().is_some();
    wait_until("the stop", has_stop);
    let schedule = context.stop.load().expect("it stops");
    let refused = schedule.final_refusals + Duration::from_millis(70);
    thread::sleep(refused.saturating_duration_since(Instant::now()));
    let answer = client.query("COMMIT");
    assert_eq!(answer.code(), LOST_TRANSACTION, "{answer:?}");
    assert_eq!(group.seen("COMMIT"), 0);
    stopping.join().expect("it stops");
}

/// Guards against answers that are lost because the process ends before the other node has taken
/// them.
#[test]
fn an_owner_ends_only_after_the_other_nodes_have_taken_its_answers() {
    let (group, mut pair, _client) = start(LONG_STOP_LIMIT);
    let text = "x".repeat(LARGE_ANSWER_BYTES);
    let mut clients: Vec<Client> =
        (0..LARGE_ANSWERS).map(|_| Client::connect(pair.address, &[])).collect();
    // While the test holds the script, the instances answer nothing.
    let script = group.script();
    for client in &mut clients {
        client.send(&format!("SELECT '{text}' FROM t FOR UPDATE"));
    }
    thread::sleep(2 * DELIVERY_TIME);
    let front = pair.front.as_ref().expect("it runs");
    front.set_paused(true);
    drop(script);
    let gateway = pair.gateway.take().expect("it runs");
    let stopping = thread::spawn(move || gateway.stop());
    // The pause is short, so that no other node takes notice of it.
    thread::sleep(2 * DELIVERY_TIME);
    front.set_paused(false);
    for client in &mut clients {
        let answer = client.answer();
        assert_eq!(answer.error, None);
        assert_eq!(answer.rows.len(), 1);
    }
    stopping.join().expect("it stops");
}
