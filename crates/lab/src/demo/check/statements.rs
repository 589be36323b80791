//! Checks simple and prepared statements, transactions, errors and cancel requests of one tenant.

use std::thread;
use std::time::Duration;

use miette::{IntoDiagnostic, ensure, miette};
use postgres::error::SqlState;
use postgres::{Client, NoTls, SimpleQueryMessage};

use super::{CheckCounts, Subject};

const WRITES: i64 = 20;
const PREPARED_WRITES: i64 = 20;
const FIRST_PREPARED_ID: i64 = 1000;
const FIRST_TRANSACTION_ID: i64 = 2000;
const TRANSACTIONS: i64 = 5;
const CANCEL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs the checks on a new table.
pub fn run(subject: &Subject, checked: &mut CheckCounts) -> miette::Result<()> {
    let mut client = subject.connect(0)?;
    let table = subject.tenant.table;
    let create = format!("CREATE TABLE {table} (id BIGINT PRIMARY KEY, body TEXT, paid BOOLEAN)");
    client.batch_execute(&create).into_diagnostic()?;
    simple(&mut client, table, checked)?;
    prepared(&mut client, table, checked)?;
    transactions(&mut client, table, checked)?;
    errors(&mut client, table, checked)?;
    cancel(client, checked)
}

fn first_value(client: &mut Client, sql: &str) -> miette::Result<Option<String>> {
    let messages = client.simple_query(sql).into_diagnostic()?;
    Ok(messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    }))
}

fn simple(client: &mut Client, table: &str, checked: &mut CheckCounts) -> miette::Result<()> {
    for id in 0..WRITES {
        let insert = format!("INSERT INTO {table} VALUES ({id}, 'text {id}', true)");
        client.simple_query(&insert).into_diagnostic()?;
        checked.writes += 1;
        let select = format!("SELECT body FROM {table} WHERE id = {id}");
        let body = first_value(client, &select)?;
        ensure!(body == Some(format!("text {id}")), "row {id} of {table} was read as {body:?}");
        checked.reads += 1;
    }
    Ok(())
}

fn prepared(client: &mut Client, table: &str, checked: &mut CheckCounts) -> miette::Result<()> {
    let insert =
        client.prepare(&format!("INSERT INTO {table} VALUES ($1, $2, $3)")).into_diagnostic()?;
    let select = client
        .prepare(&format!("SELECT id, body, paid FROM {table} WHERE id = $1"))
        .into_diagnostic()?;
    for id in FIRST_PREPARED_ID..FIRST_PREPARED_ID + PREPARED_WRITES {
        let (body, paid) = (format!("text {id}"), id % 2 == 0);
        let count = client.execute(&insert, &[&id, &body, &paid]).into_diagnostic()?;
        ensure!(count == 1, "{count} rows inserted instead of one");
        checked.writes += 1;
        let row = client.query_one(&select, &[&id]).into_diagnostic()?;
        let seen: (i64, String, bool) = (row.get(0), row.get(1), row.get(2));
        ensure!(seen == (id, body, paid), "row {id} of {table} was read as {seen:?}");
        checked.reads += 1;
        checked.prepared += 2;
    }
    Ok(())
}

fn transactions(client: &mut Client, table: &str, checked: &mut CheckCounts) -> miette::Result<()> {
    let insert = format!("INSERT INTO {table} VALUES ($1, 'in a transaction', false)");
    let count = format!("SELECT count(*) FROM {table} WHERE id >= $1");
    for (round, commits) in (0..TRANSACTIONS).flat_map(|round| [(round, true), (round, false)]) {
        let before: i64 =
            client.query_one(&count, &[&FIRST_TRANSACTION_ID]).into_diagnostic()?.get(0);
        let mut transaction = client.transaction().into_diagnostic()?;
        let first = FIRST_TRANSACTION_ID + 4 * round + if commits { 0 } else { 2 };
        for id in [first, first + 1] {
            transaction.execute(&insert, &[&id]).into_diagnostic()?;
        }
        let inside: i64 =
            transaction.query_one(&count, &[&FIRST_TRANSACTION_ID]).into_diagnostic()?.get(0);
        ensure!(inside == before + 2, "a transaction does not see its own writes");
        let expected = if commits {
            transaction.commit().into_diagnostic()?;
            checked.writes += 1;
            before + 2
        } else {
            transaction.rollback().into_diagnostic()?;
            before
        };
        let after: i64 =
            client.query_one(&count, &[&FIRST_TRANSACTION_ID]).into_diagnostic()?.get(0);
        ensure!(after == expected, "{after} rows after a transaction instead of {expected}");
        checked.transactions += 1;
        checked.reads += 1;
    }
    Ok(())
}

fn errors(client: &mut Client, table: &str, checked: &mut CheckCounts) -> miette::Result<()> {
    let cases = [
        (format!("INSERT INTO {table} VALUES (0, 'again', true)"), SqlState::UNIQUE_VIOLATION),
        ("SELECT * FROM missing".to_owned(), SqlState::UNDEFINED_TABLE),
        (format!("SELECT missing FROM {table}"), SqlState::UNDEFINED_COLUMN),
        (format!("UPDATE {table} SET id = 'x'"), SqlState::INVALID_TEXT_REPRESENTATION),
    ];
    for (sql, state) in cases {
        let Err(error) = client.simple_query(&sql) else {
            return Err(miette!("{sql} did not fail"));
        };
        let database = error.as_db_error().ok_or_else(|| miette!("{sql}: {error}"))?;
        ensure!(*database.code() == state, "{sql} failed with {}", database.code().code());
        ensure!(!database.message().is_empty(), "{sql} failed without a message");
        checked.errors += 1;
    }
    Ok(())
}

/// Cancels a long-running statement. Repeats the cancel request until the statement ends, because a
/// request that arrives before the statement runs has no effect.
fn cancel(mut client: Client, checked: &mut CheckCounts) -> miette::Result<()> {
    let token = client.cancel_token();
    let running = thread::spawn(move || client.simple_query("SELECT pg_sleep(4)").map(|_| ()));
    while !running.is_finished() {
        thread::sleep(CANCEL_INTERVAL);
        token.cancel_query(NoTls).into_diagnostic()?;
    }
    let outcome = running.join().map_err(|_| miette!("the cancelled client panicked"))?;
    let Err(error) = outcome else { return Err(miette!("a cancelled statement succeeded")) };
    let state = error.code().cloned();
    ensure!(state == Some(SqlState::QUERY_CANCELED), "a cancelled statement ended with {error}");
    checked.cancelled += 1;
    Ok(())
}
