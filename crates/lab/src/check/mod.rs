//! The checker: judges a run by what callers saw and what the database groups hold in the end.
//!
//! It is pure and shares no code with the proxy, so that a fault in a decision of the proxy
//! cannot hide itself here.

pub mod answers;
pub mod configuration;
pub mod final_state;
pub mod history;
pub mod index;
pub mod leaving_instances;
pub mod reads;
pub mod stops;
pub mod transactions;
pub mod violation;
pub mod writes;

use self::final_state::FinalState;
use self::history::History;
use self::index::CommitIndex;
use self::violation::Verdict;

/// Judges a run against every invariant.
pub fn check(history: &History, state: &FinalState) -> Verdict {
    let index = CommitIndex::new(state);
    let mut verdict = Verdict::default();
    reads::check(history, &index, &mut verdict);
    writes::check(history, &index, &mut verdict);
    answers::check(history, &mut verdict);
    transactions::check(history, state, &mut verdict);
    leaving_instances::check(state, &mut verdict);
    stops::check(history, &mut verdict);
    configuration::check(history, &mut verdict);
    verdict
}
