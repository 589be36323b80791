//! Runs in the making, for cases and histories to bend.

use kestrellock_lab::check::check;
use kestrellock_lab::check::final_state::{
    Arrival, Commit, DrainingInstance, FinalState, GroupRecord, LogPlace, RowChange, StatementKind,
};
use kestrellock_lab::check::history::{
    AcceptedChange, Action, Answer, Attempt, ConfigurationSample, ConfigurationTrack, Ending,
    GroupId, History, InstanceId, NodeId, OperationId, Outcome, PlannedStop, RowKey, RunTime,
    SessionNumber, Told,
};
use kestrellock_lab::check::violation::Invariant;

pub const CAPTION: RowKey = RowKey::Register(7);
pub const SEAT: RowKey = RowKey::Seat(3);
pub const SECOND: u64 = 1_000_000;

pub fn group() -> GroupId {
    GroupId::new("orders")
}

pub fn told(number: u16, sqlstate: &str) -> Told {
    Told { number: Some(number), sqlstate: sqlstate.into() }
}

/// The answer that the database gives to `action` of `operation`, reading `value`.
pub fn answer_to(operation: &str, action: Action, value: &str) -> Answer {
    let marked =
        |tag: &str| Answer { mark: Some(operation.into()), value: None, rows: 1, tag: tag.into() };
    match action {
        Action::Read(_) => Answer { value: Some(value.into()), ..marked("SELECT 1") },
        Action::Write(_) | Action::Purchase(_) => marked("UPDATE 1"),
        Action::Deposit => marked("INSERT 0 1"),
        Action::Transaction { ending, .. } => {
            let tag = if ending == Ending::Commit { "COMMIT" } else { "ROLLBACK" };
            Answer { tag: tag.into(), ..Answer::default() }
        }
    }
}

/// A run in the making: a clean one unless a case bends it.
pub struct Run {
    pub history: History,
    pub state: FinalState,
}

impl Run {
    pub fn new() -> Self {
        let record = GroupRecord {
            group: group(),
            surviving: Vec::new(),
            discarded: Vec::new(),
            arrivals: Vec::new(),
            leaving: Vec::new(),
        };
        Self { history: History::default(), state: FinalState { groups: vec![record] } }
    }

    pub fn record(&mut self) -> &mut GroupRecord {
        &mut self.state.groups[0]
    }

    /// Adds an attempt of `session` after all others.
    pub fn attempt(&mut self, session: u32, operation: &str, action: Action, outcome: Outcome) {
        let at = 10 * self.history.attempts.len() as u64;
        self.history.attempts.push(Attempt {
            operation: OperationId::new(operation),
            session: SessionNumber(session),
            group: group(),
            node: NodeId::new("node-a"),
            invoked: RunTime(at),
            completed: RunTime(at + 5),
            action,
            keyed: false,
            with_token: false,
            mark: operation.into(),
            statements_answered: 0,
            outcome,
        });
    }

    pub fn answered(&mut self, session: u32, operation: &str, action: Action) {
        let answer = answer_to(operation, action, "");
        self.attempt(session, operation, action, Outcome::Answered(answer));
    }

    pub fn read(&mut self, session: u32, row: RowKey, value: &str) {
        let mark = format!("read-{}", self.history.attempts.len());
        let answer = answer_to(&mark, Action::Read(row), value);
        self.attempt(session, &mark, Action::Read(row), Outcome::Answered(answer));
    }

    pub fn commit(&mut self, term: u32, changes: Vec<RowChange>) {
        let place = LogPlace { term, offset: 100 * (1 + self.record().surviving.len() as u64) };
        self.record().surviving.push(Commit { place, changes });
    }

    pub fn discard(&mut self, term: u32, changes: Vec<RowChange>) {
        let place = LogPlace { term, offset: 1_000_000 };
        self.record().discarded.push(Commit { place, changes });
    }

    pub fn arrive(&mut self, connection: u64, operation: &str, kind: StatementKind) {
        let at = RunTime(self.record().arrivals.len() as u64);
        self.record().arrivals.push(Arrival {
            at,
            instance: InstanceId::new("orders-a"),
            connection,
            operation: (!operation.is_empty()).then(|| OperationId::new(operation)),
            kind,
        });
    }

