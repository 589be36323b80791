//! Authentication of all traffic between nodes, with keys that the nodes of a cluster share.
//!
//! Two keys may be configured during a key rotation: the first one signs, both are accepted.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use thiserror::Error;

/// Length of an authentication tag: the first half of an HMAC-SHA-256.
pub const TAG_BYTES: usize = 16;
/// Minimum length of a cluster key.
pub const MIN_KEY_BYTES: usize = 16;
/// Maximum number of keys in use at a time.
pub const MAX_KEYS: usize = 2;

/// An authentication tag.
pub type Tag = [u8; TAG_BYTES];

/// Why the configured cluster keys are invalid.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum KeyError {
    /// No key is configured, or more than [`MAX_KEYS`].
    #[error("{0} cluster keys configured; one or {MAX_KEYS} are required")]
    Count(usize),
    /// A key is shorter than [`MIN_KEY_BYTES`].
    #[error("a cluster key of {0} bytes is shorter than {MIN_KEY_BYTES}")]
    Short(usize),
}

/// A key with its precomputed HMAC state.
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
    /// Creates a key from key material of any length.
    pub fn new(material: &[u8]) -> Self {
        let state =
            Hmac::<Sha256>::new_from_slice(material).expect("HMAC accepts keys of any length");
        Self { state }
    }

    fn mac(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac = self.state.clone();
        parts.iter().for_each(|part| mac.update(part));
        mac
    }

    /// Computes the tag of the concatenated parts.
    pub fn sign(&self, parts: &[&[u8]]) -> Tag {
        let mac = self.mac(parts).finalize().into_bytes();
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&mac[..TAG_BYTES]);
        tag
    }

    /// Whether `tag` is the tag of the parts. Compares in constant time.
    pub fn verify(&self, parts: &[&[u8]], tag: &[u8]) -> bool {
        tag.len() == TAG_BYTES && self.mac(parts).verify_truncated_left(tag).is_ok()
    }

    /// Derives a key for the context that `parts` describe.
    pub fn derive(&self, parts: &[&[u8]]) -> Key {
        Key::new(&self.mac(parts).finalize().into_bytes())
    }
}

/// The keys of a cluster, the signing key first.
#[derive(Clone, Debug)]
pub struct ClusterKeys {
    keys: Vec<Key>,
}

impl ClusterKeys {
    /// Creates one or two keys from their key material.
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

    /// The key that signs outgoing traffic.
    pub fn signing(&self) -> &Key {
        &self.keys[0]
    }

    /// All keys that are accepted on incoming traffic.
    pub fn accepted(&self) -> &[Key] {
        &self.keys
    }
}
