//! Evidence that no other primary answers commits: what makes a read at the primary true.
//!
//! A primary that has been replaced does not know it and goes on reading, so a node needs more than
//! its own belief. Whoever replaces a primary first stops the replicas, then waits until evidence
//! has lapsed, then promotes (`promotion`). So whoever saw at T that the replicas had not been
//! stopped knows that no other primary answers a commit before T + [`EVIDENCE_LIFETIME`], whatever
//! becomes of it meanwhile: frozen, cut off, or not told. T is when the question was sent.
//!
//! Three things show it:
//!
//! - a commit that the primary answered after enough replicas had received it;
//! - all replicas, if each says that it follows no higher term and has not been stopped above the term:
//!   a successor is one of them, and never says so again;
//! - enough of them ([`Replication::replicas_needed`]) that say so, if the store said at about the same
//!   time that nobody replaces the primary ([`PrimaryEvidence::on_no_replacement`]). A promotion releases
//!   replicas that do not hear of it, too. Such a replica says what it said before, and may answer the
//!   successor's commits a moment later; its word alone would pass for evidence of the old primary at a
//!   node that is out of reach of the store.
//!
//! An attempt never stops replicas twice with one term for two different successors. A read that arrived
//! at A is true at the primary if A is covered; one that may be D old, if A - D is.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::classify::StatementClass;
use crate::ids::InstanceName;
use crate::position::Term;
use crate::promotion::ReplacementId;

/// How long evidence covers arrivals. Whoever promotes waits for that long after the replicas have
/// been stopped, unless every node has said that it gives its evidence up; so a longer life costs
/// time in a failover where a node is out of reach, a shorter one more questions all the time.
pub const EVIDENCE_LIFETIME: Duration = Duration::from_millis(1_000);
/// The same for a node that the others do not know of yet, and so do not wait for. Whoever promotes
/// waits for that long in any case.
pub const UNLISTED_EVIDENCE_LIFETIME: Duration = Duration::from_millis(200);
/// Least time that the platform takes to promote: 300 ms on the platforms of today, less a margin. No
/// replica is released by a replacement sooner after that was recorded in the store.
pub const MIN_PROMOTION_TIME: Duration = Duration::from_millis(100);

/// What a node knows of one group's primary.
#[derive(Clone, Debug, Default)]
pub struct PrimaryEvidence {
    /// Highest term of an answered commit, or that a replica follows.
    term: Term,
    /// Highest term that an instance is known to have led otherwise.
    led: Term,
    commit: Option<Instant>,
    /// What each replica last showed.
    replicas: BTreeMap<InstanceName, Shown>,
    /// The newest time at which the store is known to have had nobody replace the primary.
    unreplaced: Option<Instant>,
    /// The replacement for which evidence of this and lower terms has been given up.
    given_up: Option<(ReplacementId, Term)>,
}

/// A replica showed that it had not been stopped above a term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Shown {
    term: Term,
    /// When it was asked.
    asked: Instant,
    /// When its answer arrived.
    answered: Instant,
}

/// What a replica said of itself, as far as it is evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaTerms {
    /// Term that it follows.
    pub term: Term,
    /// Term above which it receives nothing, if it has been stopped.
    pub min_term: Term,
}

impl ReplicaTerms {
    /// The lowest term whose primary it is evidence for: it has received no commit of a higher one,
    /// and nobody had stopped it to promote above that. Whether it has heard of that primary itself
    /// does not matter: promotions release replicas that do not hear of them, too.
    pub fn supported_term(&self) -> Term {
        self.term.max(self.min_term)
    }
}

impl PrimaryEvidence {
    /// Takes a higher term in: evidence of lower ones says nothing any more.
    fn enter(&mut self, term: Term) -> bool {
        if term > self.term {
            self.term = term;
            self.commit = None;
            self.unreplaced = None;
            self.replicas.retain(|_, shown| shown.term >= term);
        }
        term == self.term
    }

    /// The primary of `term` answered a commit that was sent at `sent`, after synchronous replicas
    /// had received it.
    pub fn on_commit(&mut self, term: Term, sent: Instant) {
        if self.enter(term) {
            self.commit = self.commit.max(Some(sent));
        }
    }

