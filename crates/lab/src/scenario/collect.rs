//! Reads the record of every group when a run is over.

use std::collections::BTreeSet;
use std::time::Instant;

use super::caller::statements::operation_in;
use super::deployment::Group;
use crate::check::final_state::{Arrival, Commit, GroupRecord, LogPlace, RowChange, StatementKind};
use crate::check::history::{OperationId, RowKey, RunTime};
use crate::report::measurement::Failover;
use crate::standin::group::arrivals::StatementArrival;
use crate::standin::group::events::GroupEventKind;
use crate::standin::group::tables::{Change, Row};

/// Reads that reached the instances of a group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadCounts {
    /// At a primary.
    pub primary: u64,
    /// At a replica.
    pub replica: u64,
}

fn run_time(began: Instant, at: Instant) -> RunTime {
    RunTime(at.saturating_duration_since(began).as_micros() as u64)
}

/// The record of a group; `None` if it has no primary.
pub fn record(group: &Group, began: Instant) -> Option<GroupRecord> {
    let log = group.servers.committed_log()?;
    let surviving: Vec<Commit> =
        log.iter().map(|record| commit(record.term, record.end, &record.changes)).collect();
    let kept: BTreeSet<LogPlace> = surviving.iter().map(|commit| commit.place).collect();
    let mut discarded = Vec::new();
    let mut known = kept;
    for instance in &group.servers.instances {
        let state = instance.state();
        let logged = state.log.iter().map(|entry| &entry.record);
        for record in logged.chain(&state.discarded) {
            let commit = commit(record.term, record.end, &record.changes);
            if known.insert(commit.place) {
                discarded.push(commit);
            }
        }
    }
    let arrivals = arrivals(group, began);
    let id = group.id.clone();
    Some(GroupRecord { group: id, surviving, discarded, arrivals, leaving: Vec::new() })
}

fn commit(term: u32, offset: u64, changes: &[Change]) -> Commit {
    let changes = changes.iter().filter_map(row_change).collect();
    Commit { place: LogPlace { term, offset }, changes }
}

/// What a change means to the checker; `None` for tables that are not the workload's and for
/// rows put in before the run.
fn row_change(change: &Change) -> Option<RowChange> {
    let Change::Put { table, row, .. } = change else { return None };
    match table.as_str() {
        "registers" => set(row, RowKey::Register),
        "seats" => set(row, RowKey::Seat),
        "deposits" => Some(RowChange::Deposit(OperationId::new(text(row, 0)?))),
        "parts" => {
            let operation = OperationId::new(text(row, 0)?);
            Some(RowChange::Part { operation, part: text(row, 1)?.parse().ok()? })
        }
        _ => None,
    }
}

fn set(row: &Row, key: fn(u32) -> RowKey) -> Option<RowChange> {
    let id = text(row, 0)?.parse().ok()?;
    let operation = text(row, 1).filter(|operation| !operation.is_empty())?;
    Some(RowChange::Set { row: key(id), operation: OperationId::new(operation) })
}

fn text(row: &Row, column: usize) -> Option<&str> {
    row.get(column)?.as_deref()
}

fn arrivals(group: &Group, began: Instant) -> Vec<Arrival> {
    let mut all = Vec::new();
    for instance in &group.servers.instances {
        let id = group.instance(instance.index);
        all.extend(instance.arrivals.all().into_iter().map(|arrival| Arrival {
            at: run_time(began, arrival.at),
            instance: id.clone(),
            connection: arrival.connection.0 as u64,
            operation: operation_in(&arrival.text),
            kind: kind_of(&arrival),
        }));
    }
    all
}

fn kind_of(arrival: &StatementArrival) -> StatementKind {
    let head = arrival.text.split_whitespace().next().unwrap_or_default();
    match head {
        "BEGIN" => StatementKind::Begin,
        "COMMIT" | "ROLLBACK" => StatementKind::End,
        _ => StatementKind::Other,
    }
}

/// Counts the callers' reads by the role of the instance that they reached.
pub fn reads(group: &Group) -> ReadCounts {
    let mut counts = ReadCounts::default();
    for instance in &group.servers.instances {
        for arrival in instance.arrivals.all() {
            if !arrival.text.starts_with("SELECT") || operation_in(&arrival.text).is_none() {
                continue;
            }
            match arrival.primary {
                true => counts.primary += 1,
                false => counts.replica += 1,
            }
        }
    }
    counts
}

/// Changes of primary that the group tells of.
pub fn failovers(group: &Group, began: Instant) -> Vec<Failover> {
    let mut lost = None;
    let mut found = Vec::new();
    for event in group.servers.events() {
        match event.kind {
            GroupEventKind::PrimaryLost { .. } => lost = Some(event.at),
            GroupEventKind::PrimaryRegained { .. } => lost = None,
            GroupEventKind::Elected { .. } => {
                let lost = run_time(began, lost.take().unwrap_or(event.at));
                let promoted = run_time(began, event.at);
                found.push(Failover { group: group.id.clone(), lost, promoted });
            }
            _ => {}
        }
    }
    found
}
