//! What was sent, answered and run, in the order in which this program saw it.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// The record of one run; clones write to the same file.
#[derive(Clone)]
pub struct Record {
    file: Option<Arc<Mutex<File>>>,
    began: Instant,
}

impl Record {
    /// Begins a record.
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = Some(Arc::new(Mutex::new(File::create(path)?)));
        Ok(Self { file, began: Instant::now() })
    }

    /// A record that keeps nothing, for clients whose like is recorded already.
    pub fn silent() -> Self {
        Self { file: None, began: Instant::now() }
    }

    /// Adds a line.
    pub fn note(&self, text: &str) {
        let time = self.began.elapsed().as_secs_f64();
        let Some(file) = &self.file else { return };
        let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
        // Long shapes are shown by their ends.
        let _ = writeln!(file, "{time:8.3} s  {text}");
    }
}

/// A long text by its start and length, for the record.
pub fn brief(text: &str) -> String {
    const SHOWN: usize = 100;
    match text.char_indices().nth(SHOWN) {
        Some((end, _)) => format!("{}.. ({} bytes)", &text[..end], text.len()),
        None => text.to_owned(),
    }
}
