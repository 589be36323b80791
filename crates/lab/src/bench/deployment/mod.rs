//! The benches of the two deployments: every seed under the product's decisions and under those
//! of each baseline, side by side.

pub mod figures;
pub mod page;
pub mod plan;
pub mod plot;
pub mod run;
pub mod sample;
pub mod series;

use std::collections::BTreeMap;

use miette::miette;

use self::figures::{Figure, figures};
use self::plan::{Plan, Site, plan};
use self::run::{RunOutcome, run};
use super::report::{Better, Measure, Report};
use crate::scenario::command::PolicyName;

/// Largest failover gap that the proxy may add to the group's own, in milliseconds.
const LARGEST_ADDED_GAP: f64 = 500.0;

/// What to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeploymentOptions {
    /// Which deployment.
    pub site: Site,
    /// First seed.
    pub seed: u64,
    /// Number of seeds.
    pub seeds: u64,
    /// Nodes in each zone.
    pub nodes_per_zone: usize,
    /// Decisions that are measured.
    pub policy: PolicyName,
    /// Decisions that they are compared with.
    pub baselines: Vec<PolicyName>,
}

/// What a bench gave: the report, and the first run for its plots.
pub struct BenchOutcome {
    /// Figures.
    pub report: Report,
    /// What was run.
    pub plan: Plan,
    /// The first seed's run of the measured policy.
    pub example: RunOutcome,
}

/// The figures of one policy, with one value a seed.
#[derive(Default)]
struct Collected {
    order: Vec<Figure>,
    values: BTreeMap<&'static str, Vec<f64>>,
}

impl Collected {
    fn add(&mut self, run: Vec<Figure>) {
        for figure in run {
            self.values.entry(figure.name).or_default().extend(figure.value);
            if !self.order.iter().any(|known| known.name == figure.name) {
                self.order.push(figure);
            }
        }
    }

    fn measures(&self, missing: &mut Vec<String>) -> Vec<Measure> {
        let mut measures = Vec::new();
        for figure in &self.order {
            let samples = self.values[figure.name].clone();
            let samples = match figure.name {
                "violations" => vec![samples.iter().sum()],
                _ => samples,
            };
            match Measure::new(figure.name, figure.unit, figure.better, samples) {
                Some(measure) => measures.push(Measure { target: figure.target, ..measure }),
                None => missing.push(format!("{}: no run had anything to measure", figure.name)),
            }
        }
        measures.extend(self.largest_gap());
        measures
    }

    fn largest_gap(&self) -> Option<Measure> {
        let gaps = self.values.get("failover_gap.added")?;
        let largest = gaps.iter().copied().reduce(f64::max)?;
        let measure = Measure::new("failover_gap.added_max", "ms", Better::Lower, vec![largest])?;
        Some(measure.with_target(LARGEST_ADDED_GAP))
    }
}

/// Runs every seed under every policy; policies take turns so that the machine's noise hits all.
pub fn bench(options: &DeploymentOptions) -> miette::Result<BenchOutcome> {
    let plan = plan(options.site, options.nodes_per_zone);
    let mut report = Report::new(options.site.name(), settings(options, &plan));
    let others = options.baselines.iter().filter(|other| **other != options.policy);
    let policies: Vec<PolicyName> =
        std::iter::once(options.policy).chain(others.copied()).collect();
    let mut collected: Vec<Collected> = policies.iter().map(|_| Collected::default()).collect();
    let mut example = None;
    for seed in options.seed..options.seed + options.seeds {
        for (policy, collected) in policies.iter().zip(&mut collected) {
            let outcome = run(&plan, seed, policy.policy)?;
            let figures = figures(&plan, &outcome);
            print_progress(seed, policy.name, &outcome);
            collected.add(figures);
            if example.is_none() {
                example = Some(outcome);
            }
        }
    }
    report.measures = collected[0].measures(&mut report.not_measured);
    for (policy, collected) in policies.iter().zip(&collected).skip(1) {
        let measures = collected.measures(&mut Vec::new());
        report.baselines.insert(policy.name.to_owned(), measures);
    }
    let example = example.ok_or_else(|| miette!("no seed was run"))?;
    Ok(BenchOutcome { report, plan, example })
}

fn settings(options: &DeploymentOptions, plan: &Plan) -> BTreeMap<String, String> {
    let deployment = &plan.scenario.deployment;
    BTreeMap::from([
        ("seeds".to_owned(), format!("{}..{}", options.seed, options.seed + options.seeds)),
        ("nodes_per_zone".to_owned(), options.nodes_per_zone.to_string()),
        ("policy".to_owned(), options.policy.name.to_owned()),
        ("zones".to_owned(), deployment.zones.join(", ")),
        ("databases".to_owned(), deployment.databases.join(", ")),
        ("slots".to_owned(), deployment.slots.to_string()),
        ("connections".to_owned(), deployment.connections.to_string()),
        ("service_ms".to_owned(), deployment.service_ms.to_string()),
        ("run_ms".to_owned(), plan.scenario.duration_ms.to_string()),
    ])
}

fn print_progress(seed: u64, policy: &str, outcome: &RunOutcome) {
    eprintln!(
        "seed {seed}, {policy}: {} requests answered, {} violations",
        outcome.answered.len(),
        outcome.verdict.violations.len()
    );
    if let Some(first) = outcome.verdict.violations.first() {
        eprintln!("  first violation: {:?}: {}", first.invariant, first.detail);
    }
}
