//! What the plots of a run show: its figures over time.

use std::time::Duration;

use super::figures::since_start;
use super::plot::{Chart, Kind, Mark, Series};
use super::run::RunOutcome;
use super::sample::Sample;
use crate::bench::statistics::Latencies;
use crate::check::history::Outcome;
use crate::report::measurement::class_name;

/// Width of a step in the plots over the whole run.
const STEP: Duration = Duration::from_millis(250);
/// Width of a step around a failover.
const GAP_STEP: Duration = Duration::from_millis(25);
/// Time shown before the loss of a primary, and after the new one took writes.
const GAP_MARGIN: Duration = Duration::from_millis(500);

fn step_of(at: Duration, step: Duration) -> usize {
    (at.as_nanos() / step.as_nanos()) as usize
}

fn time_of(index: usize, step: Duration) -> f64 {
    step.as_secs_f64() * (index as f64 + 0.5)
}

/// All charts of a run.
pub fn charts(outcome: &RunOutcome) -> Vec<Chart> {
    let mut charts = vec![
        latency(outcome, 0.5, "Latency over time, median"),
        latency(outcome, 0.99, "Latency over time, 99th percentile"),
        share_over_time(outcome),
        lag_over_time(outcome),
        share_against_lag(outcome),
        connections(outcome),
        queues(outcome),
    ];
    charts.extend((0..outcome.failovers.len()).map(|index| gap(outcome, index)));
    charts
}

/// Marks at the loss of each primary.
fn losses(outcome: &RunOutcome) -> Vec<Mark> {
    let lost = outcome.failovers.iter();
    lost.map(|failover| Mark {
        x: since_start(failover.lost).as_secs_f64(),
        label: format!("{} loses its primary", failover.group),
    })
    .collect()
}

fn latency(outcome: &RunOutcome, quantile: f64, title: &str) -> Chart {
    let mut series = Vec::new();
    for class in ["read", "write", "deposit", "purchase", "transaction"] {
        let mut steps: Vec<Latencies> = Vec::new();
        for answered in &outcome.answered {
            if class_name(&answered.latency.action) == class {
                let index = step_of(answered.latency.due, STEP);
                if steps.len() <= index {
                    steps.resize_with(index + 1, Latencies::default);
                }
                steps[index].record(answered.latency.time);
            }
        }
        let points = steps
            .iter()
            .enumerate()
            .filter(|(_, latencies)| latencies.count() > 0)
            .map(|(index, latencies)| (time_of(index, STEP), latencies.at(quantile) / 1_000.0))
            .collect();
        series.push(Series { name: class.to_owned(), points });
    }
    series.retain(|one| !one.points.is_empty());
    Chart {
        title: title.to_owned(),
        x_label: "s".into(),
        y_label: "ms, from the time the request was due".into(),
        kind: Kind::Lines,
        series,
        marks: losses(outcome),
    }
}

/// Replica share of each step; `None` where nothing was read.
fn shares(outcome: &RunOutcome) -> Vec<Option<f64>> {
    #[derive(Clone, Copy, Default)]
    struct Counts {
        all: u32,
        replica: u32,
    }
    let mut steps: Vec<Counts> = Vec::new();
    for read in &outcome.reads {
        let index = step_of(read.at, STEP);
        if steps.len() <= index {
            steps.resize(index + 1, Counts::default());
        }
        steps[index].all += 1;
        steps[index].replica += u32::from(!read.at_primary);
    }
    let share = |counts: &Counts| {
        (counts.all > 0).then(|| f64::from(counts.replica) / f64::from(counts.all))
    };
    steps.iter().map(share).collect()
}

fn share_over_time(outcome: &RunOutcome) -> Chart {
    let points = shares(outcome)
        .iter()
        .enumerate()
        .filter_map(|(index, share)| Some((time_of(index, STEP), (*share)?)))
        .collect();
    Chart {
        title: "Share of reads that reached a replica".into(),
        x_label: "s".into(),
        y_label: "share".into(),
        kind: Kind::Lines,
        series: vec![Series { name: "replica share".into(), points }],
        marks: losses(outcome),
    }
}

