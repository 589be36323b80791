//! Tests SCRAM-SHA-256 against the implementation of a client library.

use kestrellock_core::scram::{
    DEFAULT_ITERATIONS, NONCE_BYTES, SALT_BYTES, ScramError, ServerExchange, Verifier,
};
use postgres_protocol::authentication::sasl::{ChannelBinding, ScramSha256};
use postgres_protocol::password;
use proptest::prelude::*;

fn verifier(password: &str) -> Verifier {
    Verifier::from_password(password, [7; SALT_BYTES], 16)
}

/// Logs in like a client library, which also checks the server's proof.
fn log_in(password: &str, verifier: Verifier) -> Result<(), ScramError> {
    let mut client = ScramSha256::new(password.as_bytes(), ChannelBinding::unsupported());
    let first = String::from_utf8(client.message().to_vec()).expect("text");
    let server = ServerExchange::begin(&first, verifier, [9; NONCE_BYTES])?;
    client.update(server.server_first.as_bytes()).expect("the client accepts the challenge");
    let last = String::from_utf8(client.message().to_vec()).expect("text");
    let proof = server.finish(&last)?;
    client.finish(proof.as_bytes()).expect("the client accepts the server's proof");
    Ok(())
}

#[test]
fn password_satisfies_only_its_own_verifier() {
    for password in ["secret", "", "pässwörd", "a\u{00A0}b"] {
        assert_eq!(log_in(password, verifier(password)), Ok(()), "{password:?}");
        assert_eq!(log_in("other", verifier(password)), Err(ScramError::WrongProof));
    }
}

#[test]
fn verifiers_of_a_client_library_are_accepted() {
    let text = password::scram_sha_256(b"secret");
    let verifier: Verifier = text.parse().expect("verifier");
    assert_eq!(verifier.to_string(), text);
    assert_eq!(log_in("secret", verifier), Ok(()));
}

#[test]
fn mock_verifier_looks_real_and_accepts_no_password() {
    let model = Verifier::from_password("secret", [1; SALT_BYTES], DEFAULT_ITERATIONS);
    let mock = Verifier::mock("nobody", &model);
    assert_eq!(mock, Verifier::mock("nobody", &model), "the same at every attempt");
    assert_ne!(mock, Verifier::mock("somebody", &model));
    assert_eq!(mock.to_string().len(), model.to_string().len());
    assert_eq!(log_in("secret", mock), Err(ScramError::WrongProof));
}

#[test]
fn malformed_verifiers_are_refused() {
    for text in [
        "",
        "secret",
        "SCRAM-SHA-256",
        "SCRAM-SHA-256$4096:c2FsdA==$c3RvcmVk:c2VydmVy",
        "SCRAM-SHA-256$x:c2FsdA==$c3RvcmVk:c2VydmVy",
        "md5d41d8cd98f00b204e9800998ecf8427e",
    ] {
        assert!(text.parse::<Verifier>().is_err(), "{text}");
    }
}

#[test]
fn malformed_messages_are_refused() {
    for first in ["", "n", "n,,", "n,,n=", "n,,n=a,r=", "p=tls-unique,,n=,r=x", "n,a=b,n=,r=x"] {
        let exchange = ServerExchange::begin(first, verifier("a"), [0; NONCE_BYTES]);
        assert_eq!(exchange.err(), Some(ScramError::Malformed), "{first}");
    }
    let server = ServerExchange::begin("n,,n=,r=x", verifier("a"), [0; NONCE_BYTES]).expect("ok");
    for last in ["", "c=biws", "c=biws,r=x,p=AAAA", "c=eSws,r=x,p=", "p="] {
        assert_eq!(server.finish(last), Err(ScramError::Malformed), "{last}");
    }
}

proptest! {
    #[test]
    fn no_message_panics(first in ".{0,60}", last in ".{0,60}") {
        let _ = ServerExchange::begin(&first, verifier("a"), [0; NONCE_BYTES]);
        let server = ServerExchange::begin("n,,n=,r=x", verifier("a"), [0; NONCE_BYTES]).expect("ok");
        prop_assert!(server.finish(&last).is_err());
    }
}