    /// An instance has led `term`, by its own word or the store's: there is no evidence for primaries of lower
    /// terms any more. What replicas show stays, since they need not have heard of that instance.
    pub fn on_term_led(&mut self, term: Term) {
        self.led = self.led.max(term);
    }

    /// A replica answered at `answered` a question sent at `asked`.
    pub fn on_replica_report(
        &mut self,
        replica: &InstanceName,
        following: ReplicaTerms,
        asked: Instant,
        answered: Instant,
    ) {
        self.enter(following.term);
        let shown = Shown { term: following.supported_term(), asked, answered };
        if shown.term < self.term {
            self.replicas.remove(replica);
            return;
        }
        let known = self.replicas.entry(replica.clone()).or_insert(shown);
        if known.asked <= asked {
            *known = shown;
        }
    }

    /// The store, asked at `asked`, had nobody replace the primary that this node takes for it, and
    /// nobody who had replaced it.
    pub fn on_no_replacement(&mut self, asked: Instant) {
        self.unreplaced = self.unreplaced.max(Some(asked));
    }

    /// Whether the replica's last word counts for `term` and covers arrivals until `now`.
    pub fn has_valid_report(
        &self,
        replica: &InstanceName,
        term: Term,
        life: Duration,
        now: Instant,
    ) -> bool {
        let shown = self.replicas.get(replica).filter(|shown| shown.term <= term);
        shown.is_some_and(|shown| now <= shown.asked + life)
    }

    /// When the newest evidence was asked for.
    pub fn newest(&self) -> Option<Instant> {
        let shown = self.replicas.values().map(|shown| shown.asked).max();
        self.commit.max(shown)
    }

    /// Highest term that something is evidence for.
    pub fn term(&self) -> Term {
        let shown = self.replicas.values().map(|shown| shown.term);
        shown.fold(self.term, Term::max)
    }

    /// Highest term that is known to have been led, whether there is evidence for it or not. That replicas have
    /// been stopped with a higher one shows only that somebody is about to be promoted.
    pub fn highest_led(&self) -> Term {
        self.term.max(self.led)
    }

    /// The node gives its evidence up, and takes no other of this term, until the replacement that
    /// is under way is over. Evidence of the successor's term counts, unless the node knows no term
    /// yet: then nothing does.
    pub fn revoke(&mut self, id: ReplacementId) {
        if self.given_up.is_none_or(|(known, _)| known != id) {
            self.given_up = Some((id, self.term));
            self.unreplaced = None;
        }
    }

    /// A connection to the group broke: the process that showed the evidence may be gone. A primary
    /// that died may return and read before a replacement has ended that did not wait for evidence,
    /// since the primary refused connections. What is seen from now on counts.
    pub fn discard(&mut self) {
        self.commit = None;
        self.replicas.clear();
        self.unreplaced = None;
    }

    /// The replacement is over: what is seen from now on counts.
    pub fn end_revocation(&mut self) {
        if self.given_up.take().is_some() {
            self.discard();
        }
    }

    /// Whether a primary that is known to lead `leads` is an old one: a higher term has been seen. Replicas
    /// refuse its commits as a rule, but one that has started again with nothing has forgotten that term.
    pub fn is_outdated(&self, leads: Option<Term>) -> bool {
        leads.is_some_and(|leads| leads < self.term().max(self.led))
    }

    /// An instance has started again: what the process before showed says nothing of this one.
    pub fn on_restart(&mut self, instance: &InstanceName) {
        self.replicas.remove(instance);
    }

    /// The replacement for which evidence has been given up.
    pub fn revoked_for(&self) -> Option<ReplacementId> {
        self.given_up.map(|(id, _)| id)
    }

    /// Until when arrivals are covered, at the primary of `term` in a group of such a kind, if evidence
    /// lasts for `life`.
    pub fn covers_until(&self, term: Term, group: Replication, life: Duration) -> Option<Instant> {
        if !self.counts_for(term) {
            return None;
        }
        let by_commit = self.commit.filter(|_| group.synchronous > 0 && term == self.term);
        by_commit.max(self.shown_at(term, group)).map(|seen| seen + life)
    }

