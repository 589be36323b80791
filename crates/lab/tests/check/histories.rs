//! Histories of a correct system pass, and a commit lost from one is caught.

use kestrellock_lab::check::check;
use kestrellock_lab::check::final_state::RowChange;
use kestrellock_lab::check::history::{Action, Answer, OperationId, Outcome, RowKey};
use kestrellock_lab::check::violation::Invariant;
use proptest::prelude::*;

use crate::run::{Run, TWO_PARTS, deposit, parts, set, told};

/// What the next operation of a correct system is, and how it ends for its caller.
#[derive(Clone, Copy, Debug)]
struct Step {
    session: u32,
    kind: u8,
    row: u32,
    ending: u8,
    /// How many versions behind the newest a read may lag, if its session's writes allow.
    lag: usize,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = (0..4_u32, 0..5_u8, 0..3_u32, 0..5_u8, 0..4_usize)
        .prop_map(|(session, kind, row, ending, lag)| Step { session, kind, row, ending, lag });
    prop::collection::vec(step, 0..120)
}

/// A correct system: one log, a bound for each session, truthful outcomes.
#[derive(Default)]
struct Model {
    versions: std::collections::BTreeMap<RowKey, Vec<String>>,
    bounds: std::collections::BTreeMap<(u32, RowKey), usize>,
}

impl Model {
    fn run(&mut self, number: usize, step: Step, run: &mut Run) {
        let operation = format!("o{number}");
        let register = RowKey::Register(step.row);
        match step.kind {
            0 | 1 => self.read(step, register, run),
            2 => self.change(step, &operation, Action::Write(register), register, run),
            3 if step.lag < 2 => {
                let changes = vec![deposit(&operation)];
                self.end(step, &operation, Action::Deposit, changes, run);
            }
            3 => {
                self.end(step, &operation, TWO_PARTS, parts(&operation, &[0, 1]), run);
            }
            _ => self.purchase(step, &operation, RowKey::Seat(step.row), run),
        }
    }

    fn read(&self, step: Step, row: RowKey, run: &mut Run) {
        let versions = self.versions.get(&row).map_or(&[][..], Vec::as_slice);
        let bound = self.bounds.get(&(step.session, row)).copied().unwrap_or_default();
        let version = versions.len().saturating_sub(step.lag).max(bound);
        let value = if version == 0 { "" } else { &versions[version - 1] };
        run.read(step.session, row, value);
    }

    fn purchase(&mut self, step: Step, operation: &str, seat: RowKey, run: &mut Run) {
        if self.versions.contains_key(&seat) {
            let sold = Answer { tag: "UPDATE 0".into(), ..Answer::default() };
            let action = Action::Purchase(seat);
            run.attempt(step.session, operation, action, Outcome::Answered(sold));
        } else {
            self.change(step, operation, Action::Purchase(seat), seat, run);
        }
    }

    fn change(&mut self, step: Step, operation: &str, action: Action, row: RowKey, run: &mut Run) {
        let acknowledged = self.end(step, operation, action, vec![set(row, operation)], run);
        let Some(acknowledged) = acknowledged else { return };
        let versions = self.versions.entry(row).or_default();
        versions.push(operation.to_owned());
        if acknowledged {
            self.bounds.insert((step.session, row), versions.len());
        }
    }

    /// Ends an operation; `None` if it had no effect, else whether it was acknowledged.
    fn end(
        &mut self,
        step: Step,
        operation: &str,
        action: Action,
        changes: Vec<RowChange>,
        run: &mut Run,
    ) -> Option<bool> {
        let doubt = Outcome::InDoubt(told(1601, "08007"));
        match step.ending {
            0 => {
                run.attempt(step.session, operation, action, Outcome::NotRun(told(1302, "57P03")));
                None
            }
            1 => {
                run.attempt(step.session, operation, action, doubt);
                run.discard(1, changes);
                None
            }
            2 => {
                run.attempt(step.session, operation, action, doubt);
                run.commit(1, changes);
                Some(false)
            }
            3 => {
                run.attempt(step.session, operation, action, Outcome::Disconnected);
                run.commit(1, changes);
                let recorded = Outcome::AlreadyRan(told(1702, "23505"));
                run.attempt(step.session, operation, action, recorded);
                Some(true)
            }
            _ => {
                run.answered(step.session, operation, action);
                run.commit(1, changes);
                Some(true)
            }
        }
    }
}

proptest! {
    #[test]
    fn histories_of_a_correct_system_pass(steps in steps()) {
        let (mut model, mut run) = (Model::default(), Run::new());
        for (number, step) in steps.into_iter().enumerate() {
            model.run(number, step, &mut run);
        }
        prop_assert_eq!(check(&run.history, &run.state).violations, vec![]);
    }

    /// Losing any acknowledged change from a correct history is always caught.
    #[test]
    fn a_lost_commit_is_caught(steps in steps(), choice in any::<prop::sample::Index>()) {
        let (mut model, mut run) = (Model::default(), Run::new());
        for (number, step) in steps.into_iter().enumerate() {
            model.run(number, step, &mut run);
        }
        let acknowledged: Vec<OperationId> = run
            .history
            .attempts
            .iter()
            .filter(|attempt| attempt.action.may_write())
            .filter(|attempt| attempt.outcome.is_acknowledged(&attempt.action))
            .map(|attempt| attempt.operation.clone())
            .collect();
        prop_assume!(!acknowledged.is_empty());
        let lost = choice.get(&acknowledged);
        run.record().surviving.retain(|commit| commit.changes[0].operation() != lost);
        prop_assert!(run.broken().contains(&Invariant::AcknowledgedKept));
    }
}
