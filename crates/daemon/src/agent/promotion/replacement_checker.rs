//! Replacement checks: requests to the store that confirm that no primary replacement is running.
//!
//! Replicas' status reports are evidence for a primary only together with such a check. A check asks
//! the store whether this node's copy of the replacement state is complete. If it is, the intents and
//! the last promoted instance in the copy were valid when the check began.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, TryRecvError, bounded, unbounded};
use kestrellock_core::ids::GroupName;
use kestrellock_core::promotion::CoordinationView;
use kestrellock_store::coordination::Coordination;

use super::ReplacementServices;
use crate::context::NodeContext;

/// Least time between two checks of a node. Requests to the store are limited in number and
/// expensive, and the evidence that a check confirms lasts for a second.
const PAUSE: Duration = Duration::from_millis(100);

/// Result of a check.
#[derive(Clone, Copy, Debug)]
struct Looked {
    /// When the check began.
    asked: Instant,
    /// Revision of the copy, if the copy is complete.
    revision: Option<u64>,
}

/// Runs the replacement checks of a node, one at a time.
pub struct ReplacementChecker {
    requests: Sender<()>,
    answers: Receiver<Looked>,
    /// Groups that the check in progress is for.
    under_way: Option<BTreeSet<GroupName>>,
    last: Option<Instant>,
}

impl ReplacementChecker {
    /// Starts the thread that sends the requests; it ends when the checker is dropped.
    pub fn start(services: &ReplacementServices) -> Self {
        let (requests, wanted) = bounded::<()>(1);
        let (answered, answers) = unbounded();
        let coordination = services.coordination.clone();
        let spawned = thread::Builder::new()
            .name("store-look".to_owned())
            .spawn(move || answer_requests(&coordination, &wanted, &answered));
        if let Err(error) = spawned {
            log::error!("a thread for looks at the store could not be started: {error}");
        }
        Self { requests, answers, under_way: None, last: None }
    }

    /// Takes in the result of a check, and begins another one if groups wait for it. `view` is the copy
    /// of the replacement state that this node uses.
    pub fn step(&mut self, context: &NodeContext, view: &CoordinationView, now: Instant) {
        match self.answers.try_recv() {
            Ok(looked) => {
                let groups = self.under_way.take().unwrap_or_default();
                take_in(&groups, looked, context, view);
            }
            Err(TryRecvError::Empty) => {}
            // The thread could not be started, which was logged.
            Err(TryRecvError::Disconnected) => return,
        }
        let is_early = self.last.is_some_and(|last| now < last + PAUSE);
        if self.under_way.is_some() || is_early {
            return;
        }
        let groups = context.store_looks.take();
        if !groups.is_empty() && self.requests.try_send(()).is_ok() {
            self.under_way = Some(groups);
            self.last = Some(now);
        }
    }
}

fn answer_requests(
    coordination: &Arc<dyn Coordination>,
    wanted: &Receiver<()>,
    answered: &Sender<Looked>,
) {
    while wanted.recv().is_ok() {
        let asked = Instant::now();
        let revision = match coordination.complete_revision() {
            Ok(revision) => revision,
            Err(error) => {
                log::debug!("a look at the store failed: {error}");
                None
            }
        };
        if answered.send(Looked { asked, revision }).is_err() {
            return;
        }
    }
}

fn take_in(
    groups: &BTreeSet<GroupName>,
    looked: Looked,
    context: &NodeContext,
    view: &CoordinationView,
) {
    let Some(revision) = looked.revision else { return };
    if view.revision < revision {
        return;
    }
    let catalog = context.catalog.load();
    for name in groups {
        let Some(group) = catalog.groups.get(name) else { continue };
        let promoted = view.promoted.get(name).map(|successor| &successor.instance);
        let is_in_force = group.promoted.as_ref() == promoted;
        let is_heard_of = context.intents.load().contains_key(name);
        let is_replaced =
            is_heard_of || view.intents.contains_key(name) || !group.is_led_by_newest();
        if is_in_force && !is_replaced {
            context.statuses.on_replacement_check(name, looked.asked);
        }
    }
}
