//! The checker: decides from the outcomes that clients saw, from the final logs of the database
//! groups and from the statements that reached instances whether a run broke an invariant.
//!
//! It is pure and shares no code with the proxy, so that a fault in the proxy's decisions cannot
//! make the checker miss its effects.

pub mod answers;
pub mod configuration;
pub mod final_state;
pub mod history;
pub mod index;
pub mod leaving_instances;
pub mod reads;
pub mod statements;
pub mod stops;
pub mod transactions;
pub mod violation;
pub mod writes;

use self::final_state::FinalState;
use self::history::History;
use self::index::CommitIndex;
use self::violation::Verdict;

/// Checks a run against every invariant.
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
