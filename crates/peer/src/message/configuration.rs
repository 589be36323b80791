//! Messages of the configuration distribution.

use std::time::Duration;

use kestrellock_core::catalog::{CatalogSummary, CatalogVersion, Revision};
use serde::{Deserialize, Serialize};

use crate::catalog_transfer::{Chunk, TransferId};

/// A message of the configuration distribution.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigurationMessage {
    /// Reports the sender's active revision and requests the receiver's.
    Request {
        /// Active revision of the sender.
        have: Revision,
    },
    /// Reports the sender's active revision.
    #[serde(rename = "InForce")]
    Active {
        /// The revision.
        revision: Revision,
    },
    /// Requests the difference between the receiver's and the sender's configuration, if the
    /// receiver's is newer.
    Fetch {
        /// Summary of the sender's configuration.
        have: CatalogSummary,
    },
    /// The sender will answer the receiver's fetch after it has served other nodes.
    Queued,
    /// The next chunk of the configuration that the receiver fetches.
    #[serde(rename = "Part")]
    Chunk(Chunk),
    /// The sender has received all bytes before `offset` and requests the next chunk. An `offset`
    /// at the end of the transfer acknowledges it as complete.
    Next {
        /// The transfer.
        transfer: TransferId,
        /// Offset of the next chunk.
        offset: u32,
    },
    /// The sender cancels its fetch from the receiver.
    #[serde(rename = "Enough")]
    StopTransfer,
    /// Asks for the last moment at which the receiver knows its configuration to have been the
    /// newest.
    Confirm {
        /// Number of the request.
        number: u64,
    },
    /// The answer to [`ConfigurationMessage::Confirm`].
    Confirmed {
        /// Number of the request.
        number: u64,
        /// Version that was confirmed to be the newest, and the age of the confirmation when the
        /// answer was sent; `None` if the sender has no confirmation.
        newest: Option<(CatalogVersion, Duration)>,
    },
}
