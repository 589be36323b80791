//! Tests of the classification: which texts are reads, and which state a statement leaves on its
//! connection.

use kestrellock_core::classify::StatementClass::{
    Begin, BeginReadOnly, Commit, Read, Rollback, Unknown, Write,
};
use kestrellock_core::classify::{StatementClass, classify};
use kestrellock_core::session_state::{Effect, ExchangeEnd, SessionState, Unsupported};
use proptest::prelude::*;

const CLASSES: &[(&str, StatementClass)] = &[
    ("", Read),
    ("-- nothing", Read),
    ("SELECT 1", Read),
    ("SELECT", Read),
    ("select * from t where id = $1", Read),
    ("SELECT * FROM a JOIN b USING (id) WHERE x IN (SELECT y FROM c)", Read),
    ("SELECT count(*), max(x) FROM t GROUP BY y HAVING count(*) > 1", Read),
    ("SELECT pg_catalog.lower(name) FROM t", Read),
    ("SELECT * FROM generate_series(1, 3)", Read),
    ("SELECT 1 UNION ALL SELECT 2", Read),
    ("WITH a AS (SELECT 1) SELECT * FROM a", Read),
    ("VALUES (1), (2)", Read),
    ("SELECT 1; SELECT 2", Read),
    ("SELECT oid FROM pg_catalog.pg_type", Read),
    ("EXPLAIN SELECT * FROM t", Read),
    ("EXPLAIN ANALYZE SELECT * FROM t", Read),
    ("SHOW search_path", Read),
    ("SHOW TIME ZONE", Read),
    ("SAVEPOINT a", Read),
    ("ROLLBACK TO SAVEPOINT a", Read),
    ("DECLARE c CURSOR FOR SELECT * FROM t", Read),
    ("SELECT * FROM t FOR UPDATE", Write),
    ("SELECT * FROM t FOR SHARE", Write),
    ("SELECT * FROM (SELECT * FROM t FOR UPDATE) AS s", Write),
    ("SELECT * INTO u FROM t", Write),
    ("WITH a AS (INSERT INTO t VALUES (1) RETURNING id) SELECT * FROM a", Write),
    ("WITH a AS (DELETE FROM t RETURNING id) SELECT * FROM a", Write),
    ("SELECT nextval('s')", Write),
    ("SELECT random()", Write),
    ("SELECT my_function(1)", Write),
    ("SELECT public.lower('A')", Write),
    ("SELECT \"LOWER\"('A')", Write),
    ("SELECT * FROM my_function(1)", Write),
    ("SELECT * FROM t WHERE id = (SELECT my_function())", Write),
    ("SELECT pg_advisory_xact_lock(1)", Write),
    ("SELECT pg_is_in_recovery()", Write),
    ("SELECT * FROM pg_stat_activity", Write),
    ("SELECT * FROM pg_locks", Write),
    ("SHOW transaction_read_only", Write),
    ("EXPLAIN ANALYZE DELETE FROM t", Write),
    ("EXPLAIN SELECT my_function()", Write),
    ("INSERT INTO t VALUES (1)", Write),
    ("UPDATE t SET x = 1", Write),
    ("DELETE FROM t", Write),
    ("CREATE TABLE t (id INT)", Write),
    ("SELECT 1; DELETE FROM t", Write),
    ("DELETE FROM t; SELECT 1", Write),
    ("BEGIN; SELECT 1; COMMIT", Unknown),
    ("DO $$ BEGIN DELETE FROM t; END $$", Unknown),
    ("CALL p()", Unknown),
    ("this is not SQL", Unknown),
    ("SELECT FROM WHERE", Unknown),
    ("DECLARE c CURSOR FOR SELECT my_function()", Write),
    ("BEGIN", Begin),
    ("START TRANSACTION", Begin),
    ("BEGIN ISOLATION LEVEL REPEATABLE READ", Begin),
    ("BEGIN READ ONLY", BeginReadOnly),
    ("START TRANSACTION ISOLATION LEVEL REPEATABLE READ, READ ONLY", BeginReadOnly),
    ("BEGIN ISOLATION LEVEL SERIALIZABLE, READ ONLY", Begin),
    ("BEGIN READ WRITE", Begin),
    ("COMMIT", Commit),
    ("END", Commit),
    ("ROLLBACK", Rollback),
    ("COMMIT AND CHAIN", Unknown),
    ("ROLLBACK AND CHAIN", Unknown),
    ("INSERT INTO t VALUES (1); COMMIT; BEGIN", Unknown),
];

