//! The PostgreSQL frontend/backend protocol, version 3, for clients and instances.

pub mod answer;
mod backend;
mod backend_login;
pub mod batch;
mod client;
pub mod collector;
pub mod connection_state;
mod exchange_end;
pub mod extended;
pub mod frames;
pub mod login;
pub mod position_query;
pub mod prepared;
pub mod request_key;
pub mod startup;
pub mod statements;

use kestrellock_core::session_end::DisconnectNotice;
use kestrellock_protocol::backend::BackendProtocol;
use kestrellock_protocol::client::ClientProtocol;
use kestrellock_protocol::{Protocol, ProtocolTraits};

pub use backend::PostgresBackend;
pub use client::PostgresClient;

/// The PostgreSQL protocol.
#[derive(Clone, Copy, Debug, Default)]
pub struct Postgres;

impl Protocol for Postgres {
    fn client(&self) -> Box<dyn ClientProtocol> {
        Box::<PostgresClient>::default()
    }

    fn backend(&self) -> Box<dyn BackendProtocol> {
        Box::<PostgresBackend>::default()
    }

    fn traits(&self) -> ProtocolTraits {
        ProtocolTraits {
            positions_in_answers: false,
            sessions_resume: true,
            disconnect_notice: DisconnectNotice::IsAnswer,
            clients_retry: false,
        }
    }
}
