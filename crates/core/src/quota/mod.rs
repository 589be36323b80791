//! Quotas: how many operations an account may ask of all nodes together.
//!
//! One node grants for each account ([`granters`]): it keeps the account's token bucket. A front asks it
//! for tokens and uses each for one operation, within [`GRANT_LIFE`] of its question; what it has not used
//! by then lapses. So whatever nodes do with their tokens, no more operations run in any span of time than
//! were granted in it and in the [`GRANT_LIFE`] before. A bucket grants `per_second` for each second, and
//! `burst` and [`EXTRA_TOKENS`] at once, so a window of 5 s holds at most 5.3 times the rate, the burst and 10
//! more. The deployments tolerate a tenth more than rate and burst, and 20: what is left of that pays for
//! what follows.
//!
//! Tokens that lapsed, and those of operations that have not run after all, go back with the next question.
//!
//! **Who grants** follows from the list of live nodes, which nodes see at different times. A node that has
//! just become the granter asks those that may have granted before it what they have left; whoever is
//! asked hands over and refers everybody to the new one from then on. Where nobody answers, the bucket
//! begins with [`FIRST_TOKENS`] rather than with a burst, so that no restart grants one twice, and fills at
//! [`CAUTIOUS_PART`] of the rate for a window, since the one before may still grant to some.
//!
//! **A granter that cannot be reached** is passed over by the front that notices; the next node grants
//! only if it cannot reach the granter either, and refers to it otherwise. A node that sees less than half of the nodes that lived a short time ago grants the part that it sees: both sides
//! of a cut together grant little more than the rate.
//!
//! Weighed: rates divided among all nodes (a small account's rate over 83 nodes is a fraction of one
//! operation), and running freely while far below the limit (an account at 7.5 times its usual rate uses a
//! window's worth within 1.4 s, longer than nodes take to tell each other, and a cut node is told nothing).

mod allocation;
mod allocators;
mod bucket;
mod limits;
mod node;
mod reachability;
mod token_cache;

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{AccountName, NodeName};

pub use allocators::allocators;
pub use bucket::{Bucket, Grant};
pub use node::{Quotas, View};
pub use token_cache::{Take, Ticket};

/// How long tokens last, counted from the question for them. Shorter costs more questions, longer lets more
/// operations into one window.
pub const TOKEN_LIFETIME: Duration = Duration::from_millis(300);
/// Tokens that a bucket holds beyond the burst: a small account's callers come unevenly, and a burst of one or
/// two operations would refuse some although it asks less than it may.
pub const EXTRA_TOKENS: f64 = 10.0;
/// Part of the rate at which a bucket fills that begins without knowing what was granted before; more than
/// the five eighths that accounts usually ask.
pub const CAUTIOUS_RATE_FRACTION: f64 = 0.8;
/// How long a bucket is cautious, and an account hungry after it got less than it asked for: a window.
pub const CAUTIOUS_PERIOD: Duration = Duration::from_secs(5);
/// Tokens of a bucket that begins without knowing what was granted before, besides a part of the burst: for
/// a small account's few callers that all come back at once. With 10 two of 1,000 simulated runs were a
/// hundredth over the limit.
pub const INITIAL_TOKENS: f64 = 6.0;
/// The part of the burst, where the one before may still grant to some.
pub const INITIAL_BURST_FRACTION: f64 = 0.1;
/// The same where nobody else grants.
pub const SOLE_INITIAL_TOKENS: f64 = 10.0;
/// The part of the burst where nobody else grants: after all nodes were killed their callers come back at once.
pub const SOLE_INITIAL_BURST_FRACTION: f64 = 0.3;
/// Longest time until the next token for which operations wait instead of being refused: an account that
/// asks less than it may has such moments, one that asks more has not, since its backlog counts.
pub const MAX_REFILL_WAIT: Duration = Duration::from_millis(100);
/// How long a front does not ask after it was granted nothing: operations that come meanwhile are refused
/// without a message.
pub const REFUSAL_CACHE_PERIOD: Duration = Duration::from_millis(50);
/// How long a limit that was lowered holds on: operations are counted in windows of this length, and one that
/// began before the change may hold what the old limit allowed.
pub const LOWERED_LIMIT_DELAY: Duration = Duration::from_secs(5);
/// Time in which another node must answer.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// How long a node that did not answer is passed over.
pub const BYPASS_PERIOD: Duration = Duration::from_secs(1);

/// What nodes tell each other of quotas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum QuotaMessage {
    /// The sender wants tokens.
    Ask {
        /// Number of the question.
        number: u32,
        /// The account.
        account: AccountName,
        /// How many; none: only whether the receiver answers.
        count: u32,
        /// Tokens that were granted before and that no operation has used.
        #[serde(default, skip_serializing_if = "is_zero")]
        unused: u32,
    },
    /// The answer.
    Grant {
        /// Number of the question.
        number: u32,
        /// The account.
        account: AccountName,
        /// Tokens granted.
        count: u32,
        /// When more will be there, if fewer were granted than were asked for.
        retry_ms: u32,
        /// The node that grants instead.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        elsewhere: Option<NodeName>,
    },
    /// The sender grants for the account from now on and wants to know what is left.
    TakeOver {
        /// The account.
        account: AccountName,
    },
    /// The answer.
    Left {
        /// The account.
        account: AccountName,
        /// Tokens that are left; `None` if the sender did not grant.
        tokens: Option<f64>,
        /// The node that grants as far as the sender knows: another one than the receiver.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        elsewhere: Option<NodeName>,
    },
}

fn is_zero(count: &u32) -> bool {
    *count == 0
}

/// A message and whom it goes to.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// Receiver.
    pub to: NodeName,
    /// The message.
    pub message: QuotaMessage,
}
