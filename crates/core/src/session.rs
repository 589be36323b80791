//! The session bound that a client carries, and its text form, the session token.
//!
//! A node sends the token as the parameter status `kestrellock.session`. A client that reconnects
//! sends it back as the startup option of the same name. Only confirmed writes raise the bound.

use thiserror::Error;

use crate::ids::GroupName;
use crate::position::{LogOffset, Position, Term};

/// Name of the parameter status and of the startup option that carry the token.
pub const SESSION_PARAMETER: &str = "kestrellock.session";
/// Version prefix of each token.
const TOKEN_VERSION: &str = "1";

/// The position in one group that an instance must have reached to serve later reads of the
/// session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionBound {
    /// Group the position belongs to.
    pub group: GroupName,
    /// Position to reach.
    pub position: Position,
}

/// Why a token was refused.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum TokenError {
    /// Not four fields separated by colons, or a number that is not hexadecimal.
    #[error("session token is malformed")]
    Malformed,
    /// The version is unknown.
    #[error("session token has unknown version {0:?}")]
    Version(String),
}

impl SessionBound {
    /// Formats the token as `1:GROUP:TERM:OFFSET`, with numbers in hexadecimal.
    pub fn to_token(&self) -> String {
        let Position { term, offset } = self.position;
        format!("{TOKEN_VERSION}:{}:{:x}:{:x}", self.group, term.0, offset.0)
    }

    /// Parses a token.
    pub fn from_token(token: &str) -> Result<Self, TokenError> {
        let mut fields = token.split(':');
        let mut next = || fields.next().ok_or(TokenError::Malformed);
        let version = next()?;
        if version != TOKEN_VERSION {
            return Err(TokenError::Version(version.to_owned()));
        }
        let group = GroupName::new(next()?);
        let term = u32::from_str_radix(next()?, 16).map_err(|_| TokenError::Malformed)?;
        let offset = u64::from_str_radix(next()?, 16).map_err(|_| TokenError::Malformed)?;
        if fields.next().is_some() {
            return Err(TokenError::Malformed);
        }
        let position = Position { term: Term(term), offset: LogOffset(offset) };
        Ok(Self { group, position })
    }
}
