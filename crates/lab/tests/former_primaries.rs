//! Statements at a former primary whose node has not learned of the replacement: none may run on a
//! log that lacks a commit which the successor has acknowledged before.

use std::time::{Duration, Instant};

use kestrellock_core::catalog::Consistency;
use kestrellock_core::ids::{GroupName, InstanceName, NodeName};
use kestrellock_core::promotion::PromotionAnswer;
use kestrellock_lab::platform::client::LineSession;
use kestrellock_lab::platform::{GROUPS, Platform, PlatformOptions, database, wait};
use kestrellock_net::source::SourceAddress;
use kestrellock_platform::control::PlatformPromotions;
use kestrellock_store::control::{PromotionRequest, PromotionService};

/// Time that the promotion call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Longer than evidence is renewed after the last statement, and then covers arrivals. Coordinators,
/// which this promotion does without, would wait for it to expire.
const REST: Duration = Duration::from_millis(4_500);

/// A platform with one node, which knows nothing of the successor that the rest of the system has
/// promoted: the store sends it no changes. The former primary does not know of the successor
/// either for a second.
struct Replaced {
    platform: Platform,
    former: String,
    sessions: Vec<LineSession>,
}

impl Replaced {
    /// Clients of the node rest until evidence has expired, and the successor acknowledges a commit.
    fn start(consistency: Consistency, names: &[&str], pauses_node: bool) -> Self {
        let options = PlatformOptions { nodes: 1, ..PlatformOptions::default() };
        let platform = Platform::start(options).expect("it starts");
        platform.wait_until_ready().expect("it is ready");
        let group = &platform.groups[0];
        let former = group.primary().expect("a primary");
        let route = database(GROUPS[0], consistency);
        let open = |name: &&str| {
            LineSession::open(platform.client_addresses[0], &route, name).expect("it opens")
        };
        let mut sessions: Vec<LineSession> = names.iter().map(open).collect();
        for session in &mut sessions {
            wait("a write is answered", || {
                session.run("WRITE thing before").expect("an answer").is_success()
            })
            .expect("in time");
            let prepared = session.run("PREPARE put WRITE shape").expect("an answer");
            assert!(prepared.is_success(), "{prepared:?}");
        }
        platform.store.set_outage(true);
        platform.set_paused(0, pauses_node);
        std::thread::sleep(REST);
        let successor = group.instances().into_iter().find(|name| *name != former);
        let successor = successor.expect("a replica");
        promote(&platform, &successor);
        let address = group.address(&successor).expect("an address");
        wait("the successor acknowledges a commit", || {
            let session = LineSession::open(address, GROUPS[0], "direct");
            let answer = session.and_then(|mut session| session.run("WRITE thing after"));
            answer.is_ok_and(|answer| answer.is_success())
        })
        .expect("in time");
        Self { platform, former, sessions }
    }

    /// Asserts that no statement of the node's clients has run since `count` statements had.
    fn assert_nothing_has_run_since(&self, count: usize) {
        let executed = self.platform.groups[0].executed_statements();
        let late: Vec<_> =
            executed[count..].iter().filter(|run| run.instance == self.former).collect();
        assert!(late.is_empty(), "ran at the former primary: {late:?}");
    }
}

/// Promotes an instance although the node has not asked for it.
fn promote(platform: &Platform, instance: &str) {
    let service =
        PlatformPromotions::new(&platform.promotions.address().to_string(), SourceAddress::ANY);
    let outcome = service.promote(&PromotionRequest {
        group: GroupName::new(GROUPS[0]),
        instance: InstanceName::new(instance),
        coordinator: NodeName::new("test"),
        fence: 1_000_000,
        deadline: Instant::now() + CALL_TIMEOUT,
    });
    assert_eq!(outcome.answer, PromotionAnswer::Accepted, "{:?}", outcome.failure);
}

/// Statements that begin with a write, each for a session of its own.
const WRITES: [(&str, &str); 3] = [
    ("single", "WRITE thing late"),
    ("prepared", "EXECUTE put thing late"),
    ("transaction", "BEGIN"),
];

fn assert_no_write_runs_at_the_former_primary(consistency: Consistency, pauses_node: bool) {
    let names = WRITES.map(|(name, _)| name);
    let mut replaced = Replaced::start(consistency, &names, pauses_node);
    let count = replaced.platform.groups[0].executed_statements().len();
    for ((_, text), session) in WRITES.iter().zip(&mut replaced.sessions) {
        session.send_statement(text).expect("it is sent");
    }
    replaced.platform.set_paused(0, false);
    for session in &mut replaced.sessions {
        let answer = session.read_answer().expect("an answer");
        println!("{:?}", answer.outcome);
        if answer.is_success() {
            let answer = session.run("WRITE thing late").expect("an answer");
            println!("in the transaction: {:?}", answer.outcome);
        }
    }
    replaced.assert_nothing_has_run_since(count);
}

/// Guards against writes on an old log: a node that has heard of nothing for longer than evidence
/// covers sent them to the former primary.
#[test]
fn no_write_runs_at_a_former_primary_without_evidence() {
    for consistency in [Consistency::Primary, Consistency::Session, Consistency::Bounded] {
        assert_no_write_runs_at_the_former_primary(consistency, false);
    }
}

/// Guards against the same by a node that was suspended while the primary was replaced, and finds
/// the writes in its sockets when it continues.
#[test]
fn no_write_that_waited_for_a_suspended_node_runs_at_a_former_primary() {
    assert_no_write_runs_at_the_former_primary(Consistency::Primary, true);
}
