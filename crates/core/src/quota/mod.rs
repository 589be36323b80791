//! Quotas limit how many operations an account may run on all nodes together.
//!
//! For each account one node is the allocator ([`allocators`]): it holds the account's token
//! bucket. A front requests tokens from the allocator and spends one token per operation, within
//! [`TOKEN_LIFETIME`] of sending the request. Unspent tokens expire after that. Therefore, whatever
//! the nodes do with their tokens, the operations run in any period are bounded by the tokens
//! granted in that period and in the [`TOKEN_LIFETIME`] before it. A bucket grants `per_second`
//! tokens per second, and up to `burst` plus [`EXTRA_TOKENS`] at once, so a window of 5 s holds at
//! most 5.3 times the rate, plus the burst, plus 10. The deployments tolerate 10% more than rate
//! and burst, plus 20 operations. The rest of that tolerance covers the cases below.
//!
//! The front returns expired tokens, and tokens of operations that did not run after all, with its
//! next request.
//!
//! **Choosing the allocator.** The allocator follows from the list of live nodes, which nodes
//! update at different times. A node that has just become the allocator asks the nodes that may
//! have allocated before it for their remaining tokens. A node that is asked hands the account over
//! and from then on refers fronts to the new allocator. If no node answers, the bucket starts with
//! [`INITIAL_TOKENS`] and a fraction of the burst instead of a full burst, so that a restart does
//! not grant the burst twice. For one window it refills at [`CAUTIOUS_RATE_FRACTION`] of the rate,
//! because the previous allocator may still grant to some fronts.
//!
//! **Unreachable allocators.** A front that cannot reach the allocator sends its request to the
//! next candidate. That node grants only if it cannot reach the allocator either, and otherwise
//! refers the front to it. A node that reaches less than half of the recently live nodes grants
//! only the fraction of the rate that corresponds to the nodes it reaches. Both sides of a network
//! partition together then grant little more than the rate.
//!
//! **Rejected alternatives.** Dividing the rate among all nodes: a small account's rate over 83
//! nodes is a fraction of one operation. Granting freely while an account is far below its limit:
//! an account at 7.5 times its usual rate uses up a window's tokens within 1.4 s, which is longer
//! than nodes take to inform each other, and a partitioned node is not informed at all.

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

/// Lifetime of tokens, counted from when the request for them was sent. A shorter lifetime costs
/// more requests; a longer one lets more operations into one window.
pub const TOKEN_LIFETIME: Duration = Duration::from_millis(300);
/// Tokens that a bucket holds beyond the burst. The requests of a small account arrive unevenly,
/// and a burst of one or two operations would refuse some of them although the account stays below
/// its rate.
pub const EXTRA_TOKENS: f64 = 10.0;
/// Fraction of the rate at which a bucket refills whose earlier grants are unknown. Above the five
/// eighths of their rate that accounts usually use.
pub const CAUTIOUS_RATE_FRACTION: f64 = 0.8;
/// How long a bucket refills at the reduced rate, and how long an account counts as over its limit
/// after it got fewer tokens than requested. Equals one counting window.
pub const CAUTIOUS_PERIOD: Duration = Duration::from_secs(5);
/// Tokens, besides a fraction of the burst, in a new bucket whose earlier grants are unknown. They
/// serve the few clients of a small account that all reconnect at once. With 10 tokens, two of
/// 1,000 simulated runs exceeded the limit by 1%.
pub const INITIAL_TOKENS: f64 = 6.0;
/// Fraction of the burst in a new bucket while the previous allocator may still grant to some
/// fronts.
pub const INITIAL_BURST_FRACTION: f64 = 0.1;
/// Tokens in a new bucket when no other node grants, besides [`SOLE_INITIAL_BURST_FRACTION`].
pub const SOLE_INITIAL_TOKENS: f64 = 10.0;
/// Fraction of the burst in a new bucket when no other node grants: after all nodes were killed,
/// their clients reconnect at once.
pub const SOLE_INITIAL_BURST_FRACTION: f64 = 0.3;
/// If the next token is available within this time, operations wait for it instead of being
/// refused. An account below its limit runs short only for such moments. For an account over its
/// limit the wait is longer, because it includes the backlog of refused requests.
pub const MAX_REFILL_WAIT: Duration = Duration::from_millis(100);
/// After a request that was granted nothing, the front sends no further request for this long and
/// refuses operations locally.
pub const REFUSAL_CACHE_PERIOD: Duration = Duration::from_millis(50);
/// Delay before a lowered limit takes effect. Operations are counted in windows of this length, and
/// a window that began before the change may contain what the old limit allowed.
pub const LOWERED_LIMIT_DELAY: Duration = Duration::from_secs(5);
/// How long to wait for another node's answer.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// How long a node that did not answer is bypassed.
pub const BYPASS_PERIOD: Duration = Duration::from_secs(1);

/// Messages between nodes about quotas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum QuotaMessage {
    /// Requests tokens for an account.
    Ask {
        /// Request number.
        number: u32,
        /// The account.
        account: AccountName,
        /// Number of tokens requested; zero only probes whether the receiver answers.
        count: u32,
        /// Tokens that were granted earlier and not spent.
        #[serde(default, skip_serializing_if = "is_zero")]
        unused: u32,
    },
    /// Answers [`QuotaMessage::Ask`].
    Grant {
        /// Number of the request.
        number: u32,
        /// The account.
        account: AccountName,
        /// Number of tokens granted.
        count: u32,
        /// When further tokens will be available, in milliseconds, if fewer were granted than
        /// requested.
        retry_ms: u32,
        /// The node that allocates the account instead of the sender.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        #[serde(rename = "elsewhere")]
        referral: Option<NodeName>,
    },
    /// Requests a handover: the sender allocates the account from now on and needs the remaining
    /// tokens.
    TakeOver {
        /// The account.
        account: AccountName,
    },
    /// Answers [`QuotaMessage::TakeOver`].
    Left {
        /// The account.
        account: AccountName,
        /// Remaining tokens; `None` if the sender did not allocate the account.
        tokens: Option<f64>,
        /// The node that allocates the account according to the sender, if that is not the
        /// receiver.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        #[serde(rename = "elsewhere")]
        referral: Option<NodeName>,
    },
}

fn is_zero(count: &u32) -> bool {
    *count == 0
}

/// A message and its receiver.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// The receiving node.
    pub to: NodeName,
    /// The message.
    pub message: QuotaMessage,
}
