//! Credentials that clients present, kept as digests. The credential itself is dropped where it
//! arrives, so that no log line, metric, error message or page can disclose it.

use std::fmt;
use std::hash::{Hash, Hasher};
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;
use thiserror::Error;

/// Bytes of a digest.
const DIGEST_BYTES: usize = 32;
/// Bytes of a digest that a log line may show: enough to distinguish a few thousand digests.
const SHOWN_BYTES: usize = 4;

/// SHA-256 digest of a credential, written as 64 hexadecimal digits.
#[derive(Clone, Copy, PartialOrd, Ord)]
pub struct CredentialDigest([u8; DIGEST_BYTES]);

/// A text is not a digest.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("a credential digest must have 64 hexadecimal digits")]
pub struct InvalidDigest;

impl CredentialDigest {
    /// The digest of a credential that a client presented.
    pub fn of(credential: &str) -> Self {
        Self(Sha256::digest(credential.as_bytes()).into())
    }
}

// Constant-time comparison: its duration does not disclose how much of a guess is right.
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

/// The credential that a client has presented, kept for the duration of its session.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Credential {
    /// No credential: the client can use only what is open to all clients.
    #[default]
    Anonymous,
    /// An authenticated login, and the verifier against which its proof was checked.
    Login {
        /// The login.
        name: String,
        /// Digest of the verifier.
        verifier: CredentialDigest,
    },
    /// A key.
    Key(CredentialDigest),
}