    pub fn broken(&self) -> Vec<Invariant> {
        let counts = check(&self.history, &self.state).counts();
        counts.into_iter().filter(|(_, count)| *count > 0).map(|(found, _)| found).collect()
    }
}

pub fn set(row: RowKey, operation: &str) -> RowChange {
    RowChange::Set { row, operation: OperationId::new(operation) }
}

pub fn deposit(operation: &str) -> RowChange {
    RowChange::Deposit(OperationId::new(operation))
}

pub fn parts(operation: &str, numbers: &[u32]) -> Vec<RowChange> {
    let part =
        |number: &u32| RowChange::Part { operation: OperationId::new(operation), part: *number };
    numbers.iter().map(part).collect()
}

pub const TWO_PARTS: Action = Action::Transaction { parts: 2, ending: Ending::Commit };
pub const ROLLED_BACK: Action = Action::Transaction { parts: 2, ending: Ending::RollBack };

/// A run with every kind of operation and outcome and nothing wrong.
pub fn clean() -> Run {
    let mut run = Run::new();
    run.read(1, CAPTION, "");
    run.answered(1, "w1", Action::Write(CAPTION));
    run.commit(1, vec![set(CAPTION, "w1")]);
    run.read(1, CAPTION, "w1");
    run.read(2, CAPTION, "");
    run.attempt(2, "w2", Action::Write(CAPTION), Outcome::InDoubt(told(1601, "08007")));
    run.discard(1, vec![set(CAPTION, "w2")]);
    run.read(2, CAPTION, "w2");
    run.answered(3, "p1", Action::Purchase(SEAT));
    run.commit(2, vec![set(SEAT, "p1")]);
    run.read(3, SEAT, "p1");
    let sold = Answer { tag: "UPDATE 0".into(), ..Answer::default() };
    run.attempt(4, "p2", Action::Purchase(SEAT), Outcome::Answered(sold));
    run.attempt(4, "d1", Action::Deposit, Outcome::NotRun(told(1403, "57014")));
    run.attempt(4, "d2", Action::Deposit, Outcome::InDoubt(told(1603, "08007")));
    run.attempt(4, "d2", Action::Deposit, Outcome::AlreadyRan(told(1702, "23505")));
    run.commit(2, vec![deposit("d2")]);
    run.attempt(4, "d3", Action::Deposit, Outcome::Disconnected);
    run.attempt(4, "d3", Action::Deposit, Outcome::Abandoned(told(1703, "40001")));
    run.answered(5, "t1", TWO_PARTS);
    run.commit(2, parts("t1", &[0, 1]));
    run.answered(5, "t2", ROLLED_BACK);
    for (operation, connection) in [("t1", 1), ("t2", 1), ("t3", 2)] {
        run.arrive(connection, operation, StatementKind::Begin);
        run.arrive(connection, operation, StatementKind::Other);
        run.arrive(connection, operation, StatementKind::End);
    }
    run
}

pub fn with_stop(run: &mut Run, outcome: Outcome, statements_answered: u32) {
    run.history.only_planned_stops = true;
    let stop = PlannedStop { node: NodeId::new("node-b"), began: RunTime(0), ended: RunTime(9) };
    run.history.planned_stops.push(stop);
    run.attempt(1, "stopped", Action::Deposit, outcome);
    if let Some(attempt) = run.history.attempts.last_mut() {
        attempt.statements_answered = statements_answered;
        attempt.invoked = RunTime(5);
        attempt.node = NodeId::new("node-b");
    }
}

pub fn with_revisions(run: &mut Run, revisions: &[u64], accepted: u64) {
    let sample = |(index, revision): (usize, &u64)| ConfigurationSample {
        at: RunTime(index as u64 * 5 * SECOND),
        revision: *revision,
    };
    run.history.configuration.push(ConfigurationTrack {
        node: NodeId::new("node-a"),
        started: RunTime(0),
        samples: revisions.iter().enumerate().map(sample).collect(),
    });
    run.history.accepted_changes.push(AcceptedChange { at: RunTime(SECOND), revision: accepted });
}

pub fn with_work_on_leaving(run: &mut Run, at: u64) {
    let instance = InstanceId::new("orders-a");
    run.record().leaving.push(DrainingInstance { instance, since: RunTime(10) });
    run.arrive(9, "late", StatementKind::Other);
    if let Some(arrival) = run.record().arrivals.last_mut() {
        arrival.at = RunTime(at);
    }
}
