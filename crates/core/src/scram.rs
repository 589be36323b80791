//! Server side of SCRAM-SHA-256 (RFC 5802, RFC 7677), and the verifiers it uses.
//!
//! A verifier allows checking a password without storing it. Checking a login takes a few hashes.
//! Creating a verifier takes thousands and is never done on a thread that serves clients.

use std::fmt;
use std::str::FromStr;

use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use hmac::{Hmac, KeyInit, Mac};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;
use thiserror::Error;

/// Name of the mechanism in PostgreSQL's authentication request, and prefix of verifiers.
pub const MECHANISM: &str = "SCRAM-SHA-256";
/// Iterations of verifiers created here: PostgreSQL's default.
pub const DEFAULT_ITERATIONS: u32 = 4096;
/// Random bytes in a salt.
pub const SALT_BYTES: usize = 16;
/// Random bytes in a server nonce.
pub const NONCE_BYTES: usize = 18;

const KEY_BYTES: usize = 32;
const CLIENT_KEY_LABEL: &[u8] = b"Client Key";
const SERVER_KEY_LABEL: &[u8] = b"Server Key";

type Key = [u8; KEY_BYTES];

/// What the server stores of a password.
#[derive(Clone, PartialEq, Eq)]
pub struct Verifier {
    iterations: u32,
    salt: Vec<u8>,
    stored_key: Key,
    server_key: Key,
}

/// The text of a verifier is not of the form `SCRAM-SHA-256$iterations:salt$StoredKey:ServerKey`.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("not a SCRAM-SHA-256 verifier")]
pub struct MalformedVerifier;

impl fmt::Debug for Verifier {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Verifier(..)")
    }
}

impl fmt::Display for Verifier {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let salt = BASE64.encode(&self.salt);
        let (stored, server) = (BASE64.encode(self.stored_key), BASE64.encode(self.server_key));
        write!(formatter, "{MECHANISM}${}:{salt}${stored}:{server}", self.iterations)
    }
}

impl FromStr for Verifier {
    type Err = MalformedVerifier;

    fn from_str(text: &str) -> Result<Self, MalformedVerifier> {
        let rest = text.strip_prefix(MECHANISM).and_then(|rest| rest.strip_prefix('$'));
        let (cost, keys) = rest.and_then(|rest| rest.split_once('$')).ok_or(MalformedVerifier)?;
        let (iterations, salt) = cost.split_once(':').ok_or(MalformedVerifier)?;
        let (stored, server) = keys.split_once(':').ok_or(MalformedVerifier)?;
        let iterations: u32 = iterations.parse().map_err(|_| MalformedVerifier)?;
        if iterations == 0 {
            return Err(MalformedVerifier);
        }
        Ok(Self {
            iterations,
            salt: BASE64.decode(salt).map_err(|_| MalformedVerifier)?,
            stored_key: decode_key(stored)?,
            server_key: decode_key(server)?,
        })
    }
}

fn decode_key(text: &str) -> Result<Key, MalformedVerifier> {
    let bytes = BASE64.decode(text).map_err(|_| MalformedVerifier)?;
    bytes.try_into().map_err(|_| MalformedVerifier)
}

impl Verifier {
    /// Creates the verifier of a password. Takes `iterations` hashes, so it must not run on a
    /// thread that serves clients.
    pub fn from_password(password: &str, salt: [u8; SALT_BYTES], iterations: u32) -> Self {
        // Like PostgreSQL, use a password that cannot be normalized as it is.
        let normalized = stringprep::saslprep(password).unwrap_or(password.into());
        let mut salted: Key = [0; KEY_BYTES];
        pbkdf2::pbkdf2_hmac::<Sha256>(normalized.as_bytes(), &salt, iterations, &mut salted);
        Self {
            iterations,
            salt: salt.to_vec(),
            stored_key: Sha256::digest(hmac(&salted, CLIENT_KEY_LABEL)).into(),
            server_key: hmac(&salted, SERVER_KEY_LABEL),
        }
    }