fn sampled(outcome: &RunOutcome, name: &str, value: impl Fn(&Sample) -> f64) -> Series {
    let points = outcome.samples.iter().map(|sample| (sample.at.as_secs_f64(), value(sample)));
    Series { name: name.to_owned(), points: points.collect() }
}

fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

fn lag_over_time(outcome: &RunOutcome) -> Chart {
    Chart {
        title: "Age of the oldest record that a replica's readers do not see".into(),
        x_label: "s".into(),
        y_label: "ms".into(),
        kind: Kind::Lines,
        series: vec![
            sampled(outcome, "median replica", |sample| milliseconds(sample.median_lag)),
            sampled(outcome, "replica furthest behind", |sample| milliseconds(sample.greatest_lag)),
        ],
        marks: losses(outcome),
    }
}

fn share_against_lag(outcome: &RunOutcome) -> Chart {
    let shares = shares(outcome);
    let points = outcome
        .samples
        .iter()
        .filter_map(|sample| {
            let share = shares.get(step_of(sample.at, STEP)).copied().flatten()?;
            Some((milliseconds(sample.greatest_lag), share))
        })
        .collect();
    Chart {
        title: "Replica share against the lag of the replica furthest behind".into(),
        x_label: "ms".into(),
        y_label: "share".into(),
        kind: Kind::Dots,
        series: vec![Series { name: "replica share".into(), points }],
        marks: Vec::new(),
    }
}

fn connections(outcome: &RunOutcome) -> Chart {
    Chart {
        title: "Connections to the instances".into(),
        x_label: "s".into(),
        y_label: "connections".into(),
        kind: Kind::Lines,
        series: vec![
            sampled(outcome, "all instances", |sample| sample.connections as f64),
            sampled(outcome, "instance with most", |sample| sample.most_connections as f64),
        ],
        marks: losses(outcome),
    }
}

fn queues(outcome: &RunOutcome) -> Chart {
    Chart {
        title: "Statements running or waiting inside the instances".into(),
        x_label: "s".into(),
        y_label: "statements".into(),
        kind: Kind::Lines,
        series: vec![sampled(outcome, "all instances", |sample| sample.present as f64)],
        marks: losses(outcome),
    }
}

/// Writes around one failover by how they ended.
fn gap(outcome: &RunOutcome, index: usize) -> Chart {
    let failover = &outcome.failovers[index];
    let lost = since_start(failover.lost);
    let promoted = since_start(failover.promoted);
    let from = lost.saturating_sub(GAP_MARGIN);
    let steps = step_of((promoted + GAP_MARGIN).saturating_sub(from), GAP_STEP) + 1;
    let mut acknowledged = vec![0.0; steps];
    let mut failed = vec![0.0; steps];
    for attempt in &outcome.history.attempts {
        let Some(at) = since_start(attempt.completed).checked_sub(from) else { continue };
        let step = step_of(at, GAP_STEP);
        if attempt.group != failover.group || !attempt.action.may_write() || step >= steps {
            continue;
        }
        match attempt.outcome {
            Outcome::Answered(_) => acknowledged[step] += 1.0,
            _ => failed[step] += 1.0,
        }
    }
    let series = |name: &str, counts: Vec<f64>| {
        let start = from.as_secs_f64();
        let points = counts.into_iter().enumerate();
        let points = points.map(|(index, count)| (start + time_of(index, GAP_STEP), count));
        Series { name: name.to_owned(), points: points.collect() }
    };
    Chart {
        title: format!("Failover of {}: writes by the time of their answer", failover.group),
        x_label: "s".into(),
        y_label: format!("writes in {} ms", GAP_STEP.as_millis()),
        kind: Kind::Lines,
        series: vec![series("acknowledged", acknowledged), series("refused or in doubt", failed)],
        marks: vec![
            Mark { x: lost.as_secs_f64(), label: "primary lost".into() },
            Mark { x: promoted.as_secs_f64(), label: "new primary takes writes".into() },
        ],
    }
}
