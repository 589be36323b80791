//! Logging a gateway in to a back end: without a password, or with one in clear text.
//!
//! Salted challenges cost a key derivation, which must not run on a shard's loop; a back end that
//! insists on one is not usable.

use bytes::BytesMut;
use kestrellock_core::ids::GroupName;
use pgwire::messages::Message;
use pgwire::messages::startup::{Password, PasswordMessageFamily};

use crate::context::NodeContext;

/// `Authentication` codes of the PostgreSQL protocol.
const AUTHENTICATION_OK: u32 = 0;
const AUTHENTICATION_CLEARTEXT: u32 = 3;

/// The bytes that answer an `Authentication` message's body: none if the login has succeeded.
/// `None` if the back end asks for something unknown, or for a password that no secret holds.
pub fn answer(request: &[u8], group: &GroupName, context: &NodeContext) -> Option<BytesMut> {
    let code = u32::from_be_bytes(*request.first_chunk::<4>()?);
    match code {
        AUTHENTICATION_OK => Some(BytesMut::new()),
        AUTHENTICATION_CLEARTEXT => password_message(group, context),
        _ => None,
    }
}

fn password_message(group: &GroupName, context: &NodeContext) -> Option<BytesMut> {
    let catalog = context.catalog.load();
    let user = &catalog.groups.get(group)?.user;
    let password = context.backend_passwords.get(user)?.reveal().to_owned();
    let mut reply = BytesMut::new();
    PasswordMessageFamily::Password(Password::new(password)).encode(&mut reply).ok()?;
    Some(reply)
}
