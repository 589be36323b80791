//! Logging: text or JSON lines on standard output, at a level chosen by flag.

use std::str::FromStr;

use log::LevelFilter;
use logforth::append::Stdout;
use logforth::layout::{JsonLayout, TextLayout};
use logforth::starter_log;

/// Shape of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

impl FromStr for LogFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            other => Err(format!("{other:?} is neither text nor json")),
        }
    }
}

/// Starts logging for the whole process. A second call changes nothing.
pub fn start(level: LevelFilter, format: LogFormat) {
    let builder = starter_log::builder().dispatch(|dispatch| match format {
        LogFormat::Text => dispatch.append(Stdout::default().with_layout(TextLayout::default())),
        LogFormat::Json => dispatch.append(Stdout::default().with_layout(JsonLayout::default())),
    });
    if builder.try_apply().is_ok() {
        log::set_max_level(level);
    }
}
