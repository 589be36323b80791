//! Outcome that the client receives for each point at which an instance, a gateway or a link can
//! fail.

mod support;

use std::io::Write;
use std::time::Duration;

use kestrellock_daemon::net::connection::{Connection, ReadOutcome};
use kestrellock_daemon::node::Node;
use kestrellock_daemon::policy::Policy;
use support::client::{Answer, Client};
use support::scripted::{Scripted, ScriptedGroup};
use support::{Pair, wait_until};

/// Long enough that only the scripted fault can cause a timeout.
const LONG_DEADLINE: Duration = Duration::from_secs(20);
/// For cases that wait until the deadline expires.
const SHORT_DEADLINE: Duration = Duration::from_millis(1500);

struct Row {
    name: &'static str,
    deadline: Duration,
    before: &'static [&'static str],
    statement: &'static str,
    scripted: Scripted,
    withheld: bool,
    code: &'static str,
    status: u8,
}

const fn row(
    name: &'static str,
    statement: &'static str,
    scripted: Scripted,
    code: &'static str,
) -> Row {
    let (deadline, before, withheld, status) = (LONG_DEADLINE, [].as_slice(), false, b'I');
    Row { name, deadline, before, statement, scripted, withheld, code, status }
}

const WRITE: &str = "INSERT INTO marked VALUES (1)";
const IN_TRANSACTION: &[&str] = &["BEGIN", "INSERT INTO plain VALUES (1)"];

#[test]
fn each_failure_of_an_instance_has_its_outcome() {
    use Scripted::{
        Answer, Close, CloseBeforePosition, Error, ErrorThenClose, Hang, RefusePosition, StepDown,
    };
    let table = [
        row("answered", WRITE, Answer, ""),
        row("lost after sending", WRITE, Close, "KL1601"),
        row("answer read, position lost", WRITE, CloseBeforePosition, "KL1602"),
        row("answer read, position refused", WRITE, RefusePosition, "KL1602"),
        row("answer read, then no longer primary", WRITE, StepDown, "KL1605"),
        row("error, then lost", WRITE, ErrorThenClose, ""),
        row(
            "several statements",
            "INSERT INTO plain VALUES (1); COMMIT -- marked",
            Close,
            "KL1601",
        ),
        Row { deadline: SHORT_DEADLINE, ..row("hangs", WRITE, Hang, "KL1601") },
        Row {
            deadline: SHORT_DEADLINE,
            withheld: true,
            ..row("not confirmed", WRITE, Answer, "KL1602")
        },
        Row { withheld: true, ..row("an error needs no confirmation", WRITE, Error("23505"), "") },
        Row { deadline: SHORT_DEADLINE, ..row("read-only", WRITE, Error("25006"), "KL1302") },
        Row {
            before: IN_TRANSACTION,
            status: b'E',
            ..row("lost inside a transaction", WRITE, Close, "KL1503")
        },
        Row {
            before: IN_TRANSACTION,
            status: b'E',
            ..row("a read lost inside a transaction", "SELECT 1 AS marked", Close, "KL1503")
        },
        Row { before: IN_TRANSACTION, ..row("commit lost", "COMMIT -- marked", Close, "KL1601") },
        Row {
            before: IN_TRANSACTION,
            ..row("commit answered", "COMMIT -- marked", CloseBeforePosition, "KL1602")
        },
        Row {
            before: IN_TRANSACTION,
            ..row("rollback lost", "ROLLBACK -- marked", Close, "KL1503")
        },
    ];
    for row in &table {
        let group = ScriptedGroup::start();
        let pair = Pair::start(&group, row.deadline, Policy::Standard);
        let mut client = Client::connect(pair.address, &[]);
        for statement in row.before {
            assert_eq!(client.query(statement).error, None, "{}", row.name);
        }
        group.script().on_marked = row.scripted;
        group.script().withheld = row.withheld;
        let answer = client.query(row.statement);
        assert_eq!(answer.code(), row.code, "{}: {answer:?}", row.name);
        // The loss of the connection must be detected, and not the deadline with the same code.
        let message = answer.error.as_ref().map_or("", |(_, message)| message.as_str());
        if row.scripted == Close {
            assert!(message.contains("was lost"), "{}: {message}", row.name);
        }
        let expects_error = !matches!(row.scripted, Answer) || row.withheld;
        assert_eq!(answer.error.is_some(), expects_error, "{}", row.name);
        assert_eq!(answer.status, row.status, "{}", row.name);
        let sent_once = !matches!(row.scripted, Error("25006"));
        assert!(!sent_once || group.seen("marked") == 1, "{}: sent again", row.name);
        // The session continues, and nothing of the lost transaction remains.
        group.script().on_marked = Scripted::Answer;
        group.script().withheld = false;
        if answer.status != b'I' {
            assert_eq!(answer.status, row.status, "{}", row.name);
            assert_eq!(
                client.query("INSERT INTO plain VALUES (2)").code(),
                "KL1503",
                "{}",
                row.name
            );
            assert_eq!(client.query("ROLLBACK").status, b'I', "{}", row.name);
        }
        assert_eq!(client.query("INSERT INTO plain VALUES (3)").error, None, "{}", row.name);
    }
}

