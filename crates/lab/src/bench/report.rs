//! What a bench writes to `report.json`: measures with median, spread and target.

use std::collections::BTreeMap;
use std::path::Path;

use miette::{IntoDiagnostic, WrapErr, miette};
use serde::{Deserialize, Serialize};

use super::statistics::spread;

/// Version of the report's format.
const FORMAT_VERSION: u32 = 1;
/// Name of the report in the directory that a bench writes to.
pub const REPORT_FILE: &str = "report.json";

/// Which way a measure gets better.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Better {
    /// More is better.
    Higher,
    /// Less is better.
    Lower,
}

/// One figure: its samples, and what they come to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Measure {
    /// Name, unique in the report.
    pub name: String,
    /// Unit of every value.
    pub unit: String,
    /// Which way it gets better.
    pub better: Better,
    /// Limit to reach, where one is set.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<f64>,
    /// Median of the samples.
    pub median: f64,
    /// Low end of the spread.
    pub low: f64,
    /// High end of the spread.
    pub high: f64,
    /// One value for each slice or seed.
    pub samples: Vec<f64>,
}

impl Measure {
    /// A measure of `samples`; `None` if there are none.
    pub fn new(name: &str, unit: &str, better: Better, samples: Vec<f64>) -> Option<Self> {
        let spread = spread(&samples)?;
        Some(Self {
            name: name.to_owned(),
            unit: unit.to_owned(),
            better,
            target: None,
            median: spread.median,
            low: spread.low,
            high: spread.high,
            samples,
        })
    }

    /// The same measure with a limit to reach.
    pub fn with_target(self, target: f64) -> Self {
        Self { target: Some(target), ..self }
    }

    /// The median over that of `other`; `None` if that is zero.
    pub fn ratio_to(&self, other: &Self) -> Option<f64> {
        (other.median != 0.0).then(|| self.median / other.median)
    }

    /// Whether the median reaches the target; `None` without a target.
    pub fn reaches_target(&self) -> Option<bool> {
        let target = self.target?;
        Some(match self.better {
            Better::Higher => self.median >= target,
            Better::Lower => self.median <= target,
        })
    }
}

/// Everything a bench found.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Version of the format.
    pub format: u32,
    /// Which bench wrote it.
    pub bench: String,
    /// How it was run.
    pub settings: BTreeMap<String, String>,
    /// Its figures.
    pub measures: Vec<Measure>,
    /// The same figures under the decisions of baselines, by their names.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub baselines: BTreeMap<String, Vec<Measure>>,
    /// What could not be measured, and why.
    #[serde(default)]
    pub not_measured: Vec<String>,
}

impl Report {
    /// An empty report.
    pub fn new(bench: &str, settings: BTreeMap<String, String>) -> Self {
        Self {
            format: FORMAT_VERSION,
            bench: bench.to_owned(),
            settings,
            measures: Vec::new(),
            baselines: BTreeMap::new(),
            not_measured: Vec::new(),
        }
    }

    /// The measure of that name.
    pub fn measure(&self, name: &str) -> Option<&Measure> {
        self.measures.iter().find(|measure| measure.name == name)
    }

    /// Reads a report.
    pub fn read(path: &Path) -> miette::Result<Self> {
        let text = std::fs::read_to_string(path)
            .into_diagnostic()
            .wrap_err_with(|| format!("cannot read {}", path.display()))?;
        let report: Self = serde_json::from_str(&text)
            .into_diagnostic()
            .wrap_err_with(|| format!("{} is not a bench report", path.display()))?;
        if report.format != FORMAT_VERSION {
            return Err(miette!("{} has format {}", path.display(), report.format));
        }
        Ok(report)
    }

    /// Writes the report into `directory`, which is made if missing.
    pub fn write(&self, directory: &Path) -> miette::Result<()> {
        std::fs::create_dir_all(directory).into_diagnostic()?;
        let text = serde_json::to_string_pretty(self).into_diagnostic()?;
        let path = directory.join(REPORT_FILE);
        std::fs::write(&path, text)
            .into_diagnostic()
            .wrap_err_with(|| format!("cannot write {}", path.display()))
    }

    /// Prints every measure as a table.
    pub fn print(&self) {
        println!("{:<44} {:>14} {:>26}  {:<18} target", "measure", "median", "spread", "unit");
        for measure in &self.measures {
            let spread = format!("{:.3} .. {:.3}", measure.low, measure.high);
            let verdict = match (measure.target, measure.reaches_target()) {
                (Some(target), Some(true)) => format!("{target} reached"),
                (Some(target), _) => format!("{target} MISSED"),
                (None, _) => String::new(),
            };
            println!(
                "{:<44} {:>14.3} {spread:>26}  {:<18} {verdict}",
                measure.name, measure.median, measure.unit
            );
        }
        self.print_baselines();
        for missing in &self.not_measured {
            println!("not measured: {missing}");
        }
    }

    /// Prints the medians under each baseline, and the ratio of the measured median to them.
    fn print_baselines(&self) {
        for (baseline, measures) in &self.baselines {
            println!("\nagainst {baseline}");
            println!("{:<44} {:>14} {:>26} {:>8}", "measure", "median", "spread", "ratio");
            for other in measures {
                let own = self.measure(&other.name);
                let ratio = own.and_then(|own| own.ratio_to(other));
                let ratio = ratio.map_or("-".to_owned(), |ratio| format!("{ratio:.2}"));
                let spread = format!("{:.3} .. {:.3}", other.low, other.high);
                println!("{:<44} {:>14.3} {spread:>26} {ratio:>8}", other.name, other.median);
            }
        }
    }
}
