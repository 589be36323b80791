//! The figures of one run.

use std::time::Duration;

use super::plan::{Plan, Site, Window, capacity};
use super::run::{Answered, RunOutcome};
use crate::bench::report::Better;
use crate::bench::statistics::Latencies;
use crate::check::history::{Action, Outcome, RunTime};

/// Time after which callers abandon a page.
const PAGE_PATIENCE: Duration = Duration::from_secs(2);

/// Added gap, in milliseconds, counted where no write was acknowledged any more.
const UNENDED_GAP: f64 = 10_000.0;

/// One figure of one run.
#[derive(Clone, Debug, PartialEq)]
pub struct Figure {
    /// Name.
    pub name: &'static str,
    /// Unit.
    pub unit: &'static str,
    /// Which way it gets better.
    pub better: Better,
    /// Limit to reach, where one is set.
    pub target: Option<f64>,
    /// Value; `None` where the run gave nothing to measure.
    pub value: Option<f64>,
}

fn figure(
    name: &'static str,
    unit: &'static str,
    better: Better,
    target: Option<f64>,
    value: Option<f64>,
) -> Figure {
    Figure { name, unit, better, target, value }
}

/// Every figure of a run.
pub fn figures(plan: &Plan, outcome: &RunOutcome) -> Vec<Figure> {
    let mut all = match plan.site {
        Site::Atlas => atlas(plan, outcome),
        Site::Gidanmu => gidanmu(plan, outcome),
    };
    all.extend(common(outcome));
    all
}

fn atlas(plan: &Plan, outcome: &RunOutcome) -> Vec<Figure> {
    use Better::{Higher, Lower};
    let calm = quantile(outcome, plan.calm, 0.99, is_order);
    let busy = quantile(outcome, plan.busy, 0.99, is_order);
    let ratio = calm.zip(busy).map(|(calm, busy)| busy / calm);
    let read = |at| quantile(outcome, plan.busy, at, is_read);
    let near = replica_share(outcome, plan.busy);
    let far = replica_share(outcome, plan.far_behind.window);
    vec![
        figure("replica_share.evening", "share", Higher, Some(0.97), near),
        figure("replica_share.far_behind", "share", Higher, Some(0.85), far),
        figure("order_p99.idle", "ms", Lower, None, calm),
        figure("order_p99.evening", "ms", Lower, None, busy),
        figure("order_p99.ratio", "ratio", Lower, Some(1.1), ratio),
        figure("order_p50.evening", "ms", Lower, None, quantile(outcome, plan.busy, 0.5, is_order)),
        figure("read_p50.evening", "ms", Lower, None, read(0.5)),
        figure("read_p99.evening", "ms", Lower, None, read(0.99)),
    ]
}

fn gidanmu(plan: &Plan, outcome: &RunOutcome) -> Vec<Figure> {
    use Better::{Higher, Lower};
    let deployment = &plan.scenario.deployment;
    let deadline = deployment.deadline_ms as f64;
    let purchase = |at| quantile(outcome, plan.busy, at, is_purchase);
    let read = |at| quantile(outcome, plan.busy, at, is_read);
    let possible = capacity(deployment) * plan.busy.length().as_secs_f64();
    let within = |answered: &&Answered| {
        is_purchase(&answered.latency.action)
            && plan.busy.contains(answered.latency.due)
            && answered.group.0 == "tickets"
            && answered.latency.time.as_millis() as u64 <= deployment.deadline_ms
    };
    let goodput = outcome.answered.iter().filter(within).count() as f64 / possible;
    let pages = Pages::count(outcome);
    vec![
        figure("purchase_p99.rush", "ms", Lower, Some(deadline), purchase(0.99)),
        figure(
            "purchase_answer_p99.rush",
            "ms",
            Lower,
            None,
            answer_time(outcome, plan.busy, 0.99),
        ),
        figure("purchase_p50.rush", "ms", Lower, None, purchase(0.5)),
        figure("purchase_goodput.rush", "of capacity", Higher, None, Some(goodput)),
        figure("read_p99.rush", "ms", Lower, None, read(0.99)),
        figure("replica_share.rush", "share", Higher, None, replica_share(outcome, plan.busy)),
        figure("pages_abandoned", "share", Lower, Some(0.001), pages.share(pages.abandoned)),
        figure("pages_refused", "share", Lower, None, pages.share(pages.refused)),
    ]
}

