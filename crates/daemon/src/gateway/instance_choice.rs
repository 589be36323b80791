//! Chooses the instance of a group that runs a statement, from the statuses and evidence that this
//! node has learned from the instances' answers.
//!
//! Every statement needs evidence that the primary still leads, because an old primary that does not
//! know of its replacement runs statements on a log that lacks acknowledged commits. The evidence
//! must cover the time at which the statement arrived, less the staleness that a read accepts. A
//! read then runs at the primary, or at a replica that has reached a position which the primary
//! reported while the evidence was valid. Other statements run at the primary; those that write
//! need the same evidence on every route.
//!
//! A statement that must run at the primary never goes to an instance that is being replaced, that
//! is in a drained zone, or that may have been replaced without this node's knowledge. The instance
//! does not check the session bound of such a statement, so it does not go either to an instance
//! that leads a lower term than the one of the session's last commit: a transaction would read
//! what the session itself has overwritten.

use std::collections::HashMap;
use std::time::Instant;

use kestrellock_core::catalog::{Group, IndexedCatalog, Instance};
use kestrellock_core::ids::{GroupName, InstanceName};
use kestrellock_core::position::{Position, Term};
use kestrellock_core::primary_evidence::{Coverage, EvidenceKind};
use kestrellock_core::primary_samples::PrimarySample;
use kestrellock_core::reader_choice::{self, Reader};
use kestrellock_core::routing::{Access, Role};
use kestrellock_peer::message::RequiredLead;

use super::pool::Pool;
use crate::event::Io;
use crate::shared::exchange_record::ExchangeRecord;
use crate::shared::statuses::GroupStatuses;

/// The instance for an exchange, or why there is none now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InstanceChoice {
    /// This instance runs the exchange.
    Instance(InstanceName),
    /// No instance qualifies now.
    NoneQualifies,
    /// Evidence is missing that the primary still leads.
    NeedsEvidence,
    /// The primary leads a lower term than the one of the session's last commit: it has been
    /// replaced, and this node has yet to learn of its successor.
    NeedsSessionTerm,
    /// Enough replicas have shown that the primary still leads, but the store, or every other node,
    /// has yet to confirm that the primary is not being replaced.
    NeedsStore,
}

/// What a choice was based on, for the log. The choice itself uses the same values.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChoiceBasis {
    /// The instance that the node takes for the primary, and the term that its current process has
    /// been shown to lead.
    pub primary: Option<(InstanceName, Option<Term>)>,
    /// The role that the chosen instance announces.
    pub announced_role: Option<Role>,
    /// What the evidence covers.
    pub coverage: Option<Coverage>,
    /// Whether reports of all replicas yield no evidence for want of earlier evidence or of a
    /// replacement check.
    pub lacks_claim: bool,
    /// Commits acknowledged before this time must be visible to the statement; `None` if no instance
    /// was considered for it.
    pub must_cover: Option<Instant>,
    /// The sample from which the position that a read requires was taken.
    pub sample: Option<PrimarySample>,
}

impl ChoiceBasis {
    /// Whether nothing but reports without a replacement check covers the arrival. Such reports
    /// cover no answer of a commit.
    pub fn is_unchecked(&self) -> bool {
        self.coverage.is_some_and(|coverage| coverage.kind == EvidenceKind::UncheckedReplicas)
    }

    /// What must still be known of the process of `instance` when the statement is sent. `None` if
    /// the choice does not rely on that, because the instance itself checks the position that the
    /// statement requires.
    pub fn required_lead(&self, instance: &InstanceName, now: Instant) -> Option<RequiredLead> {
        let is_primary = self.primary.as_ref().is_some_and(|(primary, _)| primary == instance);
        let must_cover = self.must_cover.filter(|_| is_primary && self.sample.is_none())?;
        let term = self.coverage?.term;
        Some(RequiredLead { term, must_cover, chosen_at: now })
    }
}

/// The choice for a statement, and what it was based on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExplainedChoice {
    /// The choice.
    pub choice: InstanceChoice,
    /// What it was based on.
    pub basis: ChoiceBasis,
}

impl ExplainedChoice {
    /// Whether the statement goes to the primary, or waits for evidence about it.
    pub fn uses_primary_evidence(&self) -> bool {
        match &self.choice {
            InstanceChoice::Instance(chosen) => {
                self.basis.primary.as_ref().is_some_and(|(primary, _)| primary == chosen)
            }
            InstanceChoice::NeedsEvidence
            | InstanceChoice::NeedsSessionTerm
            | InstanceChoice::NeedsStore => true,
            InstanceChoice::NoneQualifies => false,
        }
    }
}