#[test]
fn texts_have_the_expected_class() {
    for (text, class) in CLASSES {
        assert_eq!(classify(text).class, *class, "{text}");
    }
}

#[test]
fn unsupported_features_are_refused() {
    use Unsupported::{
        AdvisoryLock, Authorization, Copy, Durability, HoldableCursor, Listen, SequenceValue,
        SessionCharacteristics, SetConfig, SqlPrepare, TemporaryObject,
    };
    let table = [
        ("LISTEN a", Listen),
        ("UNLISTEN a", Listen),
        ("COPY t FROM STDIN", Copy),
        ("COPY t TO STDOUT", Copy),
        ("PREPARE a AS SELECT 1", SqlPrepare),
        ("EXECUTE a", SqlPrepare),
        ("DEALLOCATE a", SqlPrepare),
        ("DECLARE c CURSOR WITH HOLD FOR SELECT 1", HoldableCursor),
        ("CREATE TEMP TABLE t (id INT)", TemporaryObject),
        ("CREATE TEMPORARY TABLE t ON COMMIT PRESERVE ROWS AS SELECT 1", TemporaryObject),
        ("CREATE TEMP VIEW v AS SELECT 1", TemporaryObject),
        ("CREATE TEMP SEQUENCE s", TemporaryObject),
        ("SELECT 1 INTO TEMP t", TemporaryObject),
        ("SELECT pg_advisory_lock(1)", AdvisoryLock),
        ("SELECT 1; SELECT pg_try_advisory_lock(1)", AdvisoryLock),
        ("SET ROLE admin", Authorization),
        ("SET role = 'admin'", Authorization),
        ("RESET ROLE", Authorization),
        ("SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY", SessionCharacteristics),
        ("SELECT set_config('a.b', 'c', false)", SetConfig),
        ("SELECT set_config('a.b', 'c', $1)", SetConfig),
        ("SET synchronous_commit = off", Durability),
        ("SET LOCAL synchronous_commit TO off", Durability),
        ("SELECT currval('s')", SequenceValue),
        ("SELECT lastval()", SequenceValue),
    ];
    for (text, reason) in table {
        let facts = classify(text);
        assert_eq!(SessionState::default().check(&facts, false), Err(reason), "{text}");
    }
}

#[test]
fn transaction_scoped_features_are_supported() {
    for text in [
        "SET LOCAL search_path = 'a'",
        "SELECT set_config('a.b', 'c', true)",
        "CREATE TEMP TABLE t (id INT) ON COMMIT DROP",
        "SELECT pg_advisory_xact_lock(1)",
        "SELECT currval('s')",
        "NOTIFY a",
        "SET TRANSACTION READ ONLY",
        "DECLARE c CURSOR FOR SELECT 1",
    ] {
        let facts = classify(text);
        assert_eq!(SessionState::default().check(&facts, true), Ok(()), "{text}");
        assert!(!facts.taints(), "{text}");
    }
}

#[test]
fn texts_that_may_leave_state_taint_the_connection() {
    for text in [
        "SELECT my_function()",
        "DO $$ BEGIN PERFORM 1; END $$",
        "CALL p()",
        "not SQL at all",
        "SET search_path = 'a'",
        "RESET ALL",
        "DISCARD ALL",
        "SELECT 1; SELECT my_function()",
    ] {
        assert!(classify(text).taints(), "{text}");
    }
}

const DONE: ExchangeEnd = ExchangeEnd { failed: false, in_transaction: false, rolled_back: false };
const OPEN: ExchangeEnd = ExchangeEnd { in_transaction: true, ..DONE };
const FAILED: ExchangeEnd = ExchangeEnd { failed: true, ..DONE };
const ROLLED_BACK: ExchangeEnd = ExchangeEnd { rolled_back: true, ..DONE };

