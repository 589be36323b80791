//! The rate of the log lines that single requests cause. A burst of requests must not flood the
//! log, and metrics must count each of them.

mod support;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use kestrellock_core::cancel::CancelKey;
use kestrellock_core::catalog::{
    Catalog, Elector, Group, IndexedCatalog, Priority, TenantParameters,
};
use kestrellock_core::credential::Credential;
use kestrellock_core::exchange_state::Fault;
use kestrellock_core::ids::{GroupName, InstanceName, LeaseId, NodeName, TenantName, ZoneName};
use kestrellock_core::outcome::{Refusal, ResultCode};
use kestrellock_core::position::{LogOffset, Position, Term};
use kestrellock_core::rendezvous::Candidate;
use kestrellock_core::routing::{Access, Role};
use kestrellock_core::session_state::SessionState;
use kestrellock_daemon::agent::promotion::write_back;
use kestrellock_daemon::context::NodeContext;
use kestrellock_daemon::event::Io;
use kestrellock_daemon::front::decision_log;
use kestrellock_daemon::front::session::unanswered::count_unanswered;
use kestrellock_daemon::gateway::Gateway;
use kestrellock_daemon::gateway::confirmation::{Commit, Confirmations, refuse_late};
use kestrellock_daemon::gateway::event_log;
use kestrellock_daemon::gateway::running_exchange::RunningExchange;
use kestrellock_daemon::links::link;
use kestrellock_daemon::metrics::{
    CommitWait, HeldFor, LoggedEvent, PreparationEvent, UnansweredRequest,
};
use kestrellock_daemon::node::{Listeners, Node};
use kestrellock_daemon::policy::Policy;
use kestrellock_daemon::settings::Settings;
use kestrellock_daemon::shared::event_log_limiters::MAX_REFUSAL_LIMITERS;
use kestrellock_daemon::shared::live::LiveNode;
use kestrellock_peer::channel::ChannelError;
use kestrellock_peer::message::{
    Exchange, GatewayCall, Placement, PlacementRequirements, ToGateway, TransactionState,
};
use kestrellock_protocol::backend::{Failure, Report};
use kestrellock_protocol::facts_cache::FactsCache;
use kestrellock_protocol::login::Login;
use kestrellock_protocol::request::Request;
use kestrellock_store::store::StoreError;
use mio::Poll;
use support::log_lines::{collect, lines_of, suppressed};

const OWN: &str = "own";
const LINES_PER_SECOND: u32 = 20;
const BURST: u64 = 100;
const DEADLINE: Duration = Duration::from_secs(60);
const SECOND: Duration = Duration::from_secs(1);

/// The shared state of a node whose threads do not run, so that only the test changes it.
fn context() -> Arc<NodeContext> {
    let mut settings = Settings::loopback(NodeName::new(OWN), ZoneName::new("z"));
    settings.ordinary_lines_per_second = LINES_PER_SECOND;
    let listeners = Listeners::bind(&mut settings).expect("free ports");
    let group = support::scripted::ScriptedGroup::start();
    let store = support::store(&group, DEADLINE);
    let node = Node::start(&settings, listeners, store, Policy::Standard).expect("it starts");
    let context = node.context.clone();
    node.kill();
    context.catalog.store(IndexedCatalog::new(Catalog {
        groups: [(GroupName::new("g"), group_of_one())].into(),
        ..Catalog::default()
    }));
    let candidate = Candidate { node: NodeName::new(OWN), zone: ZoneName::new("z"), link_mbps: 0 };
    let peer_address = SocketAddr::from(([127, 0, 0, 1], 1));
    context.live.store(vec![LiveNode { candidate, peer_address, accepts_work: true }]);
    context
}

/// A group whose primary the proxy replaces, and whose only instance does not run.
fn group_of_one() -> Group {
    let text = "database = 'd'\nuser = 'u'\n[[instances]]\nname = 'i'\nzone = 'z'\n\
                address = '127.0.0.1:1'\nslots = 1\nconnections = 12";
    let mut group: Group = toml::from_str(text).expect("the group is valid");
    group.elector = Elector::Proxy;
    group
}

