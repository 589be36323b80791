//! Comparison of two reports of the same bench: what changed beyond the spread.

use super::report::{Better, Measure, Report};

/// What became of a measure between two reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Better beyond the spread of both.
    Better,
    /// Worse beyond the spread of both.
    Worse,
    /// Within the spread.
    Same,
    /// In the older report only: counts as worse.
    Missing,
    /// In the newer report only.
    New,
}

/// One measure in both reports.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Name of the measure.
    pub name: String,
    /// Its unit.
    pub unit: String,
    /// Median before.
    pub before: Option<f64>,
    /// Median after.
    pub after: Option<f64>,
    /// What became of it.
    pub verdict: Verdict,
}

/// Compares measure by measure, in the order of the older report, new ones last.
pub fn compare(before: &Report, after: &Report) -> Vec<Change> {
    let known = before.measures.iter().map(|old| change(old, after.measure(&old.name)));
    let new = after.measures.iter().filter(|measure| before.measure(&measure.name).is_none()).map(
        |measure| Change {
            name: measure.name.clone(),
            unit: measure.unit.clone(),
            before: None,
            after: Some(measure.median),
            verdict: Verdict::New,
        },
    );
    known.chain(new).collect()
}

fn change(old: &Measure, new: Option<&Measure>) -> Change {
    Change {
        name: old.name.clone(),
        unit: old.unit.clone(),
        before: Some(old.median),
        after: new.map(|measure| measure.median),
        verdict: new.map_or(Verdict::Missing, |new| judge(old, new)),
    }
}

/// Neither median may lie within the other's spread for a change to count.
fn judge(old: &Measure, new: &Measure) -> Verdict {
    let inside = |value: f64, measure: &Measure| value >= measure.low && value <= measure.high;
    if inside(new.median, old) || inside(old.median, new) {
        return Verdict::Same;
    }
    match (old.better, new.median > old.median) {
        (Better::Higher, true) | (Better::Lower, false) => Verdict::Better,
        (Better::Higher, false) | (Better::Lower, true) => Verdict::Worse,
    }
}

/// How many measures regressed.
pub fn regressions(changes: &[Change]) -> usize {
    let regressed = |change: &&Change| matches!(change.verdict, Verdict::Worse | Verdict::Missing);
    changes.iter().filter(regressed).count()
}

/// Prints the changes, and the ratio of the medians.
pub fn print(changes: &[Change]) {
    println!("{:<44} {:>14} {:>14} {:>8}  verdict", "measure", "before", "after", "ratio");
    let text = |value: Option<f64>| value.map_or("-".to_owned(), |value| format!("{value:.3}"));
    for change in changes {
        let ratio = match (change.before, change.after) {
            (Some(before), Some(after)) if before != 0.0 => Some(after / before),
            _ => None,
        };
        println!(
            "{:<44} {:>14} {:>14} {:>8}  {:?}",
            change.name,
            text(change.before),
            text(change.after),
            text(ratio),
            change.verdict
        );
    }
}