#[test]
fn settings_follow_the_session_and_its_transactions() {
    let table: &[(&[(&str, ExchangeEnd)], &str)] = &[
        (&[("SET a.x = '1'", DONE)], "SET a.x = '1'"),
        (&[("SET a.x = '1'", DONE), ("SET a.x = '2'", DONE)], "SET a.x = '2'"),
        (&[("SET a.x = '1'", FAILED)], ""),
        (&[("SET a.x = '1'", DONE), ("RESET a.x", DONE)], ""),
        (&[("SET a.x = '1'", DONE), ("SET a.y = '2'", DONE), ("RESET ALL", DONE)], ""),
        (&[("SET a.x = '1'", DONE), ("DISCARD ALL", DONE)], ""),
        (&[("BEGIN", OPEN), ("SET a.x = '1'", OPEN), ("COMMIT", DONE)], "SET a.x = '1'"),
        (&[("BEGIN", OPEN), ("SET a.x = '1'", OPEN), ("ROLLBACK", ROLLED_BACK)], ""),
        (&[("BEGIN", OPEN), ("SET a.x = '1'", OPEN), ("COMMIT", ROLLED_BACK)], ""),
        (&[("SET a.x = '1'; SET a.y = '2'", DONE)], "SET a.x = '1'; SET a.y = '2'"),
        (
            &[
                ("SET a.x = '1'", DONE),
                ("BEGIN", OPEN),
                ("SET a.x = '2'", OPEN),
                ("ROLLBACK", ROLLED_BACK),
            ],
            "SET a.x = '1'",
        ),
    ];
    for (steps, expected) in table {
        let mut state = SessionState::default();
        for (text, end) in *steps {
            let facts = classify(text);
            state.check(&facts, end.in_transaction).expect("supported");
            state.on_exchange_end(&facts.effects, *end);
        }
        let statements: Vec<String> =
            state.settings().into_iter().map(|setting| setting.statement).collect();
        assert_eq!(statements.join("; "), *expected, "{steps:?}");
    }
}

#[test]
fn set_after_savepoint_is_refused() {
    let mut state = SessionState::default();
    state.on_exchange_end(&classify("SAVEPOINT a").effects, OPEN);
    let set = classify("SET a.x = '1'");
    assert_eq!(state.check(&set, true), Err(Unsupported::SetAfterSavepoint));
    state.on_exchange_end(&[], ROLLED_BACK);
    assert_eq!(state.check(&set, false), Ok(()));
}

proptest! {
    #[test]
    fn classification_never_panics(text in ".{0,200}") {
        classify(&text);
    }

    #[test]
    fn texts_with_writing_keywords_are_not_reads(
        words in proptest::collection::vec(prop::sample::select(vec![
            "SELECT", "FROM", "t", "(", ")", ",", "WITH", "AS", "INSERT INTO", "VALUES", "1",
            "'x'", ";", "BEGIN", "COMMIT", "FOR UPDATE", "DELETE FROM", "f(1)",
        ]), 0..14),
    ) {
        let facts = classify(&words.join(" "));
        let writes = ["INSERT INTO", "BEGIN", "COMMIT", "FOR UPDATE", "DELETE FROM", "f(1)"];
        if words.iter().any(|word| writes.contains(word)) {
            // A keyword may be an alias, as in `SELECT 1 AS BEGIN`, but then it is not a statement.
            let aliased = words.windows(2).any(|pair| writes.contains(&pair[1]) && pair[0] != ";");
            prop_assert!(facts.class != Read || aliased);
        }
    }

    #[test]
    fn text_with_a_write_at_any_position_is_a_write(
        before in prop::sample::select(vec!["SELECT 1", "VALUES (1)", "SELECT * FROM t"]),
        write in prop::sample::select(vec![
            "INSERT INTO t VALUES (1)", "SELECT f()", "SELECT * FROM t FOR UPDATE", "DROP TABLE t",
        ]),
        first in any::<bool>(),
        wrapped in any::<bool>(),
    ) {
        let (left, right) = if first { (write, before) } else { (before, write) };
        let text = if wrapped && write.starts_with("SELECT") {
            format!("SELECT * FROM ({write}) AS s, ({before}) AS r")
        } else {
            format!("{left}; {right}")
        };
        prop_assert_eq!(classify(&text).class, Write, "{}", text);
    }

    #[test]
    fn batch_keeps_the_refusals_of_its_statements(prefix in prop::sample::select(vec![
        "SELECT 1", "INSERT INTO t VALUES (1)", "SET a.x = '1'",
    ])) {
        let mut facts = classify(prefix);
        facts.then(&classify("LISTEN a"));
        prop_assert!(facts.effects.contains(&Effect::Refuse(Unsupported::Listen)));
    }
}
