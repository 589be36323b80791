//! The platform's promotion call.

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
use crate::standin::door::Door;
use crate::standin::http::{self, Reply, Request};

const MALFORMED: u16 = 400;

/// A promotion that was asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Promoted {
    /// The group.
    pub group: String,
    /// The instance.
    pub instance: String,
    /// Who asked.
    pub holder: String,
    /// Number of its right to ask.
    pub fence: u64,
}

/// A service that promotes instances of groups.
pub struct PromotionService {
    door: Door,
    calls: Arc<Mutex<Vec<Promoted>>>,
}

impl PromotionService {
    /// Starts the service; a promotion takes `time`.
    pub fn start(groups: &[InstanceGroup], time: Duration) -> io::Result<Self> {
        let door = Door::open()?;
        let groups: BTreeMap<String, Arc<Shared>> =
            groups.iter().map(|group| (group.name(), group.shared())).collect();
        let calls = Arc::new(Mutex::new(Vec::new()));
        let recorded = calls.clone();
        let handler = move |request: Request| handle(&request, &groups, &recorded, time);
        http::serve(door.clone(), Arc::new(handler));
        Ok(Self { door, calls })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.door.address()
    }

    /// Promotions asked for so far.
    pub fn calls(&self) -> Vec<Promoted> {
        self.calls.lock().expect("a holder of the lock panicked").clone()
    }
}

impl Drop for PromotionService {
    fn drop(&mut self) {
        self.door.stop();
    }
}

fn handle(
    request: &Request,
    groups: &BTreeMap<String, Arc<Shared>>,
    calls: &Mutex<Vec<Promoted>>,
    time: Duration,
) -> Reply {
    let call = PromotionCall::parse(&request.path, &request.headers, &request.body);
    let Some((call, shared)) = call.and_then(|call| {
        let shared = groups.get(&call.group)?.clone();
        Some((call, shared))
    }) else {
        return Reply::json(MALFORMED, "{}".to_owned());
    };
    let is_running =
        shared.state().instances.get(&call.instance).is_some_and(|instance| instance.running);
    if !is_running {
        return Reply::json(NOT_RUNNING, "{}".to_owned());
    }
    let instance = call.instance.clone();
    calls.lock().expect("a holder of the lock panicked").push(Promoted {
        group: call.group,
        instance: call.instance,
        holder: call.coordinator,
        fence: call.fence,
    });
    thread::spawn(move || {
        thread::sleep(time);
        promote(&shared, &instance);
    });
    Reply::ok("{}")
}

fn promote(shared: &Shared, name: &str) {
    let mut state = shared.state();
    let highest = state.highest_term();
    let Some(instance) = state.instances.get_mut(name) else { return };
    if !instance.running || instance.role == Role::Primary {
        return;
    }
    instance.role = Role::Primary;
    instance.term = Term(highest.0 + 1);
    for other in state.instances.values_mut() {
        other.held = Term(0);
    }
    shared.announce(&state, name);
    drop(state);
    shared.changed.notify_all();
}
