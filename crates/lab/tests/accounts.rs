//! Callers that show keys, on the users' platform: who is told to back ends, what becomes of sessions
//! whose keys are taken away, nodes that cannot learn whether keys stand, and quotas over all nodes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use kestrellock_core::catalog::Consistency;
use kestrellock_daemon::metrics::PrewarmEvent;
use kestrellock_daemon::node::Node;
use kestrellock_lab::platform::client::{Answer, LineSession};
use kestrellock_lab::platform::{Customer, GROUPS, Platform, PlatformOptions, database, wait};

/// Refusals after which an account has surely asked for more than it may.
const REFUSALS: u32 = 100;
/// Longest time in which it does.
const LIMIT: Duration = Duration::from_secs(30);
/// More than an account of these tests asks.
const PLENTY: (f64, f64) = (10_000.0, 10_000.0);

fn customer(name: &str, keys: &[&str], quota: (f64, f64)) -> Customer {
    let keys = keys.iter().map(|key| (*key).to_owned()).collect();
    Customer { name: name.to_owned(), keys, quota }
}

fn start(options: PlatformOptions, customers: &[Customer]) -> Platform {
    let mut platform = Platform::start(options).expect("it starts");
    platform.configure_customers(customers);
    platform.wait_until_ready().expect("it is ready");
    let count = customers.len();
    wait("every node knows the customers", || {
        platform.nodes().all(|node| node.context.catalog.load().accounts.len() == count)
    })
    .expect("in time");
    platform
}

fn open(platform: &Platform, node: usize, key: &str, name: &str) -> miette::Result<LineSession> {
    let database = database(GROUPS[0], Consistency::Session);
    LineSession::open_with_key(platform.client_addresses[node], &database, key, name)
}

fn run(session: &mut LineSession, text: &str) -> Answer {
    session.run(text).expect("an answer")
}

