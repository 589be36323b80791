//! Charts as inline SVG. Colours are variables that the page sets for light and dark.

use std::fmt::Write;

const WIDTH: f64 = 720.0;
const HEIGHT: f64 = 260.0;
const LEFT: f64 = 60.0;
const RIGHT: f64 = 12.0;
const TOP: f64 = 16.0;
const BOTTOM: f64 = 40.0;
const TICKS: usize = 5;
/// Number of colours that the page defines for series.
pub const COLOURS: usize = 5;
/// Highest mark label, and the distance between two labels in a row.
const MARK_LABEL_TOP: f64 = 12.0;
const MARK_LABEL_STEP: f64 = 14.0;

/// How points are drawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Joined.
    Lines,
    /// One by one.
    Dots,
}

/// Points of one name.
#[derive(Clone, Debug, PartialEq)]
pub struct Series {
    /// Name in the legend.
    pub name: String,
    /// Points in order.
    pub points: Vec<(f64, f64)>,
}

/// A vertical line.
#[derive(Clone, Debug, PartialEq)]
pub struct Mark {
    /// Where.
    pub x: f64,
    /// What it marks.
    pub label: String,
}

/// A chart.
#[derive(Clone, Debug, PartialEq)]
pub struct Chart {
    /// Title.
    pub title: String,
    /// Unit of the horizontal axis.
    pub x_label: String,
    /// Unit of the vertical axis.
    pub y_label: String,
    /// How points are drawn.
    pub kind: Kind,
    /// What is drawn.
    pub series: Vec<Series>,
    /// Vertical lines.
    pub marks: Vec<Mark>,
}

/// Text with the characters escaped that mean something in HTML.
pub fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

struct Axes {
    left: f64,
    right: f64,
    top: f64,
}

impl Axes {
    fn of(chart: &Chart) -> Self {
        let points = || chart.series.iter().flat_map(|series| &series.points);
        let left = points().map(|point| point.0).fold(f64::INFINITY, f64::min);
        let right = points().map(|point| point.0).fold(f64::NEG_INFINITY, f64::max);
        let top = points().map(|point| point.1).fold(0.0, f64::max);
        let top = if top > 0.0 { top * 1.05 } else { 1.0 };
        match left < right {
            true => Self { left, right, top },
            false => Self { left: 0.0, right: 1.0, top },
        }
    }

    fn x(&self, value: f64) -> f64 {
        LEFT + (value - self.left) / (self.right - self.left) * (WIDTH - LEFT - RIGHT)
    }

    fn y(&self, value: f64) -> f64 {
        HEIGHT - BOTTOM - value / self.top * (HEIGHT - TOP - BOTTOM)
    }
}

impl Chart {
    /// The chart as one `figure` element.
    pub fn to_html(&self) -> String {
        let axes = Axes::of(self);
        let mut svg = String::new();
        self.draw_axes(&axes, &mut svg);
        self.draw_marks(&axes, &mut svg);
        for (index, series) in self.series.iter().enumerate() {
            let colour = format!("var(--series-{})", index % COLOURS);
            match self.kind {
                Kind::Lines => draw_line(series, &axes, &colour, &mut svg),
                Kind::Dots => draw_dots(series, &axes, &colour, &mut svg),
            }
        }
        format!(
            "<figure><figcaption>{}</figcaption><svg viewBox=\"0 0 {WIDTH} {HEIGHT}\" role=\"img\" \
             aria-label=\"{}\">{svg}</svg>{}</figure>",
            escape(&self.title),
            escape(&self.title),
            self.legend(),
        )
    }

    fn legend(&self) -> String {
        let entries = self.series.iter().enumerate().map(|(index, series)| {
            let colour = index % COLOURS;
            format!(
                "<span><i style=\"background:var(--series-{colour})\"></i>{}</span>",
                escape(&series.name)
            )
        });
        format!("<div class=\"legend\">{}</div>", entries.collect::<String>())
    }

    fn draw_axes(&self, axes: &Axes, svg: &mut String) {
        for tick in 0..=TICKS {
            let part = tick as f64 / TICKS as f64;
            let value = axes.top * part;
            let y = axes.y(value);
            let right = WIDTH - RIGHT;
            push(
                svg,
                format_args!(
                    "<line class=\"grid\" x1=\"{LEFT}\" x2=\"{right}\" y1=\"{y:.1}\" y2=\"{y:.1}\"/>\
                 <text x=\"{:.1}\" y=\"{:.1}\" text-anchor=\"end\">{}</text>",
                    LEFT - 6.0,
                    y + 4.0,
                    short(value),
                ),
            );
            let value = axes.left + (axes.right - axes.left) * part;
            push(
                svg,
                format_args!(
                    "<text x=\"{:.1}\" y=\"{:.1}\" text-anchor=\"middle\">{}</text>",
                    axes.x(value),
                    HEIGHT - BOTTOM + 16.0,
                    short(value),
                ),
            );
        }
        push(
            svg,
            format_args!(
                "<text x=\"{:.1}\" y=\"{:.1}\" text-anchor=\"end\">{}</text>\
             <text x=\"{LEFT}\" y=\"{:.1}\">{}</text>",
                WIDTH - RIGHT,
                HEIGHT - 6.0,
                escape(&self.x_label),
                HEIGHT - 6.0,
                escape(&self.y_label),
            ),
        );
    }

    fn draw_marks(&self, axes: &Axes, svg: &mut String) {
        for (index, mark) in self.marks.iter().enumerate() {
            let x = axes.x(mark.x);
            let y = MARK_LABEL_TOP + MARK_LABEL_STEP * index as f64;
            let late = x > WIDTH * 0.6;
            let anchor = if late { "end" } else { "start" };
            let offset = if late { -4.0 } else { 4.0 };
            push(
                svg,
                format_args!(
                    "<line class=\"mark\" x1=\"{x:.1}\" x2=\"{x:.1}\" y1=\"{TOP}\" y2=\"{:.1}\"/>\
                 <text x=\"{:.1}\" y=\"{y:.1}\" text-anchor=\"{anchor}\">{}</text>",
                    HEIGHT - BOTTOM,
                    x + offset,
                    escape(&mark.label),
                ),
            );
        }
    }
}

fn draw_line(series: &Series, axes: &Axes, colour: &str, svg: &mut String) {
    let mut points = String::new();
    for (x, y) in &series.points {
        push(&mut points, format_args!("{:.1},{:.1} ", axes.x(*x), axes.y(*y)));
    }
    push(svg, format_args!("<polyline class=\"line\" stroke=\"{colour}\" points=\"{points}\"/>"));
}

fn draw_dots(series: &Series, axes: &Axes, colour: &str, svg: &mut String) {
    for (x, y) in &series.points {
        push(
            svg,
            format_args!(
                "<circle r=\"2.5\" fill=\"{colour}\" cx=\"{:.1}\" cy=\"{:.1}\"/>",
                axes.x(*x),
                axes.y(*y)
            ),
        );
    }
}

/// Writing to a string cannot fail.
fn push(text: &mut String, arguments: std::fmt::Arguments) {
    let _ = text.write_fmt(arguments);
}

fn short(value: f64) -> String {
    match value.abs() {
        large if large >= 100.0 => format!("{value:.0}"),
        medium if medium >= 10.0 => format!("{value:.1}"),
        _ => format!("{value:.2}"),
    }
}