fn lease(serial: u64) -> LeaseId {
    LeaseId { node: NodeName::new("front"), incarnation: 1, shard: 0, serial }
}

fn with_io(context: &NodeContext, now: Instant, work: impl FnOnce(&mut Io)) {
    let poll = Poll::new().expect("an event loop");
    let (registry, mut outbox) = (poll.registry(), VecDeque::new());
    work(&mut Io { registry, now, outbox: &mut outbox, context, shard: 0 });
}

fn commit(serial: u64) -> Commit {
    let flushed = Position { term: Term(1), offset: LogOffset(1) };
    Commit {
        lease: lease(serial),
        sequence: 0,
        instance: InstanceName::new("i"),
        is_covered: false,
        report: Some(Report { role: Role::Primary, flushed, applied: flushed, min_term: Term(0) }),
        deadline: Instant::now() + DEADLINE,
        frames: Bytes::from_static(b"frames"),
        transaction: TransactionState::Idle,
    }
}

fn exchange(serial: u64) -> Exchange {
    Exchange {
        lease: lease(serial),
        number: 0,
        request: Some(format!("request-{serial}")),
        placement: Placement::Any(PlacementRequirements {
            staleness: Some(Duration::ZERO),
            ..PlacementRequirements::default()
        }),
        tenant: TenantName::new("t"),
        account: None,
        access: Access::PrimaryRead { bound: None },
        priority: Priority::default(),
        time_left: DEADLINE,
        statements: Vec::new(),
        settings: Vec::new(),
        taints: false,
        frames: Bytes::from_static(b"frames"),
        ready_expected: 1,
        may_commit: false,
        commits_write: false,
        required_lead: None,
    }
}

/// Guards against a log that grows with the commits of a node without evidence: each commit logged a
/// line. The next second states how many lines were suppressed.
#[test]
fn a_burst_of_commits_that_wait_logs_a_bounded_number_of_lines_and_is_counted() {
    let (context, group, now) = (context(), group_of_one(), Instant::now());
    let mut confirmations = Confirmations::default();
    let mut add = |serial, now| {
        let name = GroupName::new("g");
        with_io(&context, now, |io| {
            confirmations.add_commit(commit(serial), &name, &group, io);
        });
    };
    collect();
    (0..BURST).for_each(|serial| add(serial, now));
    assert_eq!(lines_of("commit_waits"), LINES_PER_SECOND as usize);
    add(BURST, now + SECOND);
    assert_eq!(lines_of("commit_waits"), LINES_PER_SECOND as usize + 1);
    assert_eq!(suppressed("commit_waits"), [BURST - u64::from(LINES_PER_SECOND)]);
    assert_eq!(context.metrics.commit_waits.get(CommitWait::Unlisted), BURST + 1);
}

/// Guards against a log that grows with the requests that arrive while no instance qualifies. Lines
/// of other events have limits of their own.
#[test]
fn a_burst_of_requests_that_wait_logs_a_bounded_number_of_lines_and_is_counted() {
    let (context, now) = (context(), Instant::now());
    let mut gateway = Gateway::default();
    let mut receive = |serial, now| {
        let call = GatewayCall::Exchange(Box::new(exchange(serial)));
        let message = ToGateway { from: NodeName::new("front"), group: GroupName::new("g"), call };
        with_io(&context, now, |io| gateway.on_call(message, io));
    };
    collect();
    (0..BURST).for_each(|serial| receive(serial, now));
    assert_eq!(lines_of("held"), LINES_PER_SECOND as usize);
    assert!(context.event_log_limiters.commit_waits.admits(now), "other lines are not suppressed");
    receive(BURST, now + SECOND);
    assert_eq!(lines_of("held"), LINES_PER_SECOND as usize + 1);
    assert_eq!(suppressed("held"), [BURST - u64::from(LINES_PER_SECOND)]);
    let held: u64 = [HeldFor::Evidence, HeldFor::Instance]
        .map(|reason| context.metrics.held.get(reason))
        .into_iter()
        .sum();
    assert_eq!(held, BURST + 1);
}