/// Runs a statement, again after a while where the node says that it may.
fn run_patiently(session: &mut LineSession, text: &str) -> Answer {
    let end = Instant::now() + Duration::from_secs(10);
    loop {
        let answer = run(session, text);
        if answer.error_code() != Some("BUSY") || Instant::now() >= end {
            return answer;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn a_statement_runs_on_a_connection_of_the_account_whose_key_was_shown() {
    let customers = ["atlas", "gidanmu", "swanreach"]
        .map(|name| customer(name, &[&format!("{name}-1"), &format!("{name}-2")], PLENTY));
    let platform =
        start(PlatformOptions { max_connections: 8, ..PlatformOptions::default() }, &customers);
    let mut expected = BTreeMap::new();
    for round in 0..4 {
        for (number, customer) in customers.iter().enumerate() {
            for (index, key) in customer.keys.iter().enumerate() {
                let name = format!("{}-{index}-{round}", customer.name);
                let mut session =
                    open(&platform, (number + round) % 3, key, &name).expect("it opens");
                let id = session.next_statement_id();
                assert!(run_patiently(&mut session, "READ page").is_success(), "{id}");
                expected.insert(name, customer.name.clone());
            }
        }
    }
    let runs = platform.groups[0].executed_statements();
    let mut seen = BTreeSet::new();
    for run in &runs {
        let owner = expected.iter().find(|(name, _)| run.id.starts_with(&format!("{name}-")));
        let (name, owner) = owner.expect("a caller asked for it");
        assert_eq!(run.account, *owner, "{}", run.id);
        seen.insert(name.clone());
    }
    assert_eq!(seen.len(), expected.len(), "every caller was served");
    for connection in
        runs.iter().map(|run| (&run.instance, run.connection)).collect::<BTreeSet<_>>()
    {
        let of = runs.iter().filter(|run| (&run.instance, run.connection) == connection);
        let accounts: BTreeSet<&str> = of.map(|run| run.account.as_str()).collect();
        assert_eq!(accounts.len(), 1, "a connection serves one account for its life");
    }
}

#[test]
fn unknown_and_missing_keys_are_refused_at_once() {
    let platform = start(PlatformOptions::default(), &[customer("atlas", &["right"], PLENTY)]);
    for key in ["wrong", "", "right2", "RIGHT", "righ"] {
        let error = open(&platform, 0, key, "w").err().expect("it is refused").to_string();
        assert!(error.starts_with("UNAUTH: KL1104 not run"), "{key}: {error}");
        assert!(!error.contains(key) || key.is_empty(), "no answer tells a key: {error}");
    }
    assert!(open(&platform, 0, "right", "r").is_ok());
}

#[test]
fn without_customers_nobody_gets_in_and_without_their_list_everybody_does() {
    let mut platform = Platform::start(PlatformOptions::default()).expect("it starts");
    platform.wait_until_ready().expect("it is ready");
    assert!(open(&platform, 0, "whoever", "w").is_ok(), "no list: keys mean nothing");
    platform.configure_customers(&[]);
    wait("nobody gets in", || open(&platform, 0, "whoever", "w").is_err()).expect("in time");
}

#[test]
fn a_key_that_is_taken_away_ends_idle_sessions_and_resting_transactions() {
    let both = customer("atlas", &["old", "new"], PLENTY);
    let other = customer("gidanmu", &["theirs"], PLENTY);
    let mut platform = start(PlatformOptions::default(), &[both, other.clone()]);
    let mut idle = open(&platform, 0, "old", "idle").expect("it opens");
    assert!(run_patiently(&mut idle, "READ seat").is_success());
    let mut resting = open(&platform, 1, "old", "resting").expect("it opens");
    assert!(run_patiently(&mut resting, "BEGIN").is_success());
    assert!(run(&mut resting, "WRITE seat taken").is_success());
    let mut stays = open(&platform, 1, "new", "stays").expect("it opens");
    let mut theirs = open(&platform, 0, "theirs", "theirs").expect("it opens");
    platform.configure_customers(&[customer("atlas", &["new"], PLENTY), other]);
    wait("the resting transaction has its last answer", || {
        let answer = resting.run("COMMIT");
        match answer {
            Ok(answer) => {
                assert_ne!(answer.outcome.is_ok(), answer.error_code().is_some());
                answer.error_code() == Some("UNAUTH")
            }
            Err(_) => true,
        }
    })
    .expect("in time");
    wait("the idle session is closed", || {
        idle.run("READ seat").map_or(true, |answer| answer.error_code() == Some("UNAUTH"))
    })
    .expect("in time");
    assert!(run_patiently(&mut stays, "READ seat").is_success(), "another key of the account");
    assert!(run_patiently(&mut theirs, "READ seat").is_success(), "another account");
    assert!(open(&platform, 0, "old", "late").is_err(), "the key is gone");
}

#[test]
fn a_node_that_hears_nothing_refuses_once_its_evidence_is_too_old() {
    let options = PlatformOptions {
        revocation_limit: Some(Duration::from_secs(2)),
        relayed: true,
        ..PlatformOptions::default()
    };
    let platform = start(options, &[customer("atlas", &["key"], PLENTY)]);
    let mut session = open(&platform, 0, "key", "s").expect("it opens");
    assert!(run_patiently(&mut session, "READ seat").is_success());
    platform.store.set_outage(true);
    let mut refused = None;
    wait("statements are refused", || {
        let answer = run(&mut session, "READ seat");
        refused = answer.outcome.err().filter(|(word, _)| word == "BUSY");
        refused.is_some()
    })
    .expect("in time");
    let (_, text) = refused.expect("it was refused");
    assert!(text.contains("KL1106 not run"), "{text}");
    assert!(text.contains("retry after"), "{text}");
    platform.store.set_outage(false);
    wait("statements run again", || run(&mut session, "READ seat").is_success()).expect("in time");
}

#[test]
fn an_account_gets_no_more_than_its_quota_over_all_nodes() {
    let (rate, burst) = (40.0, 10.0);
    let small = customer("small", &["small"], (rate, burst));
    let platform =
        start(PlatformOptions::default(), &[small, customer("large", &["large"], PLENTY)]);
    let mut sessions: Vec<LineSession> = (0..6)
        .map(|number| {
            open(&platform, number % 3, "small", &format!("s{number}")).expect("it opens")
        })
        .collect();
    let mut other = open(&platform, 0, "large", "other").expect("it opens");
    let began = Instant::now();
    let (mut ran, mut refused) = (0, 0);
    while refused < REFUSALS && began.elapsed() < LIMIT {
        for session in &mut sessions {
            let answer = run(session, "READ page");
            match answer.outcome {
                Ok(_) => ran += 1,
                Err((word, text)) => {
                    assert_eq!(word, "BUSY", "{text}");
                    assert!(text.contains("KL1405 not run"), "{text}");
                    refused += 1;
                }
            }
        }
        assert!(run(&mut other, "READ page").is_success(), "another account notices nothing");
    }
    let seconds = began.elapsed().as_secs_f64() + 0.5;
    let most = (rate * seconds + burst) * 1.1 + 20.0;
    assert!(f64::from(ran) <= most, "{ran} of {most}");
    assert!(f64::from(ran) >= burst, "{ran} ran, {refused} were refused");
    assert!(refused >= REFUSALS, "it asked for more than it may");
}

#[test]
fn an_account_without_any_rate_runs_nothing_and_whole_transactions_count_once() {
    let none = customer("none", &["none"], (0.0, 0.0));
    let few = customer("few", &["few"], (0.0, 1.0));
    let platform = start(PlatformOptions::default(), &[none, few]);
    let mut nothing = open(&platform, 0, "none", "n").expect("it opens");
    assert_eq!(run(&mut nothing, "READ page").error_code(), Some("BUSY"));
    let mut few = open(&platform, 0, "few", "f").expect("it opens");
    assert!(run_patiently(&mut few, "BEGIN").is_success());
    for number in 0..20 {
        let answer = run(&mut few, &format!("WRITE seat s{number}"));
        assert!(answer.is_success(), "a statement of the transaction needs no token: {answer:?}");
    }
    assert!(run(&mut few, "COMMIT").is_success());
}

/// Keys hold through a return of the store from an older copy: what the copy lacks of them stays in force until the
/// operator writes it again, and a caller whose key stands is not refused once that has been done.
#[test]
fn keys_hold_while_the_store_comes_back_from_an_older_copy() {
    let options = PlatformOptions {
        revocation_limit: Some(Duration::from_secs(2)),
        ..PlatformOptions::default()
    };
    let mut platform = start(options, &[customer("atlas", &["old", "new"], PLENTY)]);
    let copy = platform.store.snapshot();
    for number in 0..40 {
        platform.store.put("others/key", &[number]);
    }
    platform.configure_customers(&[customer("atlas", &["new"], PLENTY)]);
    let is_revoked = |platform: &Platform, node| open(platform, node, "old", "late").is_err();
    wait("the key is out of use", || (0..3).all(|node| is_revoked(&platform, node)))
        .expect("in time");
    platform.restore_store(&copy, Duration::from_millis(500));
    let end = Instant::now() + Duration::from_secs(3);
    while Instant::now() < end {
        assert!((0..3).all(|node| is_revoked(&platform, node)), "the copy holds the key");
    }
    platform.configure_customers(&[customer("atlas", &["new"], PLENTY)]);
    for node in 0..3 {
        let mut session = open(&platform, node, "new", &format!("n{node}")).expect("it opens");
        assert!(run_patiently(&mut session, "READ seat").is_success());
    }
}

/// Guards against first statements that wait for a connection of their account, and against
/// requests that reach another owner than the statement: then the connection would stay unused.
#[test]
fn a_connection_opened_at_login_runs_the_first_statement() {
    let options = PlatformOptions { prewarm_connections: true, ..PlatformOptions::default() };
    let customers: Vec<Customer> = ["atlas", "gidanmu", "swanreach", "venn"]
        .map(|name| customer(name, &[name], PLENTY))
        .into();
    let platform = start(options, &customers);
    let count = |event| {
        let metric = |node: &Node| node.context.metrics.prewarmed_connections.get(event);
        platform.nodes().map(metric).sum::<u64>()
    };
    for (number, customer) in customers.iter().enumerate() {
        let name = &customer.name;
        let opened = count(PrewarmEvent::Opened);
        let mut session = open(&platform, number % 3, name, name).expect("it opens");
        wait("a connection is opened", || count(PrewarmEvent::Opened) > opened).expect("in time");
        assert!(run_patiently(&mut session, "READ page").is_success(), "{name}");
    }
    wait("the statements ran on them", || count(PrewarmEvent::Used) >= 1).expect("in time");
}