/// What a statement requires of the instance that runs it.
#[derive(Clone, Copy)]
pub struct StatementNeeds<'a> {
    /// When the statement arrived.
    pub arrived: Instant,
    /// Instance that has just failed to run the statement. If the statement is a read, it is not
    /// sent to that instance again.
    pub excluded_instance: Option<&'a InstanceName>,
    /// The group's pools; exchanges queued there run before it.
    pub pools: &'a HashMap<InstanceName, Pool>,
}

/// Chooses the instance for `access`. For a read, the position that the instance must have reached
/// is joined into the bound of `access`, because the instance itself checks the bound.
pub fn choose_instance(
    group: &GroupName,
    configured: &Group,
    access: &mut Access,
    needs: StatementNeeds,
    io: &Io,
) -> ExplainedChoice {
    let mut basis = ChoiceBasis::default();
    let choice = choose(group, configured, access, needs, &mut basis, io);
    ExplainedChoice { choice, basis }
}

fn choose(
    group: &GroupName,
    configured: &Group,
    access: &mut Access,
    needs: StatementNeeds,
    basis: &mut ChoiceBasis,
    io: &Io,
) -> InstanceChoice {
    let catalog = io.context.catalog.load();
    let group_statuses = io.context.statuses.group(group);
    let known = group_statuses.read().expect("a thread panicked while it held the status lock");
    let primary = io.context.leader(group, configured);
    let (replication, lifetime) = (configured.replication(), io.context.evidence_lifetime(group));
    basis.primary =
        primary.map(|primary| (primary.name.clone(), known.current_led_term_of(&primary.name)));
    basis.coverage =
        primary.and_then(|primary| known.coverage(&primary.name, replication, lifetime));
    let covered_until = basis.coverage.map(|coverage| coverage.until);
    // The time that evidence must cover. If the clock cannot represent it, use the arrival time,
    // which is stricter.
    let moment = |staleness| needs.arrived.checked_sub(staleness).unwrap_or(needs.arrived);
    let lacks_claim =
        || primary.is_some_and(|primary| known.lacks_claim(&primary.name, replication));
    let missing_evidence = |moment: Instant| {
        let only_store = primary.is_some_and(|primary| {
            known.lacks_only_replacement_check(&primary.name, replication, lifetime, moment, io.now)
        });
        if only_store { InstanceChoice::NeedsStore } else { InstanceChoice::NeedsEvidence }
    };
    let session_bound = access.bound().copied();
    let chosen = match access {
        Access::Read { bound, max_staleness } => {
            let moment = moment(*max_staleness);
            basis.must_cover = Some(moment);
            let at_primary = covered_until.is_some_and(|covered_until| moment <= covered_until);
            let sample = primary.zip(basis.coverage).and_then(|(primary, coverage)| {
                known.primary_samples.covering(&primary.name, &coverage, moment)
            });
            basis.sample = sample.cloned();
            let read_position = basis.sample.as_ref().map(|sample| sample.position);
            if !at_primary && read_position.is_none() {
                return missing_evidence(moment);
            }
            if let Some(read_position) = read_position {
                *bound = Some(bound.map_or(read_position, |bound| bound.join(read_position)));
            }
            let primary = primary.map(|primary| &primary.name);
            let qualifies = EligibleReaders {
                primary: primary.filter(|_| at_primary),
                replicas: read_position.is_some(),
            };
            choose_reader(configured, &catalog, &known, bound, qualifies, needs, io)
        }
        Access::PrimaryRead { .. } | Access::Write { .. } => {
            // A primary that is being replaced gets no new work.
            let intents = io.context.intents.load();
            let replaced = intents.get(group).map(|intent| intent.former.as_ref());
            if replaced.is_some_and(|replaced| replaced == primary.map(|primary| &primary.name)) {
                return InstanceChoice::NoneQualifies;
            }
            // An instance in another zone is about to replace a primary in a drained zone.
            if primary.is_some_and(|primary| catalog.drained_zones().contains(&primary.zone)) {
                return InstanceChoice::NoneQualifies;
            }
            if primary.is_some_and(|primary| may_be_replaced(configured, primary, &known)) {
                return InstanceChoice::NeedsEvidence;
            }
            let lacks_commits = |primary: &Instance| {
                known.may_lack_session_commits(&primary.name, session_bound.as_ref())
            };
            if primary.is_some_and(lacks_commits) {
                return InstanceChoice::NeedsSessionTerm;
            }
            // An old primary also runs statements that read nothing, on a log that lacks what its
            // successor has acknowledged.
            basis.must_cover = Some(needs.arrived);
            let is_covered = covered_until.is_some_and(|until| needs.arrived <= until);
            if primary.is_some() && !is_covered {
                basis.lacks_claim = lacks_claim();
                return missing_evidence(needs.arrived);
            }
            // Replicas could not confirm its commit, which would end in doubt.
            let needs_check = matches!(access, Access::Write { .. }) && basis.is_unchecked();
            let has_no_check =
                io.context.replacement_checks_fail(io.now) || !io.context.may_be_checked(group);
            if needs_check && has_no_check {
                return InstanceChoice::NeedsStore;
            }
            primary
        }
    };
    let Some(instance) = chosen else { return InstanceChoice::NoneQualifies };
    basis.announced_role = instance.announced_role;
    io.context.metrics.count_route(access, instance.announced_role);
    InstanceChoice::Instance(instance.name.clone())
}

