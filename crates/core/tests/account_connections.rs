//! Connections of accounts: which are opened in advance, and which close for those of others.

use std::time::{Duration, Instant};

use kestrellock_core::account_connections::{
    AccountUse, AdvanceRequests, IdleConnection, MAX_ACCOUNTS, MAX_REQUESTS, REQUEST_LIFETIME,
    eviction_order, sort_by_urgency,
};
use kestrellock_core::admission::Startable;
use kestrellock_core::catalog::Priority;
use kestrellock_core::ids::AccountName;

fn account(name: &str) -> AccountName {
    AccountName::new(name)
}

/// Records one statement for each of `times`, in milliseconds after `start`.
fn use_at(recent: &mut AccountUse, name: &str, priority: Priority, times: &[u64], start: Instant) {
    for time in times {
        recent.on_use(&account(name), priority, start + Duration::from_millis(*time));
    }
}

/// Guards against closing the connection of an account that sends many statements because it
/// happened to be idle for longest, and of urgent accounts while others have idle ones.
#[test]
fn the_connection_least_likely_to_be_used_soon_closes_first() {
    let start = Instant::now();
    let now = start + Duration::from_secs(2);
    let mut recent = AccountUse::default();
    use_at(&mut recent, "frequent", Priority::Normal, &[0, 400, 800, 1200, 1600], start);
    use_at(&mut recent, "rare", Priority::Normal, &[1900], start);
    use_at(&mut recent, "urgent", Priority::Order, &[100], start);
    let names = ["urgent", "frequent", "frequent", "rare", "new"].map(account);
    let idle: Vec<IdleConnection> = names
        .iter()
        .enumerate()
        .map(|(key, name)| IdleConnection { key, account: Some(name), is_unused: key == 4 })
        .collect();
    // The unused connection, the rare account, the second and the first connection of the frequent
    // one, the urgent account.
    assert_eq!(eviction_order(&idle, &recent, now), [4, 3, 1, 2, 0]);
}

/// Without any record, the order is that of a pool without this decision.
#[test]
fn connections_of_equal_accounts_close_in_the_order_of_their_idle_time() {
    let names = ["a", "b", "c"].map(account);
    let idle: Vec<IdleConnection> = names
        .iter()
        .enumerate()
        .map(|(key, name)| IdleConnection { key, account: Some(name), is_unused: false })
        .collect();
    assert_eq!(eviction_order(&idle, &AccountUse::default(), Instant::now()), [0, 1, 2]);
}

#[test]
fn urgency_ends_some_time_after_the_last_urgent_statement() {
    let start = Instant::now();
    let mut recent = AccountUse::default();
    use_at(&mut recent, "a", Priority::Order, &[0], start);
    use_at(&mut recent, "a", Priority::Browse, &[1000], start);
    assert!(recent.is_urgent(&account("a"), start + Duration::from_secs(9)));
    assert!(!recent.is_urgent(&account("a"), start + Duration::from_secs(11)));
}

/// Guards against memory that grows with the number of accounts of a deployment.
#[test]
fn the_least_used_account_is_forgotten_when_there_are_many() {
    let start = Instant::now();
    let mut recent = AccountUse::default();
    use_at(&mut recent, "often", Priority::Normal, &[0, 1, 2], start);
    for number in 0..2 * MAX_ACCOUNTS {
        use_at(&mut recent, &format!("a-{number}"), Priority::Normal, &[3], start);
    }
    let weight = |name: &str| recent.weight(&account(name), start + Duration::from_millis(3));
    assert!(weight("often") > 2.0);
    let known = (0..2 * MAX_ACCOUNTS).filter(|number| weight(&format!("a-{number}")) > 0.0);
    assert_eq!(known.count(), MAX_ACCOUNTS - 1);
}

/// Guards against several connections for the simultaneous logins of one account, and against one
/// for an account whose statement would find a connection anyway.
#[test]
fn an_account_gets_at_most_one_connection_in_advance() {
    let now = Instant::now();
    let mut requests = AdvanceRequests::default();
    for name in ["a", "b", "a", "c"] {
        requests.add(account(name), now);
    }
    let has_connection = |name: &AccountName| name.as_str() == "b";
    let taken: Vec<AccountName> =
        std::iter::from_fn(|| requests.take_next(now, has_connection)).collect();
    assert_eq!(taken, [account("a"), account("c")]);
    assert!(requests.is_empty());
}

/// Guards against connections for clients that have disconnected, and against memory that grows with
/// logins.
#[test]
fn requests_expire_and_are_bounded() {
    let now = Instant::now();
    let mut requests = AdvanceRequests::default();
    requests.add(account("a"), now);
    assert_eq!(requests.take_next(now + REQUEST_LIFETIME, |_| false), None);
    for number in 0..2 * MAX_REQUESTS {
        requests.add(account(&format!("a-{number}")), now);
    }
    let taken = std::iter::from_fn(|| requests.take_next(now, |_| false)).count();
    assert_eq!(taken, MAX_REQUESTS);
}

/// Guards against accounts with urgent statements that wait for their connection behind others, and
/// against others that never get one.
#[test]
fn urgent_accounts_get_the_next_connection_unless_another_one_starves() {
    let startable = |name: &str, waited: u64, priority| Startable {
        account: Some(account(name)),
        count: 1,
        waited: Duration::from_millis(waited),
        priority,
    };
    let mut waiting = [
        startable("starved", 300, Priority::Browse),
        startable("browse", 100, Priority::Browse),
        startable("normal", 50, Priority::Normal),
        startable("urgent", 10, Priority::Order),
    ];
    sort_by_urgency(&mut waiting, Duration::from_millis(240));
    let names: Vec<&str> =
        waiting.iter().filter_map(|known| Some(known.account.as_ref()?.as_str())).collect();
    assert_eq!(names, ["starved", "urgent", "normal", "browse"]);
}
