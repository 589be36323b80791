//! Login of gateways to instances that require a password.

mod support;

use std::time::Duration;

use kestrellock_daemon::policy::Policy;
use support::client::Client;
use support::scripted::ScriptedGroup;
use support::{BACKEND_PASSWORD, Pair};

const DEADLINE: Duration = Duration::from_millis(1500);
const READ: &str = "SELECT 1";

#[test]
fn a_gateway_logs_in_with_the_password_of_the_group_role() {
    let group = ScriptedGroup::start();
    group.script().password = Some(BACKEND_PASSWORD);
    let pair = Pair::start(&group, Duration::from_secs(20), Policy::Standard);
    assert_eq!(Client::connect(pair.address, &[]).query(READ).error, None);
}

#[test]
fn no_statement_runs_with_a_wrong_password() {
    let group = ScriptedGroup::start();
    group.script().password = Some("another");
    let pair = Pair::start(&group, DEADLINE, Policy::Standard);
    let answer = Client::connect(pair.address, &[]).query(READ);
    assert!(answer.error.is_some(), "{answer:?}");
    assert_eq!(group.seen(READ), 0);
}
