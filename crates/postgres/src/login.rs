//! Evaluates a client's start-up parameters: the verifier that its password is checked against, and
//! the login or refusal that follows a successful proof.

use std::collections::BTreeMap;
use std::str::FromStr;

use kestrellock_core::cancel::CancelKey;
use kestrellock_core::catalog::{Catalog, IndexedCatalog, TenantParameters};
use kestrellock_core::credential::{Credential, CredentialDigest};
use kestrellock_core::ids::GroupName;
use kestrellock_core::outcome::{Refusal, ResultCode};
use kestrellock_core::position::Position;
use kestrellock_core::scram::{SALT_BYTES, Verifier};
use kestrellock_core::session::{SESSION_PARAMETER, SessionBound};
use kestrellock_core::session_state::SessionState;

use kestrellock_protocol::login::Login;
use kestrellock_protocol::request_key::RequestKey;

use crate::request_key::REQUEST_KEY_PARAMETER;

/// A login whose password has not been verified yet.
#[derive(Debug)]
pub struct PendingLogin {
    /// The verifier that the client's proof is checked against.
    pub verifier: Verifier,
    /// The result once the password is verified. The client learns it only then, so that an
    /// unauthenticated client learns nothing about tenants and databases.
    pub outcome: Result<Login, Refusal>,
}

type Parameters = BTreeMap<String, String>;

/// Session settings that a client may set at start-up. Every server connection that runs its
/// exchanges must have them.
const SESSION_SETTINGS: &[&str] = &[
    "datestyle",
    "extra_float_digits",
    "idle_in_transaction_session_timeout",
    "intervalstyle",
    "lock_timeout",
    "search_path",
    "statement_timeout",
    "timezone",
];
/// Parameters that only the proxy uses, or that only describe the client.
const PROXY_PARAMETERS: &[&str] =
    &["user", "database", "application_name", "fallback_application_name"];
/// Prefixes of the proxy's own parameters and of protocol options.
const PROXY_PARAMETER_PREFIXES: &[&str] = &["kestrellock.", "_pq_."];

impl PendingLogin {
    /// Evaluates the parameters of a start-up message. An unknown login gets a mock verifier, so
    /// that it goes through the same exchange as a known one.
    pub fn new(parameters: &Parameters, catalog: &IndexedCatalog) -> Result<Self, Refusal> {
        if catalog.tenants.is_empty() {
            let detail = "no configuration has arrived yet";
            return Err(Refusal::new(ResultCode::NoConfiguration, detail));
        }
        let user = parameters.get("user").map_or("", String::as_str);
        let known = catalog
            .login(user)
            .and_then(|(tenant, text)| Some((tenant, text, Verifier::from_str(text).ok()?)));
        let Some((tenant, text, verifier)) = known else {
            let refusal = Refusal::new(ResultCode::LoginRefused, "login or password is wrong");
            let verifier = Verifier::mock(user, &mock_template(catalog));
            return Ok(Self { verifier, outcome: Err(refusal) });
        };
        let database = parameters.get("database").map_or(user, String::as_str);
        let outcome = match catalog.parameters(tenant) {
            Some(tenant) => {
                let verifier = CredentialDigest::of(text);
                let credential = Credential::Login { name: user.to_owned(), verifier };
                create_login(tenant, credential, database, parameters, catalog)
            }
            None => Err(Refusal::new(ResultCode::NoConfiguration, "tenant without template")),
        };
        Ok(Self { verifier, outcome })
    }
}

/// The verifier whose parameters the mock exchanges of unknown logins imitate: the first configured
/// one, so that all nodes use the same.
fn mock_template(catalog: &Catalog) -> Verifier {
    let mut verifiers = catalog.tenants.values().flat_map(|tenant| tenant.logins.values());
    // Without any login there is none to conceal, so the cheapest verifier suffices.
    let cheapest = || Verifier::from_password("", [0; SALT_BYTES], 1);
    verifiers.find_map(|text| text.parse().ok()).unwrap_or_else(cheapest)
}

fn create_login(
    tenant: TenantParameters,
    credential: Credential,
    database: &str,
    parameters: &Parameters,
    catalog: &Catalog,
) -> Result<Login, Refusal> {
    let group = catalog
        .group_for(&tenant, database)
        .ok_or_else(|| {
            Refusal::new(ResultCode::DatabaseNotAllowed, "no such database for this tenant")
        })?
        .clone();
    let bound = session_bound(parameters, &group)?;
    let state = SessionState::with_settings(startup_settings(parameters)?);
    let key = parameters.get(REQUEST_KEY_PARAMETER).map(|key| RequestKey::new(key));
    let request_key = key.transpose()?;
    let cancel_key = CancelKey { process: 0, secret: 0 };
    let database = database.to_owned();
    Ok(Login {
        parameters: tenant,
        credential,
        database,
        group,
        bound,
        request_key,
        state,
        cancel_key,
    })
}

fn session_bound(parameters: &Parameters, group: &GroupName) -> Result<Option<Position>, Refusal> {
    let Some(token) = parameters.get(SESSION_PARAMETER) else { return Ok(None) };
    let refused = |detail: String| Refusal::new(ResultCode::SessionTokenRefused, detail);
    let bound = SessionBound::from_token(token).map_err(|error| refused(error.to_string()))?;
    if bound.group != *group {
        return Err(refused("session token belongs to another group".into()));
    }
    Ok(Some(bound.position))
}

/// Settings among the start-up parameters, with the SQL statements that set them.
fn startup_settings(parameters: &Parameters) -> Result<Vec<(String, String)>, Refusal> {
    let mut settings = Vec::new();
    for (name, value) in parameters {
        let lower = name.to_lowercase();
        let name = lower.as_str();
        let consumed = PROXY_PARAMETERS.contains(&name)
            || PROXY_PARAMETER_PREFIXES.iter().any(|prefix| name.starts_with(prefix))
            || (name == "client_encoding" && is_utf8(value))
            || (name == "options" && value.trim().is_empty())
            || (name == "replication" && matches!(value.as_str(), "false" | "off" | "0"));
        if consumed {
            continue;
        }
        if !SESSION_SETTINGS.contains(&name) {
            let detail = format!("start-up parameter {name} is not supported");
            return Err(Refusal::new(ResultCode::NotSupported, detail));
        }
        let statement = format!("SET {name} = '{}'", value.replace('\'', "''"));
        settings.push((lower, statement));
    }
    Ok(settings)
}

fn is_utf8(encoding: &str) -> bool {
    let plain = encoding.trim_matches(['\'', '"']).to_lowercase();
    matches!(plain.as_str(), "utf8" | "utf-8" | "unicode")
}