    /// Creates a verifier that no password satisfies, for a login that does not exist. It is the
    /// same at each attempt and has the parameters of `model`, a real verifier, so that a client
    /// cannot tell whether the login exists.
    pub fn mock(login: &str, model: &Verifier) -> Self {
        let salt = hmac(&model.stored_key, login.as_bytes());
        Self {
            iterations: model.iterations,
            salt: salt[..model.salt.len().min(KEY_BYTES)].to_vec(),
            stored_key: hmac(&model.server_key, &salt),
            server_key: hmac(&salt, &model.server_key),
        }
    }
}

fn hmac(key: &[u8], message: &[u8]) -> Key {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("a key of any length is accepted");
    mac.update(message);
    mac.finalize().into_bytes().into()
}

/// Why a login failed.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ScramError {
    /// A message violates the mechanism or requests an unsupported feature.
    #[error("malformed SCRAM message")]
    Malformed,
    /// The proof is wrong.
    #[error("wrong proof")]
    WrongProof,
}

/// A login that awaits the client's proof.
#[derive(Clone, Debug)]
pub struct ServerExchange {
    verifier: Verifier,
    channel_binding: String,
    nonce: String,
    /// `client-first-message-bare,server-first-message`.
    transcript: String,
    /// The answer to the client's first message.
    pub server_first: String,
}

impl ServerExchange {
    /// Handles the client's first message; `nonce` must be fresh random bytes.
    pub fn begin(
        client_first: &str,
        verifier: Verifier,
        nonce: [u8; NONCE_BYTES],
    ) -> Result<Self, ScramError> {
        let mut fields = client_first.splitn(3, ',');
        let mut next = || fields.next().ok_or(ScramError::Malformed);
        let (binding, authorization, bare) = (next()?, next()?, next()?);
        // Channel binding needs TLS. Authorization as another identity is not supported.
        if !matches!(binding, "n" | "y") || !authorization.is_empty() {
            return Err(ScramError::Malformed);
        }
        let mut attributes = bare.split(',');
        let user = attributes.next().and_then(|field| field.strip_prefix("n="));
        let client_nonce = attributes.next().and_then(|field| field.strip_prefix("r="));
        let (Some(_), Some(client_nonce)) = (user, client_nonce) else {
            return Err(ScramError::Malformed);
        };
        if client_nonce.is_empty() {
            return Err(ScramError::Malformed);
        }
        let nonce = format!("{client_nonce}{}", BASE64.encode(nonce));
        let salt = BASE64.encode(&verifier.salt);
        let server_first = format!("r={nonce},s={salt},i={}", verifier.iterations);
        Ok(Self {
            channel_binding: BASE64.encode(format!("{binding},{authorization},")),
            transcript: format!("{bare},{server_first}"),
            nonce,
            verifier,
            server_first,
        })
    }

    /// Checks the client's proof and returns the server's final message, which proves the server's
    /// identity.
    pub fn finish(&self, client_final: &str) -> Result<String, ScramError> {
        let (without_proof, proof) =
            client_final.rsplit_once(",p=").ok_or(ScramError::Malformed)?;
        let expected = format!("c={},r={}", self.channel_binding, self.nonce);
        if without_proof != expected {
            return Err(ScramError::Malformed);
        }
        let proof = BASE64.decode(proof).map_err(|_| ScramError::Malformed)?;
        let mut client_key: Key = proof.try_into().map_err(|_| ScramError::Malformed)?;
        let message = format!("{},{without_proof}", self.transcript);
        let signature = hmac(&self.verifier.stored_key, message.as_bytes());
        for (byte, mask) in client_key.iter_mut().zip(signature) {
            *byte ^= mask;
        }
        let stored_key: Key = Sha256::digest(client_key).into();
        if bool::from(stored_key.ct_eq(&self.verifier.stored_key)) {
            let proof = hmac(&self.verifier.server_key, message.as_bytes());
            Ok(format!("v={}", BASE64.encode(proof)))
        } else {
            Err(ScramError::WrongProof)
        }
    }
}
