//! Tests of positions and session tokens.

use kestrellock_core::ids::GroupName;
use kestrellock_core::position::{LogOffset, Position, Term};
use kestrellock_core::session::{SessionBound, TokenError};
use proptest::prelude::*;

fn any_position() -> impl Strategy<Value = Position> {
    (any::<u32>(), any::<u64>())
        .prop_map(|(term, offset)| Position { term: Term(term), offset: LogOffset(offset) })
}

proptest! {
    #[test]
    fn join_satisfies_both_positions(left in any_position(), right in any_position()) {
        let joined = left.join(right);
        prop_assert!(joined.satisfies(&left) && joined.satisfies(&right));
    }

    #[test]
    fn older_term_never_satisfies_a_position(position in any_position()) {
        prop_assume!(position.term.0 > 0);
        let older = Position { term: Term(position.term.0 - 1), offset: LogOffset(u64::MAX) };
        prop_assert!(!older.satisfies(&position));
    }

    #[test]
    fn offsets_round_trip_through_text(offset in any::<u64>()) {
        prop_assert_eq!(LogOffset(offset).to_string().parse(), Ok(LogOffset(offset)));
    }

    #[test]
    fn tokens_round_trip_through_text(position in any_position()) {
        let bound = SessionBound { group: GroupName::new("yearbook-orders"), position };
        prop_assert_eq!(SessionBound::from_token(&bound.to_token()), Ok(bound));
    }
}

#[test]
fn malformed_tokens_are_refused() {
    let cases = [
        ("", TokenError::Version(String::new())),
        ("2:group:1:1", TokenError::Version("2".into())),
        ("1:group:1", TokenError::Malformed),
        ("1:group:x:1", TokenError::Malformed),
        ("1:group:1:1:1", TokenError::Malformed),
    ];
    for (token, expected) in cases {
        assert_eq!(SessionBound::from_token(token), Err(expected), "{token:?}");
    }
}
