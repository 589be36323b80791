//! Authentication of everything that travels between nodes, under keys that a cluster shares.
//!
//! Two keys may be in use while one is replaced by the other: the first signs, both are accepted.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use thiserror::Error;

/// Bytes of an authentication tag: the first half of an HMAC-SHA-256.
pub const TAG_BYTES: usize = 16;
/// Fewest bytes of a cluster key.
pub const MIN_KEY_BYTES: usize = 16;
/// Most keys in use at a time.
pub const MAX_KEYS: usize = 2;

/// An authentication tag.
pub type Tag = [u8; TAG_BYTES];

/// Why keys cannot be used.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum KeyError {
    /// There is none, or there are more than [`MAX_KEYS`].
    #[error("{0} cluster keys; one or {MAX_KEYS} are needed")]
    Count(usize),
    /// A key is shorter than [`MIN_KEY_BYTES`].
    #[error("a cluster key of {0} bytes is shorter than {MIN_KEY_BYTES}")]
    Short(usize),
}

/// One key, prepared for use.
#[derive(Clone)]
pub struct Key {
    state: Hmac<Sha256>,
}

impl std::fmt::Debug for Key {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("Key(hidden)")
    }
}

impl Key {
    /// Prepares key material of any length.
    pub fn new(material: &[u8]) -> Self {
        let state =
            Hmac::<Sha256>::new_from_slice(material).expect("HMAC takes keys of any length");
        Self { state }
    }

    fn mac(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac = self.state.clone();
        parts.iter().for_each(|part| mac.update(part));
        mac
    }

    /// The tag of the concatenated parts.
    pub fn sign(&self, parts: &[&[u8]]) -> Tag {
        let whole = self.mac(parts).finalize().into_bytes();
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&whole[..TAG_BYTES]);
        tag
    }

    /// Whether `tag` belongs to the parts, in a time that does not depend on where it differs.
    pub fn verify(&self, parts: &[&[u8]], tag: &[u8]) -> bool {
        tag.len() == TAG_BYTES && self.mac(parts).verify_truncated_left(tag).is_ok()
    }

    /// A key for one purpose, derived from this one.
    pub fn derive(&self, parts: &[&[u8]]) -> Key {
        Key::new(&self.mac(parts).finalize().into_bytes())
    }
}

/// The keys of a cluster, the signing one first.
#[derive(Clone, Debug)]
pub struct ClusterKeys {
    keys: Vec<Key>,
}

impl ClusterKeys {
    /// Prepares one or two keys.
    pub fn new<'a>(materials: impl IntoIterator<Item = &'a [u8]>) -> Result<Self, KeyError> {
        let mut keys = Vec::new();
        for material in materials {
            if material.len() < MIN_KEY_BYTES {
                return Err(KeyError::Short(material.len()));
            }
            keys.push(Key::new(material));
        }
        if keys.is_empty() || keys.len() > MAX_KEYS {
            return Err(KeyError::Count(keys.len()));
        }
        Ok(Self { keys })
    }

    /// The key that signs.
    pub fn signing(&self) -> &Key {
        &self.keys[0]
    }

    /// Every key that is accepted.
    pub fn accepted(&self) -> &[Key] {
        &self.keys
    }
}
