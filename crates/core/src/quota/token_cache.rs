//! A front's cached tokens for one account, and its pending request for more: decides whether an
//! operation runs, waits for tokens or is refused, and how many tokens to request.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::{ANSWER_TIMEOUT, MAX_REFILL_WAIT, REFUSAL_CACHE_PERIOD, TOKEN_LIFETIME};
use crate::ids::NodeName;

/// The result of taking a token for an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Take {
    /// The operation has a token.
    Taken,
    /// The account is over its limit: the operation may be retried after this time.
    Refused(Duration),
    /// The operation waits for tokens that are being requested.
    Pending,
}

/// The round in which a waiting operation was counted, so that each request counts it once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ticket(Option<u32>);

/// Tokens from one answer.
#[derive(Clone, Copy, Debug)]
struct Tokens {
    count: u32,
    until: Instant,
}

/// A request that has not been answered.
#[derive(Clone, Debug)]
pub(super) struct TokenRequest {
    pub number: u32,
    pub allocator: NodeName,
    sent_at: Instant,
    wanted: u32,
}

/// A front's tokens for one account.
#[derive(Clone, Debug)]
pub(super) struct TokenCache {
    tokens: VecDeque<Tokens>,
    pending: Option<TokenRequest>,
    /// Increases with each answer and each request that timed out.
    round: u32,
    /// Waiting operations that the pending request does not cover.
    unrequested: u32,
    /// After the allocator had no tokens left: until when the front sends no request, and when the
    /// operations refused meanwhile may be retried.
    refused: Option<(Instant, Instant)>,
    /// When to send the next request, if the allocator expects more tokens shortly.
    ask_after: Option<Instant>,
    /// The node that allocates according to the last referral, and until when the referral is
    /// valid.
    referral: Option<(NodeName, Instant)>,
    /// Time of the last use.
    pub last_used: Instant,
    /// Tokens that expired or were returned. They go back to the allocator with the next request.
    unused: u32,
    /// Operations in the current interval of [`TOKEN_LIFETIME`] and in the previous one.
    interval_start: Instant,
    recent_counts: [u32; 2],
}

impl TokenCache {
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: VecDeque::new(),
            pending: None,
            round: 0,
            unrequested: 0,
            refused: None,
            ask_after: None,
            referral: None,
            last_used: now,
            unused: 0,
            interval_start: now,
            recent_counts: [0; 2],
        }
    }

    /// Takes a token, or counts the operation among those that wait for one.
    pub fn take(&mut self, ticket: &mut Ticket, now: Instant) -> Take {
        self.last_used = now;
        if self.take_token(now) {
            self.count_operation(now);
            return Take::Taken;
        }
        if let Some((_, retry_at)) = self.refused.filter(|(until, _)| now < *until) {
            return Take::Refused(retry_at - now);
        }
        if ticket.0 != Some(self.round) {
            ticket.0 = Some(self.round);
            self.unrequested += 1;
        }
        Take::Pending
    }

    fn take_token(&mut self, now: Instant) -> bool {
        while let Some(first) = self.tokens.front_mut() {
            if first.count > 0 && now < first.until {
                first.count -= 1;
                return true;
            }
            self.unused += first.count;
            self.tokens.pop_front();
        }
        false
    }

    fn count_operation(&mut self, now: Instant) {
        while now >= self.interval_start + TOKEN_LIFETIME {
            self.recent_counts = [0, self.recent_counts[0]];
            self.interval_start += TOKEN_LIFETIME;
            if now >= self.interval_start + 2 * TOKEN_LIFETIME {
                self.interval_start = now;
            }
        }
        self.recent_counts[0] += 1;
    }

    /// Estimates how many further operations will need tokens within half a token lifetime, from
    /// the previous interval. Tokens requested in excess would expire here and be missing on other
    /// nodes.
    fn expected(&self) -> u32 {
        self.recent_counts[1] / 2
    }

    /// Returns the token of an operation that did not run.
    pub fn give_back(&mut self) {
        self.unused += 1;
    }

    /// Takes the tokens to return to the allocator, since the last call.
    pub fn take_unused(&mut self) -> u32 {
        std::mem::take(&mut self.unused)
    }

    /// Drops the pending request if it was not answered within [`ANSWER_TIMEOUT`]. Returns the node
    /// that did not answer.
    pub fn take_timed_out(&mut self, now: Instant) -> Option<NodeName> {
        let timed_out = |pending: &mut TokenRequest| now >= pending.sent_at + ANSWER_TIMEOUT;
        let timed_out = self.pending.take_if(timed_out)?;
        self.next_round();
        self.referral = None;
        Some(timed_out.allocator)
    }

    /// Whether a request should be sent now.
    pub fn needs_request(&self, now: Instant) -> bool {
        let is_delayed = self.ask_after.is_some_and(|at| now < at);
        self.pending.is_none() && self.unrequested > 0 && !is_delayed
    }

    /// Starts a request to `allocator` and returns the number of tokens to request.
    pub fn start_request(&mut self, number: u32, allocator: NodeName, now: Instant) -> u32 {
        let wanted = self.unrequested + self.expected();
        self.unrequested = 0;
        self.pending = Some(TokenRequest { number, allocator, sent_at: now, wanted });
        wanted
    }

    /// The node that the last valid referral names.
    pub fn referral(&self, now: Instant) -> Option<&NodeName> {
        self.referral.as_ref().filter(|(_, until)| now < *until).map(|(node, _)| node)
    }

    /// Handles the answer to request `number`. Returns whether that request was pending.
    pub fn on_grant(&mut self, number: u32, count: u32, retry: Duration, now: Instant) -> bool {
        let Some(pending) = self.pending.take_if(|pending| pending.number == number) else {
            return false;
        };
        // The lifetime starts when the request is sent, so tokens expire here before the allocator
        // counts them as expired.
        self.tokens.push_back(Tokens { count, until: pending.sent_at + TOKEN_LIFETIME });
        if count == 0 && pending.wanted > 0 {
            match retry <= MAX_REFILL_WAIT {
                true => self.ask_after = Some(now + retry),
                false => self.refused = Some((now + REFUSAL_CACHE_PERIOD, now + retry)),
            }
        }
        self.next_round();
        true
    }

    /// Handles an answer that refers to another node. Returns whether that request was pending.
    pub fn on_referral(&mut self, number: u32, node: NodeName, until: Instant) -> bool {
        let Some(_) = self.pending.take_if(|pending| pending.number == number) else {
            return false;
        };
        self.referral = Some((node, until));
        self.next_round();
        true
    }

    fn next_round(&mut self) {
        self.round = self.round.wrapping_add(1);
        self.unrequested = 0;
    }
}
