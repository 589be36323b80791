//! A client-chosen key that identifies a request, so that the request runs at most once.

use kestrellock_core::outcome::{Refusal, ResultCode};

/// Longest key, in bytes.
pub const MAX_KEY_BYTES: usize = 200;

/// A client-chosen key of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestKey(String);

impl RequestKey {
    /// Creates a key, or refuses it if it is empty, too long or contains a zero byte.
    pub fn new(text: &str) -> Result<Self, Refusal> {
        if text.is_empty() || text.len() > MAX_KEY_BYTES || text.contains('\0') {
            let detail = format!("a request key has 1 to {MAX_KEY_BYTES} bytes and no zero byte");
            return Err(Refusal::new(ResultCode::RequestKeyInvalid, detail));
        }
        Ok(Self(text.to_owned()))
    }

    /// The key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}
