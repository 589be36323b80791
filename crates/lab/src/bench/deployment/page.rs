//! The bench's page: one file with its table and plots, readable in light and dark.

use std::path::Path;

use miette::{IntoDiagnostic, WrapErr};

use super::BenchOutcome;
use super::plot::escape;
use super::series::charts;
use crate::bench::report::{Measure, Report};

/// Name of the page in the directory that a bench writes to.
pub const PAGE_FILE: &str = "report.html";

const STYLE: &str = "\
:root{color-scheme:light dark;--page:#fff;--text:#1c1c1c;--soft:#666;--grid:#e2e2e2;\
--mark:#b00020;--good:#1b7f3b;--series-0:#1f6fb4;--series-1:#c8551b;--series-2:#2f8f4e;\
--series-3:#8a4fb0;--series-4:#8a6d1d}\
@media(prefers-color-scheme:dark){:root{--page:#16181c;--text:#e8e8e8;--soft:#a0a0a0;\
--grid:#33373d;--mark:#ff7a85;--good:#6fd08c;--series-0:#6db3f2;--series-1:#f0965e;\
--series-2:#7ed098;--series-3:#c79be8;--series-4:#d9bd66}}\
body{background:var(--page);color:var(--text);font:15px/1.5 system-ui,sans-serif;\
max-width:60rem;margin:2rem auto;padding:0 1rem}\
.table{overflow-x:auto}table{border-collapse:collapse;width:100%}\
th,td{padding:.3rem .6rem;border-bottom:1px solid var(--grid);text-align:right}\
th:first-child,td:first-child{text-align:left}\
.reached{color:var(--good)}.missed{color:var(--mark);font-weight:600}\
figure{margin:2rem 0}figcaption{font-weight:600}svg{width:100%;height:auto}\
svg text{fill:var(--soft);font-size:11px}.grid{stroke:var(--grid)}\
.mark{stroke:var(--mark);stroke-dasharray:4 3}.line{fill:none;stroke-width:1.6}\
.legend span{margin-right:1.2rem;color:var(--soft)}\
.legend i{display:inline-block;width:.8rem;height:.8rem;margin-right:.3rem;border-radius:2px}";

/// Writes the page into `directory`, which is made if missing.
pub fn write(outcome: &BenchOutcome, directory: &Path) -> miette::Result<()> {
    std::fs::create_dir_all(directory).into_diagnostic()?;
    let path = directory.join(PAGE_FILE);
    std::fs::write(&path, render(outcome))
        .into_diagnostic()
        .wrap_err_with(|| format!("cannot write {}", path.display()))
}

fn render(outcome: &BenchOutcome) -> String {
    let BenchOutcome { report, example, .. } = outcome;
    let title = format!("kestrellock bench: {}", escape(&report.bench));
    let settings = report.settings.iter();
    let settings: String = settings
        .map(|(name, value)| format!("<li>{}: {}</li>", escape(name), escape(value)))
        .collect();
    let plots: String = charts(example).iter().map(super::plot::Chart::to_html).collect();
    format!(
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">\
         <meta name=\"viewport\" content=\"width=device-width,initial-scale=1\">\
         <title>{title}</title><style>{STYLE}</style></head><body><h1>{title}</h1>\
         {}<h2>Run with seed {}</h2>{plots}<h2>Settings</h2><ul>{settings}</ul></body></html>",
        table(report),
        example.seed,
    )
}

fn table(report: &Report) -> String {
    let heads: String = report
        .baselines
        .keys()
        .map(|name| format!("<th>{}</th><th>ratio</th>", escape(name)))
        .collect();
    let rows: String = report.measures.iter().map(|measure| row(report, measure)).collect();
    format!(
        "<div class=\"table\"><table><thead><tr><th>measure</th><th>unit</th><th>median</th>\
         <th>spread</th><th>target</th>{heads}</tr></thead><tbody>{rows}</tbody></table></div>"
    )
}

fn row(report: &Report, measure: &Measure) -> String {
    let target = match (measure.target, measure.reaches_target()) {
        (Some(target), Some(true)) => format!("<td class=\"reached\">{target} reached</td>"),
        (Some(target), _) => format!("<td class=\"missed\">{target} missed</td>"),
        (None, _) => "<td></td>".to_owned(),
    };
    let baselines: String = report
        .baselines
        .values()
        .map(|measures| {
            let other = measures.iter().find(|other| other.name == measure.name);
            let value = other.map_or("–".to_owned(), |other| format!("{:.3}", other.median));
            let ratio = other.and_then(|other| measure.ratio_to(other));
            let ratio = ratio.map_or("–".to_owned(), |ratio| format!("{ratio:.2}"));
            format!("<td>{value}</td><td>{ratio}</td>")
        })
        .collect();
    format!(
        "<tr><td>{}</td><td>{}</td><td>{:.3}</td><td>{:.3} – {:.3}</td>{target}{baselines}</tr>",
        escape(&measure.name),
        escape(&measure.unit),
        measure.median,
        measure.low,
        measure.high,
    )
}