/// Guards against a log that grows with the clients of an overloaded node: each refusal logged a
/// line. Refusals with another code, and all in doubt, are still logged.
#[test]
fn a_burst_of_refusals_logs_a_bounded_number_of_lines_with_each_code() {
    let (context, now) = (context(), Instant::now());
    let refuse = |code, now| {
        let refusal = Refusal::new(code, "refused");
        with_io(&context, now, |io| {
            decision_log::log_refused(None, None, None, None, &refusal, io);
        });
    };
    let limit = LINES_PER_SECOND as usize;
    collect();
    (0..BURST).for_each(|_| refuse(ResultCode::Overloaded, now));
    assert_eq!(lines_of("refused"), limit);
    refuse(ResultCode::NoPrimary, now);
    assert_eq!(lines_of("refused"), limit + 1);
    (0..BURST).for_each(|_| refuse(ResultCode::SupersededInDoubt, now));
    assert_eq!(lines_of("refused"), limit + 1 + BURST as usize);
    refuse(ResultCode::Overloaded, now + SECOND);
    assert_eq!(suppressed("refused"), [BURST - u64::from(LINES_PER_SECOND)]);
}

/// A request that arrived at `now`.
fn request(now: Instant) -> Request {
    Request {
        id: Some("request".to_owned()),
        messages: Bytes::from_static(b"messages"),
        statements: Vec::new(),
        facts: FactsCache::default().facts_of(b"SELECT 1"),
        executes: true,
        text: None,
        rollback_replies: Bytes::new(),
        is_local: false,
        arrived: now,
        deadline: now + DEADLINE,
        sent: true,
    }
}

/// Guards against a log that grows with the attempts of requests while a primary is replaced: each
/// attempt logged a line.
#[test]
fn a_burst_of_retries_logs_a_bounded_number_of_lines_and_is_counted() {
    let (context, now) = (context(), Instant::now());
    let refusal = Refusal::new(ResultCode::NotPrimary, "refused");
    let retry = |now| {
        with_io(&context, now, |io| decision_log::log_retried(&request(now), &refusal, io));
    };
    collect();
    (0..BURST).for_each(|_| retry(now));
    assert_eq!(lines_of("retried"), LINES_PER_SECOND as usize);
    retry(now + SECOND);
    assert_eq!(suppressed("retried"), [BURST - u64::from(LINES_PER_SECOND)]);
    assert_eq!(context.metrics.retries.get(ResultCode::NotPrimary), BURST + 1);
}

/// Causes a burst of an event in one second and one more in the next, and checks that the lines are
/// limited, that the suppressed ones are stated, and that the lines of other events are not
/// suppressed.
fn check_burst(context: &NodeContext, event: &str, mut cause: impl FnMut(&mut Io)) {
    let now = Instant::now();
    collect();
    (0..BURST).for_each(|_| with_io(context, now, &mut cause));
    assert_eq!(lines_of(event), LINES_PER_SECOND as usize, "lines of {event}");
    assert!(context.event_log_limiters.retries.admits(now), "other lines are not suppressed");
    with_io(context, now + SECOND, &mut cause);
    assert_eq!(lines_of(event), LINES_PER_SECOND as usize + 1, "lines of {event}");
    assert_eq!(suppressed(event), [BURST - u64::from(LINES_PER_SECOND)]);
}

