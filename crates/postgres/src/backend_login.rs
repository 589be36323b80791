//! Login of a gateway to an instance: without a password, or with a cleartext password.
//!
//! Salted challenges such as SCRAM are not supported: they require a key derivation, which must not
//! run on a shard's event loop. The gateway cannot use an instance that requires one.

use bytes::BytesMut;
use kestrellock_protocol::backend::BackendTarget;
use pgwire::messages::Message;
use pgwire::messages::startup::{Password, PasswordMessageFamily};

/// `Authentication` codes of the PostgreSQL protocol.
const AUTHENTICATION_OK: u32 = 0;
const AUTHENTICATION_CLEARTEXT: u32 = 3;

/// The answer to the body of an `Authentication` message: empty if the login has succeeded, `None`
/// if the instance requests an unsupported method, or a password where none is configured.
pub fn answer(request: &[u8], target: &BackendTarget) -> Option<BytesMut> {
    let code = u32::from_be_bytes(*request.first_chunk::<4>()?);
    match code {
        AUTHENTICATION_OK => Some(BytesMut::new()),
        AUTHENTICATION_CLEARTEXT => password_message(target),
        _ => None,
    }
}

fn password_message(target: &BackendTarget) -> Option<BytesMut> {
    let password = target.password?.reveal().to_owned();
    let mut reply = BytesMut::new();
    PasswordMessageFamily::Password(Password::new(password)).encode(&mut reply).ok()?;
    Some(reply)
}
