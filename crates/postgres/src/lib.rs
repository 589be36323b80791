//! PostgreSQL's protocol, version 3, towards callers and back ends.

pub mod answer;
mod backend;
mod backend_login;
pub mod batch;
mod caller;
pub mod collector;
mod ending;
pub mod extended;
pub mod frames;
pub mod hygiene;
pub mod login;
pub mod position_query;
pub mod prepared;
pub mod request_key;
pub mod startup;
pub mod statements;

use kestrellock_protocol::backend::BackendProtocol;
use kestrellock_protocol::caller::CallerProtocol;
use kestrellock_protocol::{Protocol, ProtocolTraits};

pub use backend::PostgresBackend;
pub use caller::PostgresCaller;

/// PostgreSQL's protocol.
#[derive(Clone, Copy, Debug, Default)]
pub struct Postgres;

impl Protocol for Postgres {
    fn caller(&self) -> Box<dyn CallerProtocol> {
        Box::<PostgresCaller>::default()
    }

    fn backend(&self) -> Box<dyn BackendProtocol> {
        Box::<PostgresBackend>::default()
    }

    fn traits(&self) -> ProtocolTraits {
        ProtocolTraits {
            positions_in_answers: false,
            sessions_resume: true,
            tells_farewell: true,
            callers_repeat: false,
        }
    }
}
