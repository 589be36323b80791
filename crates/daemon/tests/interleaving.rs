//! Random interleavings of clients, lost connections and late answers on shared server connections
//! must not mix the statements or rows of different clients.

mod support;

use std::sync::LazyLock;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use kestrellock_daemon::policy::Policy;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use support::client::Client;
use support::scripted::{Scripted, ScriptedGroup};
use support::{LATE, MARK, Pair};

struct Fixture {
    group: ScriptedGroup,
    pair: Pair,
}

static FIXTURE: LazyLock<Fixture> = LazyLock::new(|| {
    let group = ScriptedGroup::start();
    group.script().on_marked = Scripted::Close;
    let pair = Pair::start(&group, Duration::from_secs(20), Policy::Standard);
    Fixture { group, pair }
});
static NEXT_CLIENT: AtomicUsize = AtomicUsize::new(0);

#[derive(Clone, Copy, Debug)]
enum Step {
    Begin,
    Write,
    Read,
    ReadLate,
    /// A write on which the instance closes the connection.
    WriteLost,
    Commit,
    Rollback,
    /// The client disconnects without waiting for the answer to a last write.
    Disconnect,
}

fn steps() -> impl Strategy<Value = Vec<Vec<Step>>> {
    let step = prop_oneof![
        4 => Just(Step::Begin),
        4 => Just(Step::Write),
        4 => Just(Step::Read),
        2 => Just(Step::ReadLate),
        1 => Just(Step::WriteLost),
        3 => Just(Step::Commit),
        1 => Just(Step::Rollback),
        1 => Just(Step::Disconnect),
    ];
    proptest::collection::vec(proptest::collection::vec(step, 1..12), 2..8)
}

/// Runs the steps of one client and returns its wrong answers: rows of other clients, or missing
/// rows.
fn run(steps: &[Step]) -> Vec<String> {
    let tag = format!("client{}.", NEXT_CLIENT.fetch_add(1, Ordering::Relaxed));
    let mut client = Client::connect(FIXTURE.pair.address, &[]);
    let mut foreign = Vec::new();
    for step in steps {
        let sql = match step {
            Step::Begin => format!("BEGIN -- {tag}"),
            Step::Write => format!("INSERT INTO t VALUES ('{tag}')"),
            Step::WriteLost => format!("INSERT INTO {MARK} VALUES ('{tag}')"),
            Step::Read => format!("SELECT '{tag}' FROM t FOR UPDATE"),
            Step::ReadLate => format!("SELECT '{tag}' FROM {LATE} FOR UPDATE"),
            Step::Commit => format!("COMMIT -- {tag}"),
            Step::Rollback => format!("ROLLBACK -- {tag}"),
            Step::Disconnect => {
                client.send(&format!("INSERT INTO {LATE} VALUES ('{tag}')"));
                return foreign;
            }
        };
        let answer = client.query(&sql);
        let expected = matches!(step, Step::Read | Step::ReadLate) && answer.error.is_none();
        if answer.rows.len() != usize::from(expected) || answer.rows.iter().any(|row| *row != tag) {
            foreign.push(format!("{sql}: {answer:?}"));
        }
    }
    foreign
}

fn tag_of(sql: &str) -> Option<&str> {
    let start = sql.find("client")?;
    let end = start + sql[start..].find('.')?;
    sql.get(start..end)
}

/// The first statement on any connection that ran inside another client's transaction.
fn find_mixed_transaction(connections: &[Vec<String>]) -> Option<String> {
    for connection in connections {
        let mut owner: Option<&str> = None;
        for sql in connection {
            let tag = tag_of(sql);
            if let (Some(owner), Some(tag)) = (owner, tag)
                && owner != tag
            {
                return Some(format!("{sql} inside the transaction of {owner}"));
            }
            if sql.starts_with("BEGIN") {
                owner = tag;
            } else if sql.starts_with("COMMIT") || sql.starts_with("ROLLBACK") {
                owner = None;
            }
        }
    }
    None
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 40,
        max_shrink_iters: 20,
        rng_seed: RngSeed::Fixed(4),
        ..ProptestConfig::default()
    })]

    #[test]
    fn clients_never_share_a_transaction_or_get_rows_of_another_client(clients in steps()) {
        let foreign: Vec<String> = thread::scope(|scope| {
            let running: Vec<_> =
                clients.iter().map(|steps| scope.spawn(move || run(steps))).collect();
            running.into_iter().flat_map(|client| client.join().expect("no panic")).collect()
        });
        prop_assert!(foreign.is_empty(), "{foreign:?}");
        prop_assert_eq!(find_mixed_transaction(&FIXTURE.group.script().connections), None);
    }
}

#[test]
fn the_check_detects_a_mixed_transaction() {
    let connection = ["BEGIN -- client1.", "INSERT INTO t VALUES ('client2.')"].map(str::to_owned);
    assert!(find_mixed_transaction(&[connection.to_vec()]).is_some());
}
