//! SCRAM-SHA-256 against a client library's side of it.

use kestrellock_core::scram::{
    DEFAULT_ITERATIONS, NONCE_BYTES, SALT_BYTES, ScramError, ServerExchange, Verifier,
};
use postgres_protocol::authentication::sasl::{ChannelBinding, ScramSha256};
use postgres_protocol::password;
use proptest::prelude::*;

fn verifier(password: &str) -> Verifier {
    Verifier::from_password(password, [7; SALT_BYTES], 16)
}

/// Logs in as a client library does; the server's proof is checked too.
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
fn a_password_satisfies_its_verifier_and_no_other() {
    for password in ["secret", "", "pässwörd", "a\u{00A0}b"] {
        assert_eq!(log_in(password, verifier(password)), Ok(()), "{password:?}");
        assert_eq!(log_in("other", verifier(password)), Err(ScramError::WrongProof));
    }
}

#[test]
fn verifiers_made_by_a_client_library_are_understood() {
    let text = password::scram_sha_256(b"secret");
    let verifier: Verifier = text.parse().expect("verifier");
    assert_eq!(verifier.to_string(), text);
    assert_eq!(log_in("secret", verifier), Ok(()));
}

#[test]
fn a_mock_looks_real_and_admits_nobody() {
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
fn messages_that_break_the_mechanism_are_refused() {
    for first in ["", "n", "n,,", "n,,n=", "n,,n=a,r=", "p=tls-unique,,n=,r=x", "n,a=b,n=,r=x"] {
        let begun = ServerExchange::begin(first, verifier("a"), [0; NONCE_BYTES]);
        assert_eq!(begun.err(), Some(ScramError::Malformed), "{first}");
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