/// The instance that probably runs the next statement of a client: the primary, or the reader that
/// would be chosen if all replicas were recent enough. It needs no evidence, because no statement
/// is sent: a wrong choice only leaves a connection unused.
pub fn expected_instance<'a>(
    group: &GroupName,
    configured: &'a Group,
    at_primary: bool,
    pools: &HashMap<InstanceName, Pool>,
    io: &Io,
) -> Option<&'a Instance> {
    let primary = io.context.leader(group, configured);
    if at_primary {
        return primary;
    }
    let catalog = io.context.catalog.load();
    let group_statuses = io.context.statuses.group(group);
    let known = group_statuses.read().expect("a thread panicked while it held the status lock");
    let qualifies =
        EligibleReaders { primary: primary.map(|primary| &primary.name), replicas: true };
    let needs = StatementNeeds { arrived: io.now, excluded_instance: None, pools };
    choose_reader(configured, &catalog, &known, &None, qualifies, needs, io)
}

/// Whether a newer primary than this one is known, or may have been promoted. In the second case
/// the instance gets no writes until it has reported the term that it leads.
fn may_be_replaced(configured: &Group, primary: &Instance, known: &GroupStatuses) -> bool {
    let leads = known.led_term_of(&primary.name);
    let is_unproven = leads.is_none() && !configured.is_last_promoted(&primary.name);
    is_unproven || known.evidence.is_outdated(leads)
}

/// Which instances may serve a read.
#[derive(Clone, Copy, Debug)]
struct EligibleReaders<'a> {
    /// The primary, if it may serve the read.
    primary: Option<&'a InstanceName>,
    /// Whether replicas may serve the read.
    replicas: bool,
}

fn choose_reader<'a>(
    configured: &'a Group,
    catalog: &IndexedCatalog,
    known: &GroupStatuses,
    position: &Option<Position>,
    qualifies: EligibleReaders<'_>,
    needs: StatementNeeds,
    io: &Io,
) -> Option<&'a Instance> {
    let may_serve = |instance: &&Instance| {
        let is_replica = instance.announced_role == Some(Role::Replica);
        let qualifies = match qualifies.primary == Some(&instance.name) {
            true => true,
            false => qualifies.replicas && is_replica,
        };
        let is_running = !io.context.address_occupants.is_displaced(configured, instance);
        let takes_work = catalog.accepts_work(instance);
        let is_reached = io.context.isolation.reaches_zone(&instance.zone);
        let may_run = is_running && takes_work && is_reached;
        qualifies && may_run && needs.excluded_instance != Some(&instance.name)
    };
    let queued = |name| needs.pools.get(name).map_or(0, |pool| pool.waiting() as u32);
    let readers: Vec<Reader> = configured
        .instances
        .iter()
        .filter(may_serve)
        .map(|instance| {
            let unknown = ExchangeRecord::default();
            let record = known.exchange_records.get(&instance.name).unwrap_or(&unknown);
            Reader {
                instance: &instance.name,
                is_local: instance.zone == io.context.identity.zone,
                reported_position: record
                    .last_position
                    .filter(|_| instance.announced_role == Some(Role::Replica)),
                report_age: record.last_position_at.map(|at| io.now.saturating_duration_since(at)),
                service_time: record.mean_service_time,
                running: record.in_flight() + queued(&instance.name),
                slots: instance.slots,
                is_unresponsive: record.is_unresponsive,
            }
        })
        .collect();
    configured.instance(reader_choice::choose(&readers, position.as_ref())?)
}
