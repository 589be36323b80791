//! What clients of another node get for exchanges that are unfinished when their owner stops.

mod support;

use std::thread;
use std::time::{Duration, Instant};

use kestrellock_core::ids::{NodeName, ZoneName};
use kestrellock_daemon::policy::Policy;
use kestrellock_daemon::settings::Settings;
use support::client::Client;
use support::scripted::{Scripted, ScriptedGroup};
use support::{Pair, wait_until};

const DEADLINE: Duration = Duration::from_secs(20);
const STOP_LIMIT: Duration = Duration::from_secs(2);
const STOPPED_IN_DOUBT: &str = "KL1606";

fn start() -> (ScriptedGroup, Pair, Client) {
    let group = ScriptedGroup::start();
    let pair = Pair::start(&group, DEADLINE, Policy::Standard);
    let mut settings = Settings::loopback(NodeName::new("back"), ZoneName::new("back"));
    settings.drain_limit = STOP_LIMIT;
    pair.gateway.as_ref().expect("it runs").reload(&settings);
    let mut client = Client::connect(pair.address, &[]);
    assert_eq!(client.query("INSERT INTO plain VALUES (0)").error, None);
    (group, pair, client)
}

/// Guards against a write whose front learns only from the end of the link that its owner has
/// stopped.
#[test]
fn a_write_that_runs_at_the_end_of_its_owners_stop_is_in_doubt_because_of_the_stop() {
    let (group, mut pair, mut client) = start();
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
