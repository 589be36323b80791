//! Stand-in for the platform's promotion service.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use kestrellock_core::position::Term;
use kestrellock_core::routing::Role;
use kestrellock_platform::standin::promotion::{NOT_RUNNING, PromotionCall};

use super::{InstanceGroup, Shared};
use crate::standin::http::{self, Reply, Request};
use crate::standin::listener::RestartableListener;

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

/// A service that promotes instances on request.
pub struct PromotionService {
    listener: RestartableListener,
    calls: Arc<Mutex<Vec<PromotionRequest>>>,
}

impl PromotionService {
    /// Starts the service. A promotion takes effect `duration` after its request.
    pub fn start(groups: &[InstanceGroup], duration: Duration) -> io::Result<Self> {
        let listener = RestartableListener::bind()?;
        let groups: BTreeMap<String, Arc<Shared>> =
            groups.iter().map(|group| (group.name(), group.shared())).collect();
        let calls = Arc::new(Mutex::new(Vec::new()));
        let recorded = calls.clone();
        let handler = move |request: Request| handle(&request, &groups, &recorded, duration);
        http::serve(listener.clone(), Arc::new(handler));
        Ok(Self { listener, calls })
    }

    /// Address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// All accepted promotion requests so far.
    pub fn calls(&self) -> Vec<PromotionRequest> {
        self.calls.lock().expect("a holder of the lock panicked").clone()
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
    calls: &Mutex<Vec<PromotionRequest>>,
    duration: Duration,
) -> Reply {
    let call = PromotionCall::parse(&request.path, &request.headers, &request.body);
    let Some((call, shared)) = call.and_then(|call| {
        let shared = groups.get(&call.group)?.clone();
        Some((call, shared))
    }) else {
        return Reply::json(BAD_REQUEST, "{}".to_owned());
    };
    let is_running =
        shared.state().instances.get(&call.instance).is_some_and(|instance| instance.running);
    if !is_running {
        return Reply::json(NOT_RUNNING, "{}".to_owned());
    }
    let instance = call.instance.clone();
    calls.lock().expect("a holder of the lock panicked").push(PromotionRequest {
        group: call.group,
        instance: call.instance,
        coordinator: call.coordinator,
        fence: call.fence,
    });
    thread::spawn(move || {
        thread::sleep(duration);
        promote(&shared, &instance);
    });
    Reply::ok("{}")
}

fn promote(shared: &Shared, name: &str) {
    let mut state = shared.state();
    let highest_term = state.highest_term();
    let Some(instance) = state.instances.get_mut(name) else { return };
    if !instance.running || instance.role == Role::Primary {
        return;
    }
    instance.role = Role::Primary;
    instance.term = Term(highest_term.0 + 1);
    for other in state.instances.values_mut() {
        other.min_term = Term(0);
    }
    shared.publish_entry(&state, name);
    drop(state);
    shared.changed.notify_all();
}