/// Guards against a log that grows with the statements for which an instance fails to establish the
/// session state.
#[test]
fn a_burst_of_failed_preparations_logs_a_bounded_number_of_lines_and_is_counted() {
    let context = context();
    let (group, instance, exchange) = (GroupName::new("g"), InstanceName::new("i"), exchange(0));
    let mut failures = [Some(Failure::Other), None].into_iter().cycle();
    check_burst(&context, "preparation_failed", |io| {
        let failure = failures.next().expect("a cycle");
        event_log::log_unprepared(&exchange, &group, &instance, failure, io);
    });
    let preparations = &context.metrics.preparations;
    assert_eq!(preparations.get(PreparationEvent::Failed), BURST / 2 + 1);
    assert_eq!(preparations.get(PreparationEvent::Interrupted), BURST / 2);
}

/// Guards against a log that grows with the writes that run when an instance ends. Reads are neither
/// logged nor counted.
#[test]
fn a_burst_of_failed_writes_logs_a_bounded_number_of_lines_and_is_counted() {
    let context = context();
    let (group, instance) = (GroupName::new("g"), InstanceName::new("i"));
    let running = |access| {
        let exchange = Exchange { access, may_commit: true, ..exchange(0) };
        RunningExchange::new(&exchange, false, 0, Instant::now() + DEADLINE)
    };
    let log = |running: &RunningExchange, io: &Io| {
        event_log::log_failed_write(running, &group, &instance, Fault::InstanceConnectionLost, io);
    };
    let read = running(Access::PrimaryRead { bound: None });
    with_io(&context, Instant::now(), |io| log(&read, io));
    let write = running(Access::Write { bound: None });
    check_burst(&context, "write_failed", |io| log(&write, io));
    assert_eq!(context.metrics.events.get(LoggedEvent::WriteFailed), BURST + 1);
}

/// Guards against a log that grows with the commits that an old primary answers late.
#[test]
fn a_burst_of_late_answers_logs_a_bounded_number_of_lines_and_is_counted() {
    let context = context();
    let group = GroupName::new("g");
    check_burst(&context, "answer_too_late", |io| refuse_late(&group, commit(0), io));
    assert_eq!(context.metrics.events.get(LoggedEvent::AnswerTooLate), BURST + 1);
}

/// Guards against a log that grows with the exchanges that arrive on an old link after they were
/// reported as not run.
#[test]
fn a_burst_of_dropped_exchanges_logs_a_bounded_number_of_lines_and_is_counted() {
    let context = context();
    let mut gateway = Gateway::default();
    with_io(&context, Instant::now(), |io| gateway.mark_not_run(&lease(0), io));
    check_burst(&context, "ruled_out", |io| {
        let call = GatewayCall::Exchange(Box::new(exchange(0)));
        let message = ToGateway { from: NodeName::new("front"), group: GroupName::new("g"), call };
        gateway.on_call(message, io);
    });
    assert_eq!(context.metrics.events.get(LoggedEvent::RuledOut), BURST + 1);
}

/// Guards against a log that grows with the open transactions in a zone that is drained.
#[test]
fn a_burst_of_drained_transactions_logs_a_bounded_number_of_lines_and_is_counted() {
    let (context, instance) = (context(), InstanceName::new("i"));
    check_burst(&context, "transaction_drained", |io| {
        event_log::log_drained(&lease(0), &instance, io);
    });
    assert_eq!(context.metrics.events.get(LoggedEvent::TransactionDrained), BURST + 1);
}

/// Guards against a log that grows with the clients whose connections a node closes.
#[test]
fn a_burst_of_unanswered_requests_logs_a_bounded_number_of_lines_and_is_counted() {
    let context = context();
    check_burst(&context, "request_unanswered", |io| {
        count_unanswered(UnansweredRequest::InProgress, Some("id"), io.context, io.now);
    });
    let unanswered = &context.metrics.unanswered_requests;
    assert_eq!(unanswered.get(UnansweredRequest::InProgress), BURST + 1);
}

/// Guards against a log that grows with the links that a node of another cluster opens.
#[test]
fn a_burst_of_links_with_errors_logs_a_bounded_number_of_lines_and_is_counted() {
    let context = context();
    check_burst(&context, "link_closed", |io| link::log_closed(&ChannelError::OtherCluster, io));
    assert_eq!(context.metrics.events.get(LoggedEvent::LinkClosed), BURST + 1);
}

