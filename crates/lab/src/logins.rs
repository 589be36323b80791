//! Passwords of the lab's tenants, and the verifiers that go into the configuration.

use kestrellock_core::scram::Verifier;

/// Few, because the lab logs in often and guards nothing.
const ITERATIONS: u32 = 64;

/// Password of a tenant's login.
pub fn password_of(login: &str) -> String {
    format!("{login}-password")
}

/// Verifier of a tenant's login, with a salt of its own.
pub fn verifier_of(login: &str) -> String {
    Verifier::from_password(&password_of(login), rand::random(), ITERATIONS).to_string()
}
