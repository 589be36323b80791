//! Stand-in for the platform's promotion service.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use kestrellock_core::position::Term;
use kestrellock_core::routing::Role;
use kestrellock_platform::standin::promotion::{NOT_RUNNING, PromotionCall};

use super::{InstanceGroup, Shared};
use crate::standin::http::{self, Reply, Request};
use crate::standin::listener::{Callers, RestartableListener};

const BAD_REQUEST: u16 = 400;

/// A promotion request that was accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromotionRequest {
    /// Group.
    pub group: String,
    /// Instance to promote.
    pub instance: String,
    /// Coordinator that sent the request.
    pub coordinator: String,
    /// Fencing token of the coordinator.
    pub fence: u64,
}

/// A promotion that took effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletedPromotion {
    /// When it took effect.
    pub at: Instant,
    /// Group.
    pub group: String,
    /// The promoted instance.
    pub instance: String,
    /// Term that the instance leads from then on.
    pub term: Term,
    /// Ids of the statements whose commits the instance's log had at that time.
    pub statements: Vec<String>,
}

/// What the service has seen.
#[derive(Debug, Default)]
struct History {
    accepted: Vec<PromotionRequest>,
    arrived: Vec<(Instant, PromotionRequest)>,
    completed: Vec<CompletedPromotion>,
}

type SharedHistory = Arc<Mutex<History>>;

fn lock(history: &Mutex<History>) -> MutexGuard<'_, History> {
    history.lock().expect("a holder of the lock panicked")
}

/// A service that promotes instances on request.
pub struct PromotionService {
    listener: RestartableListener,
    history: SharedHistory,
}

impl PromotionService {
    /// Starts the service. A promotion takes effect `duration` after its request.
    pub fn start(groups: &[InstanceGroup], duration: Duration) -> io::Result<Self> {
        let listener = RestartableListener::bind()?;
        let groups: BTreeMap<String, Arc<Shared>> =
            groups.iter().map(|group| (group.name(), group.shared())).collect();
        let history = SharedHistory::default();
        let recorded = history.clone();
        let handler = move |request: Request| handle(&request, &groups, &recorded, duration);
        http::serve(listener.clone(), Arc::new(handler));
        Ok(Self { listener, history })
    }

    /// Address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// The addresses from which connections were opened so far.
    pub fn callers(&self) -> Callers {
        self.listener.callers()
    }

    /// All accepted promotion requests so far.
    pub fn calls(&self) -> Vec<PromotionRequest> {
        lock(&self.history).accepted.clone()
    }

    /// All promotion requests so far in the order of their arrival, including those that were
    /// rejected because the instance was not running.
    pub fn arrivals(&self) -> Vec<(Instant, PromotionRequest)> {
        lock(&self.history).arrived.clone()
    }

    /// All promotions so far that made an instance the primary.
    pub fn completed(&self) -> Vec<CompletedPromotion> {
        lock(&self.history).completed.clone()
    }
}

impl Drop for PromotionService {
    fn drop(&mut self) {
        self.listener.stop();
    }
}

fn handle(
    request: &Request,
    groups: &BTreeMap<String, Arc<Shared>>,
    history: &SharedHistory,
    duration: Duration,
) -> Reply {
    let call = PromotionCall::parse(&request.path, &request.headers, &request.body);
    let Some((call, shared)) = call.and_then(|call| {
        let shared = groups.get(&call.group)?.clone();
        Some((call, shared))
    }) else {
        return Reply::json(BAD_REQUEST, "{}".to_owned());
    };
    let request = PromotionRequest {
        group: call.group,
        instance: call.instance,
        coordinator: call.coordinator,
        fence: call.fence,
    };
    lock(history).arrived.push((Instant::now(), request.clone()));
    let instance = request.instance.clone();
    let is_running =
        shared.state().instances.get(&instance).is_some_and(|instance| instance.running);
    if !is_running {
        return Reply::json(NOT_RUNNING, "{}".to_owned());
    }
    lock(history).accepted.push(request);
    let history = history.clone();
    thread::spawn(move || {
        thread::sleep(duration);
        promote(&shared, &instance, &history);
    });
    Reply::ok("{}")
}

fn promote(shared: &Shared, name: &str, history: &Mutex<History>) {
    let mut state = shared.state();
    if state.links.is_isolated(name) {
        return;
    }
    let highest_term = state.highest_term();
    let Some(instance) = state.instances.get_mut(name) else { return };
    if !instance.running || instance.role == Role::Primary {
        return;
    }
    instance.role = Role::Primary;
    instance.term = Term(highest_term.0 + 1);
    let statements = instance.log.iter().flat_map(|commit| commit.ids.clone()).collect();
    let term = instance.term;
    let isolated = state.links.isolated.clone();
    for other in state.instances.values_mut() {
        if isolated.as_ref() == Some(&other.name) {
            continue;
        }
        other.min_term = Term(0);
    }
    shared.publish_entry(&state, name);
    lock(history).completed.push(CompletedPromotion {
        at: Instant::now(),
        group: state.options.group.clone(),
        instance: name.to_owned(),
        term,
        statements,
    });
    drop(state);
    shared.changed.notify_all();
}
