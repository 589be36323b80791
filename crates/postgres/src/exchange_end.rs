//! Determines from an instance's answer how an exchange ended.

use bytes::Bytes;
use kestrellock_core::session_state::ExchangeEnd;
use kestrellock_peer::message::TransactionState;

use crate::frames::{self, HEADER_BYTES};

const ERROR: u8 = b'E';
const COMMAND_COMPLETE: u8 = b'C';
const ROLLBACK_TAG: &[u8] = b"ROLLBACK\0";

/// How an exchange ended, read from `messages`, the last part of its answer.
pub fn exchange_end(messages: &Bytes, transaction: TransactionState) -> ExchangeEnd {
    let in_transaction = transaction != TransactionState::Idle;
    let mut end = ExchangeEnd { failed: false, in_transaction, rolled_back: false };
    let mut rest: &[u8] = messages;
    while let Ok(Some((tag, length))) = frames::peek(rest) {
        let Some((message, after)) = rest.split_at_checked(length) else { break };
        end.failed |= tag == ERROR;
        end.rolled_back |= tag == COMMAND_COMPLETE && message[HEADER_BYTES..] == *ROLLBACK_TAG;
        rest = after;
    }
    end
}