/// Guards against a log that grows with the number of groups while the store does not answer.
#[test]
fn a_burst_of_failed_write_backs_logs_a_bounded_number_of_lines_and_is_counted() {
    let (context, group) = (context(), GroupName::new("g"));
    let error = StoreError::Unreachable("refused".to_owned());
    check_burst(&context, "not_written_back", |io| {
        write_back::log_failure(&group, &error, io.context, io.now);
    });
    assert_eq!(context.metrics.events.get(LoggedEvent::NotWrittenBack), BURST + 1);
}

/// A client of a group.
fn login(group: &str) -> Login {
    let template = "groups = []\nmax_staleness_ms = 0\ncapacity = 1\ndeadline_ms = 1000";
    let values = toml::from_str(template).expect("the template is valid");
    Login {
        parameters: TenantParameters { tenant: TenantName::new("t"), values },
        credential: Credential::Anonymous,
        database: "d".to_owned(),
        group: GroupName::new(group),
        bound: None,
        request_key: None,
        state: SessionState::default(),
        cancel_key: CancelKey { process: 0, secret: 0 },
    }
}

/// Guards against refusals of one group that suppress those of another group with the same code.
#[test]
fn a_burst_of_refusals_of_one_group_does_not_suppress_those_of_another() {
    let (context, now) = (context(), Instant::now());
    let refuse = |group: &str, now| {
        let refusal = Refusal::new(ResultCode::Overloaded, "refused");
        with_io(&context, now, |io| {
            decision_log::log_refused(None, Some(&login(group)), None, None, &refusal, io);
        });
    };
    let limit = LINES_PER_SECOND as usize;
    collect();
    (0..BURST).for_each(|_| refuse("loud", now));
    assert_eq!(lines_of("refused"), limit);
    refuse("quiet", now);
    assert_eq!(lines_of("refused"), limit + 1);
    refuse("quiet", now + SECOND);
    assert!(suppressed("refused").is_empty(), "none of this group was suppressed");
    refuse("loud", now + SECOND);
    assert_eq!(lines_of("refused"), limit + 3);
    assert_eq!(suppressed("refused"), [BURST - u64::from(LINES_PER_SECOND)]);
}

/// Guards against memory and a log that grow with the number of groups. Groups without a limiter of
/// their own share that of the code; in the next second they get one, and the lines that the others
/// suppressed are stated.
#[test]
fn refusals_of_many_groups_are_limited_in_memory_and_lines() {
    let context = context();
    let (now, limit) = (Instant::now(), LINES_PER_SECOND as usize);
    let refusals = &context.event_log_limiters.refusals;
    let admits = |group: usize, now| {
        let group = GroupName::new(format!("group-{group}"));
        refusals.admits(ResultCode::Overloaded, Some(&group), now)
    };
    let admitted = |groups: std::ops::Range<usize>, now| {
        let times = |group| (0..BURST).filter(|_| admits(group, now)).count();
        groups.map(times).sum::<usize>()
    };
    collect();
    assert_eq!(admitted(0..MAX_REFUSAL_LIMITERS, now), MAX_REFUSAL_LIMITERS * limit);
    let further = MAX_REFUSAL_LIMITERS..10 * MAX_REFUSAL_LIMITERS;
    assert_eq!(admitted(further, now), limit);
    assert_eq!(refusals.count_by_group(), MAX_REFUSAL_LIMITERS);
    assert!(refusals.admits(ResultCode::NoPrimary, None, now), "another code is not suppressed");
    assert!(suppressed("refused").is_empty());

    let last = 10 * MAX_REFUSAL_LIMITERS;
    assert_eq!(admitted(last..last + 1, now + SECOND), limit);
    assert_eq!(refusals.count_by_group(), 1);
    let each = BURST - u64::from(LINES_PER_SECOND);
    assert_eq!(suppressed("refused"), vec![each; MAX_REFUSAL_LIMITERS]);
}