    /// Whether a commit that the primary of `term` had answered at `answered` is known to be in no danger: replicas,
    /// asked after that, show that nobody was about to be promoted. For a node that nobody tells of replacements.
    pub fn confirms_commit(&self, term: Term, group: Replication, answered: Instant) -> bool {
        self.counts_for(term) && self.shown_at(term, group).is_some_and(|asked| asked >= answered)
    }

    /// When the replicas were asked whose word shows that nobody else leads.
    fn shown_at(&self, term: Term, group: Replication) -> Option<Instant> {
        let by_all = self.oldest_of(group.replicas(), term, |_| true);
        let by_some =
            self.oldest_of(group.replicas_needed(), term, |shown| self.is_confirmed(shown));
        by_all.max(by_some)
    }

    /// Until when arrivals would be covered if the store said now that nobody replaces the primary.
    pub fn would_cover_until(
        &self,
        term: Term,
        group: Replication,
        life: Duration,
    ) -> Option<Instant> {
        if !self.counts_for(term) {
            return None;
        }
        self.oldest_of(group.replicas_needed(), term, |_| true).map(|seen| seen + life)
    }

    /// Whether there may be evidence for `term`: no higher one is known, and it has not been given up.
    fn counts_for(&self, term: Term) -> bool {
        let unknown = Term::default();
        let is_given_up = self.given_up.is_some_and(|(_, until)| term <= until || until == unknown);
        term >= self.term.max(self.led) && !is_given_up
    }

    /// Whether no replacement can have released the replica before it answered.
    fn is_confirmed(&self, shown: &Shown) -> bool {
        self.unreplaced.is_some_and(|asked| shown.answered <= asked + MIN_PROMOTION_TIME)
    }

    /// When the oldest was asked of the `count` replicas that were asked last, among those that count
    /// for `term`; `None` if they are fewer.
    fn oldest_of(
        &self,
        count: usize,
        term: Term,
        counts: impl Fn(&Shown) -> bool,
    ) -> Option<Instant> {
        let shown = self.replicas.values().filter(|shown| shown.term <= term && counts(shown));
        let mut asked: Vec<Instant> = shown.map(|shown| shown.asked).collect();
        asked.sort_unstable_by(|one, other| other.cmp(one));
        asked.get(count.checked_sub(1)?).copied()
    }
}

/// How a group replicates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Replication {
    /// Replicas that must have received a commit before the primary answers it.
    pub synchronous: u32,
    /// Its instances.
    pub instances: usize,
}

impl Replication {
    /// How many replicas there are beside the primary.
    pub fn replicas(&self) -> usize {
        self.instances.saturating_sub(1)
    }

    /// How many replicas must show that no other primary answers commits. As many as are synchronous,
    /// so that whoever promotes stops one of them; and so many that no other primary finds enough
    /// replicas beside them and itself, since one that does not hear of it follows the old one.
    pub fn replicas_needed(&self) -> usize {
        let synchronous = self.synchronous as usize;
        self.replicas().saturating_sub(synchronous).max(synchronous).max(1)
    }
}

/// What a session's transaction has written: tells which answers show that a primary has answered a
/// commit that wrote.
///
/// One that wrote nothing waits for no replica: an old primary answers it, and it shows nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct TransactionWrites {
    in_transaction: bool,
    wrote: bool,
}

impl TransactionWrites {
    /// An exchange was answered, after which a transaction is open or not. Returns whether it shows
    /// a commit that wrote.
    pub fn on_answer(&mut self, class: StatementClass, failed: bool, open: bool) -> bool {
        let writes = class == StatementClass::Write && !failed;
        let commits = class == StatementClass::Commit && !failed;
        let wrote_before = self.in_transaction && self.wrote;
        let shows = match (self.in_transaction, open) {
            (_, true) => false,
            (false, false) => writes,
            (true, false) => commits && wrote_before,
        };
        *self = Self { in_transaction: open, wrote: open && (writes || wrote_before) };
        shows
    }

    /// Whether an exchange of this class commits something that wrote, if it succeeds.
    pub fn would_commit(&self, class: StatementClass) -> bool {
        match self.in_transaction {
            true => class == StatementClass::Commit && self.wrote,
            false => class == StatementClass::Write,
        }
    }

    /// The transaction, if one was open, is lost.
    pub fn on_lost(&mut self) {
        *self = Self::default();
    }
}
