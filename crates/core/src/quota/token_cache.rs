//! The tokens that a front has for an account, and its question for more.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::{ANSWER_TIMEOUT, MAX_REFILL_WAIT, REFUSAL_CACHE_PERIOD, TOKEN_LIFETIME};
use crate::ids::NodeName;

/// What an operation hears that needs a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Take {
    /// It has one.
    Taken,
    /// The account has asked for as much as it may: come back after this time.
    Refused(Duration),
    /// Tokens have been asked for.
    Pending,
}

/// With which question an operation was counted that waits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ticket(Option<u32>);

/// Tokens that came with one answer.
#[derive(Clone, Copy, Debug)]
struct Tokens {
    count: u32,
    until: Instant,
}

/// A question that is open.
#[derive(Clone, Debug)]
pub(super) struct TokenRequest {
    pub number: u32,
    pub granter: NodeName,
    asked: Instant,
    wanted: u32,
}

/// What a front has of one account's tokens.
#[derive(Clone, Debug)]
pub(super) struct TokenCache {
    tokens: VecDeque<Tokens>,
    open: Option<TokenRequest>,
    /// Counts the answers, and the questions that were given up.
    round: u32,
    /// Operations that wait and are not part of the open question.
    uncounted: u32,
    /// Until when nobody asks after the granter had no more, and when operations that are refused meanwhile
    /// may come back.
    refused: Option<(Instant, Instant)>,
    /// When to ask again, where the granter has more in a moment.
    ask_after: Option<Instant>,
    /// Who grants instead of the node that this one knows of, and until when that is believed.
    elsewhere: Option<(NodeName, Instant)>,
    /// When it was last used.
    pub used: Instant,
    /// Tokens that lapsed or were given back: the granter gets them with the next question.
    unused: u32,
    /// Operations in the current stretch of [`GRANT_LIFE`] and in the one before.
    counted_since: Instant,
    recent: [u32; 2],
}

impl TokenCache {
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: VecDeque::new(),
            open: None,
            round: 0,
            uncounted: 0,
            refused: None,
            ask_after: None,
            elsewhere: None,
            used: now,
            unused: 0,
            counted_since: now,
            recent: [0; 2],
        }
    }

    /// Takes a token, or counts the operation among those that wait for one.
    pub fn take(&mut self, ticket: &mut Ticket, now: Instant) -> Take {
        self.used = now;
        if self.take_token(now) {
            self.count(now);
            return Take::Taken;
        }
        if let Some((_, back)) = self.refused.filter(|(until, _)| now < *until) {
            return Take::Refused(back - now);
        }
        if ticket.0 != Some(self.round) {
            ticket.0 = Some(self.round);
            self.uncounted += 1;
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

    fn count(&mut self, now: Instant) {
        while now >= self.counted_since + TOKEN_LIFETIME {
            self.recent = [0, self.recent[0]];
            self.counted_since += TOKEN_LIFETIME;
            if now >= self.counted_since + 2 * TOKEN_LIFETIME {
                self.counted_since = now;
            }
        }
        self.recent[0] += 1;
    }

    /// Operations that will need tokens within half of their life, by those of late: what is asked for
    /// in vain lapses and is missing elsewhere.
    fn expected(&self) -> u32 {
        self.recent[1] / 2
    }

    /// An operation that had a token has not run.
    pub fn give_back(&mut self) {
        self.unused += 1;
    }

    /// Tokens that go back to the granter, since the last call.
    pub fn take_unused(&mut self) -> u32 {
        std::mem::take(&mut self.unused)
    }

    /// The open question, if it has waited too long for an answer: it is given up.
    pub fn give_up(&mut self, now: Instant) -> Option<NodeName> {
        let late = |open: &mut TokenRequest| now >= open.asked + ANSWER_TIMEOUT;
        let late = self.open.take_if(late)?;
        self.next_round();
        self.elsewhere = None;
        Some(late.granter)
    }

    /// Whether a question is due.
    pub fn is_due(&self, now: Instant) -> bool {
        let waits = self.ask_after.is_some_and(|at| now < at);
        self.open.is_none() && self.uncounted > 0 && !waits
    }

    /// Opens a question to `granter`. Returns how many tokens it asks for.
    pub fn ask(&mut self, number: u32, granter: NodeName, now: Instant) -> u32 {
        let wanted = self.uncounted + self.expected();
        self.uncounted = 0;
        self.open = Some(TokenRequest { number, granter, asked: now, wanted });
        wanted
    }

    /// The node to ask in place of the one that is known, if there is one.
    pub fn elsewhere(&self, now: Instant) -> Option<&NodeName> {
        self.elsewhere.as_ref().filter(|(_, until)| now < *until).map(|(node, _)| node)
    }

    /// The answer to the question with this number. Returns whether it was open.
    pub fn on_grant(&mut self, number: u32, count: u32, retry: Duration, now: Instant) -> bool {
        let Some(open) = self.open.take_if(|open| open.number == number) else { return false };
        // Tokens last from the question on, so they are over before the granter takes them for over.
        self.tokens.push_back(Tokens { count, until: open.asked + TOKEN_LIFETIME });
        if count == 0 && open.wanted > 0 {
            match retry <= MAX_REFILL_WAIT {
                true => self.ask_after = Some(now + retry),
                false => self.refused = Some((now + REFUSAL_CACHE_PERIOD, now + retry)),
            }
        }
        self.next_round();
        true
    }

    /// The open question goes to another node.
    pub fn on_elsewhere(&mut self, number: u32, node: NodeName, until: Instant) -> bool {
        let Some(_) = self.open.take_if(|open| open.number == number) else { return false };
        self.elsewhere = Some((node, until));
        self.next_round();
        true
    }

    fn next_round(&mut self) {
        self.round = self.round.wrapping_add(1);
        self.uncounted = 0;
    }
}
