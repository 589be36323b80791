//! Credentials that callers show, kept as digests: the credential itself is forgotten where it
//! arrives, so that no log line, metric, error or page can tell it.

use std::fmt;
use std::hash::{Hash, Hasher};
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;
use thiserror::Error;

/// Bytes of a digest.
const DIGEST_BYTES: usize = 32;
/// Bytes of it that a log line may show: enough to tell a few thousand apart.
const SHOWN_BYTES: usize = 4;

/// SHA-256 of a credential. Written as 64 hexadecimal digits.
#[derive(Clone, Copy, PartialOrd, Ord)]
pub struct CredentialDigest([u8; DIGEST_BYTES]);

/// A text that is no digest.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("a digest of a credential has 64 hexadecimal digits")]
pub struct InvalidDigest;

impl CredentialDigest {
    /// The digest of what a caller shows.
    pub fn of(credential: &str) -> Self {
        Self(Sha256::digest(credential.as_bytes()).into())
    }
}

// Compared in constant time: how long it takes tells nothing of how much of a guess is right.
impl PartialEq for CredentialDigest {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for CredentialDigest {}

impl Hash for CredentialDigest {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

impl fmt::Display for CredentialDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for CredentialDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let shown = &self.0[..SHOWN_BYTES];
        write!(formatter, "CredentialDigest(")?;
        shown.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))?;
        write!(formatter, "..)")
    }
}

impl FromStr for CredentialDigest {
    type Err = InvalidDigest;

    fn from_str(text: &str) -> Result<Self, InvalidDigest> {
        let mut bytes = [0; DIGEST_BYTES];
        if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
            return Err(InvalidDigest);
        }
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| InvalidDigest)?;
        }
        Ok(Self(bytes))
    }
}

impl Serialize for CredentialDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for CredentialDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(de::Error::custom)
    }
}

/// What a caller has shown, for as long as its session lasts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Credential {
    /// Nothing: whatever it reaches is open to everybody.
    #[default]
    Anonymous,
    /// A login whose proof was right, and the verifier that it was checked by.
    Login {
        /// The login.
        name: String,
        /// Digest of the verifier.
        verifier: CredentialDigest,
    },
    /// A key.
    Key(CredentialDigest),
}