fn common(outcome: &RunOutcome) -> Vec<Figure> {
    use Better::Lower;
    let gap = outcome.gaps.iter().map(|gap| gap.added.unwrap_or(UNENDED_GAP));
    let added = gap.reduce(f64::max);
    let election = outcome.gaps.iter().map(|gap| gap.election).reduce(f64::max);
    let in_doubt = outcome
        .history
        .attempts
        .iter()
        .filter(|attempt| matches!(attempt.outcome, Outcome::InDoubt(_) | Outcome::Disconnected))
        .filter(|attempt| attempt.action.may_write())
        .count();
    let violations = outcome.verdict.violations.len() as f64;
    vec![
        figure("failover_gap.added", "ms", Lower, Some(100.0), added),
        figure("failover_gap.election", "ms", Lower, None, election),
        figure("writes_in_doubt", "writes", Lower, None, Some(in_doubt as f64)),
        figure("violations", "violations", Lower, Some(0.0), Some(violations)),
    ]
}

/// Whether it is one of the requests that Atlas calls orders: captions, deposits, class orders.
pub fn is_order(action: &Action) -> bool {
    action.may_write()
}

/// Whether it is a page.
pub fn is_read(action: &Action) -> bool {
    matches!(action, Action::Read(_))
}

/// Whether it is a purchase.
pub fn is_purchase(action: &Action) -> bool {
    matches!(action, Action::Purchase(_))
}

/// Latency in milliseconds at a quantile of the requests that were due in a window.
pub fn quantile(
    outcome: &RunOutcome,
    window: Window,
    at: f64,
    chosen: fn(&Action) -> bool,
) -> Option<f64> {
    let mut latencies = Latencies::default();
    for answered in &outcome.answered {
        let latency = &answered.latency;
        if window.contains(latency.due) && chosen(&latency.action) {
            latencies.record(latency.time);
        }
    }
    (latencies.count() > 0).then(|| latencies.at(at) / 1_000.0)
}

/// Milliseconds from sending a purchase to its answer, at a quantile: without the time in which
/// its caller connected and logged in.
fn answer_time(outcome: &RunOutcome, window: Window, at: f64) -> Option<f64> {
    let mut latencies = Latencies::default();
    for attempt in &outcome.history.attempts {
        let answered = matches!(attempt.outcome, Outcome::Answered(_));
        let invoked = since_start(attempt.invoked);
        if answered && is_purchase(&attempt.action) && window.contains(invoked) {
            latencies.record(since_start(attempt.completed).saturating_sub(invoked));
        }
    }
    (latencies.count() > 0).then(|| latencies.at(at) / 1_000.0)
}

/// Share of the reads of a window that reached a replica.
pub fn replica_share(outcome: &RunOutcome, window: Window) -> Option<f64> {
    let reads = outcome.reads.iter().filter(|read| window.contains(read.at));
    let at_replica = reads.clone().filter(|read| !read.at_primary).count();
    let all = reads.count();
    (all > 0).then(|| at_replica as f64 / all as f64)
}

/// How the pages outside the failover gaps ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Pages {
    all: usize,
    abandoned: usize,
    refused: usize,
}

impl Pages {
    fn count(outcome: &RunOutcome) -> Self {
        let gaps = gap_windows(outcome);
        let outside = |at: Duration| !gaps.iter().any(|gap| gap.contains(at));
        let mut pages = Self::default();
        for answered in &outcome.answered {
            if is_read(&answered.latency.action) && outside(answered.latency.due) {
                pages.all += 1;
                pages.abandoned += usize::from(answered.latency.time > PAGE_PATIENCE);
            }
        }
        for attempt in &outcome.history.attempts {
            if !is_read(&attempt.action) || !outside(since_start(attempt.invoked)) {
                continue;
            }
            match attempt.outcome {
                Outcome::Answered(_) => {}
                Outcome::NotRun(_) => {
                    pages.all += 1;
                    pages.refused += 1;
                }
                _ => {
                    pages.all += 1;
                    pages.abandoned += 1;
                }
            }
        }
        pages
    }

    fn share(&self, count: usize) -> Option<f64> {
        (self.all > 0).then(|| count as f64 / self.all as f64)
    }
}

/// Time after the run began.
pub fn since_start(time: RunTime) -> Duration {
    Duration::from_micros(time.0)
}

/// From the loss of each primary to the first write acknowledged after it.
fn gap_windows(outcome: &RunOutcome) -> Vec<Window> {
    let gaps = outcome.failovers.iter().zip(&outcome.gaps);
    gaps.map(|(failover, gap)| {
        let added = gap.added.unwrap_or_default().max(0.0) / 1_000.0;
        let to = since_start(failover.promoted) + Duration::from_secs_f64(added);
        Window { from: since_start(failover.lost), to }
    })
    .collect()
}