/// Fault of the gateway while a marked statement runs, or just before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum GatewayFault {
    Killed,
    Paused,
    PausedBefore,
}

fn run_with_gateway_fault(
    fault: GatewayFault,
    before: &[&str],
    statement: &str,
) -> (Answer, usize) {
    let group = ScriptedGroup::start();
    let deadline = if fault == GatewayFault::Killed { LONG_DEADLINE } else { SHORT_DEADLINE };
    let mut pair = Pair::start(&group, deadline, Policy::Standard);
    let mut client = Client::connect(pair.address, &[]);
    assert_eq!(client.query("INSERT INTO plain VALUES (0)").error, None);
    for statement in before {
        assert_eq!(client.query(statement).error, None);
    }
    group.script().on_marked = Scripted::Hang;
    let pause = |pair: &Pair| pair.gateway.as_ref().expect("running").set_paused(true);
    if fault == GatewayFault::PausedBefore {
        pause(&pair);
        // The event loop checks the flag in its next iteration.
        std::thread::sleep(Duration::from_millis(50));
    }
    client.send(statement);
    if fault != GatewayFault::PausedBefore {
        wait_until("the statement at the instance", || group.seen("marked") == 1);
    }
    match fault {
        GatewayFault::Killed => pair.gateway.take().into_iter().for_each(Node::kill),
        GatewayFault::Paused => pause(&pair),
        GatewayFault::PausedBefore => {}
    }
    let answer = client.answer();
    pair.gateway.iter().for_each(|node| node.set_paused(false));
    (answer, group.seen("marked"))
}

#[test]
fn each_failure_of_a_gateway_has_its_outcome() {
    use GatewayFault::{Killed, Paused, PausedBefore};
    let table: [(GatewayFault, &[&str], &str, &str); 8] = [
        (Killed, &[], WRITE, "KL1604"),
        (Killed, IN_TRANSACTION, WRITE, "KL1503"),
        (Killed, IN_TRANSACTION, "COMMIT -- marked", "KL1604"),
        (Paused, &[], WRITE, "KL1603"),
        (Paused, IN_TRANSACTION, WRITE, "KL1503"),
        (Paused, IN_TRANSACTION, "COMMIT -- marked", "KL1603"),
        (PausedBefore, &[], WRITE, "KL1603"),
        (PausedBefore, IN_TRANSACTION, "COMMIT -- marked", "KL1603"),
    ];
    for (fault, before, statement, code) in table {
        let (answer, sent) = run_with_gateway_fault(fault, before, statement);
        assert_eq!(answer.code(), code, "{fault:?} {before:?} {statement}: {answer:?}");
        assert!(sent <= 1, "{fault:?} {statement} was sent {sent} times");
    }
}

/// A close that arrives together with the last bytes must be detected, although the event loop
/// reports readiness only once for both.
#[test]
fn a_close_right_after_an_answer_is_detected() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    let mut sender = std::net::TcpStream::connect(address).expect("it connects");
    let (receiver, _) = listener.accept().expect("it is accepted");
    receiver.set_nonblocking(true).expect("non-blocking");
    let mut poll = mio::Poll::new().expect("an event loop");
    sender.write_all(b"last bytes").expect("it sends");
    drop(sender);
    let stream = mio::net::TcpStream::from_std(receiver);
    let token = mio::Token(0);
    let mut connection =
        Connection::register(stream, token, poll.registry(), false).expect("it registers");
    let mut events = mio::Events::with_capacity(1);
    wait_until("the close", || {
        poll.poll(&mut events, Some(Duration::from_millis(10))).expect("it polls");
        events.iter().any(|event| event.is_read_closed())
    });
    assert_eq!(connection.fill(), ReadOutcome::Closed);
    assert_eq!(&connection.input[..], b"last bytes");
}

/// If a client disconnects within a transaction, the transaction is rolled back before its server
/// connection serves another client.
#[test]
fn an_abandoned_transaction_is_rolled_back_before_reuse() {
    let group = ScriptedGroup::start();
    let pair = Pair::start(&group, LONG_DEADLINE, Policy::Standard);
    let mut leaving = Client::connect(pair.address, &[]);
    for statement in IN_TRANSACTION {
        assert_eq!(leaving.query(statement).error, None);
    }
    drop(leaving);
    wait_until("the rollback", || group.seen("ROLLBACK") == 1);
    let mut next = Client::connect(pair.address, &[]);
    assert_eq!(next.query("INSERT INTO plain VALUES (7)").error, None);
}
