//! A database group: instances that speak PostgreSQL v3 and replicate one log.

pub mod evaluate;
pub mod execute;
pub mod instance;
pub mod tables;
pub mod wire;

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use self::instance::Instance;

const SHIPPING_INTERVAL: Duration = Duration::from_millis(1);

/// A running group of instances.
pub struct DatabaseGroup {
    /// Its instances; the first is the first primary.
    pub instances: Vec<Arc<Instance>>,
    /// Where each listens.
    pub addresses: Vec<SocketAddr>,
    stopping: Arc<AtomicBool>,
}

impl DatabaseGroup {
    /// Starts `count` instances on ports that the system chooses.
    pub fn start(count: usize, replica_lag: Duration) -> std::io::Result<Self> {
        let stopping = Arc::new(AtomicBool::new(false));
        let mut instances = Vec::new();
        let mut addresses = Vec::new();
        for index in 0..count {
            let instance = Arc::new(Instance::new(index == 0, replica_lag));
            let listener = TcpListener::bind("127.0.0.1:0")?;
            addresses.push(listener.local_addr()?);
            wire::listen(listener, instance.clone(), stopping.clone());
            instances.push(instance);
        }
        spawn_shipping(instances.clone(), stopping.clone());
        Ok(Self { instances, addresses, stopping })
    }
}

impl Drop for DatabaseGroup {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Release);
    }
}

/// Starts the thread that copies the primary's log to the replicas.
fn spawn_shipping(instances: Vec<Arc<Instance>>, stopping: Arc<AtomicBool>) {
    thread::spawn(move || {
        while !stopping.load(Ordering::Acquire) {
            if let Some(primary) = instances.iter().find(|instance| instance.is_primary()) {
                for replica in instances.iter().filter(|instance| !instance.is_primary()) {
                    replica.receive_from(primary);
                }
            }
            thread::sleep(SHIPPING_INTERVAL);
        }
    });
}
