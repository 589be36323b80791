//! Passwords of the lab's tenants, and the SCRAM verifiers for the configuration.

use kestrellock_core::scram::Verifier;

/// SCRAM iterations. The count is low because the lab logs in often and protects no real data.
const ITERATIONS: u32 = 64;

/// Password of a tenant's login.
pub fn password_of(login: &str) -> String {
    format!("{login}-password")
}

/// Verifier of a tenant's login, with a random salt.
pub fn verifier_of(login: &str) -> String {
    Verifier::from_password(&password_of(login), rand::random(), ITERATIONS).to_string()
}
