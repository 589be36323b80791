//! Counters on the path of a statement: statements, routes, refusals, connections and probes.

mod support;

use std::time::Duration;

use kestrellock_core::outcome::ResultCode;
use kestrellock_daemon::metrics::{ConnectionEvent, ProbeEvent, Route, StatementResult};
use kestrellock_daemon::policy::Policy;
use support::client::Client;
use support::scripted::{Scripted, ScriptedGroup};
use support::{Pair, wait_until};

const DEADLINE: Duration = Duration::from_secs(20);

#[test]
fn statements_routes_refusals_connections_and_probes_are_counted() {
    let group = ScriptedGroup::start();
    let pair = Pair::start(&group, DEADLINE, Policy::Standard);
    let mut client = Client::connect(pair.address, &[]);
    assert_eq!(client.query("INSERT INTO plain VALUES (0)").error, None);
    assert_eq!(client.query("SELECT 1").error, None);
    group.script().on_marked = Scripted::Close;
    assert_eq!(client.query("INSERT INTO marked VALUES (1)").code(), "KL1601");

    let front = &pair.front.as_ref().expect("running").context.metrics;
    assert_eq!(front.statements.get(StatementResult::WriteAnswered), 1);
    assert_eq!(front.statements.get(StatementResult::ReadAnswered), 1);
    assert_eq!(front.statements.get(StatementResult::InDoubt), 1);
    assert_eq!(front.codes.get(ResultCode::ConnectionLostInDoubt), 1);
    assert_eq!(front.routes.get(Route::PrimaryWrite), 2);
    let reads = front.routes.get(Route::Replica) + front.routes.get(Route::PrimaryRead);
    assert_eq!(reads, 1);
    assert!(front.text().contains("kestrellock_statement_seconds_count 2\n"));
    assert!(front.client_connections.get(ConnectionEvent::Opened) >= 1);
    drop(client);
    let opened = front.client_connections.get(ConnectionEvent::Opened);
    wait_until("the client connection is closed", || {
        front.client_connections.get(ConnectionEvent::Closed) == opened
    });

    let gateway = &pair.gateway.as_ref().expect("running").context.metrics;
    assert!(gateway.instance_connections.get(ConnectionEvent::Opened) > 0);
    assert!(gateway.instance_connections.get(ConnectionEvent::Closed) > 0);
    let sent = gateway.probes.get(ProbeEvent::Sent);
    assert!(gateway.probes.get(ProbeEvent::Answered) > 0 && sent > 0);
}
