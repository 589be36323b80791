//! Plays one case: `standins-2 CASE ROOT RECORD FOLDER`. It exits with 0 if the rule held, 1 if it
//! was broken and 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod client;
mod flood;
mod instance;
mod memory;
mod moved;
mod node;
mod record;
mod shapes;
mod store;
mod values;

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use instance::{Options, Service};
use node::{Node, Place, machine};
use record::Record;
use store::Store;

/// Zones of the small deployments.
const ZONES: [&str; 3] = ["casa-ain", "casa-sidi", "casa-bouskoura"];
/// Time within which all nodes have to be ready.
const START_LIMIT: Duration = Duration::from_secs(30);

/// The platform, its services and the nodes.
pub struct World {
    /// The record of the run.
    pub record: Record,
    /// The store.
    pub store: Store,
    /// The services.
    pub services: Vec<Service>,
    /// The nodes, one in each zone.
    pub nodes: Vec<Node>,
    version: u64,
}

/// A route of the configuration.
pub struct Route<'a> {
    /// The database.
    pub host: &'a str,
    /// Its kind.
    pub kind: &'a str,
    /// Its service.
    pub service: &'a str,
    /// Age of the data that it accepts.
    pub max_staleness_ms: u64,
}

/// What a case needs of the deployment.
pub struct Needs<'a> {
    /// Names of the services.
    pub services: &'a [&'a str],
    /// Time after which a replica has applied a commit.
    pub lag: Duration,
    /// The routes of the first configuration.
    pub routes: &'a [Route<'a>],
}

impl World {
    /// Starts everything and waits until all nodes are ready.
    pub fn start(paths: &Paths, needs: &Needs) -> io::Result<Self> {
        let record = Record::create(&paths.record)?;
        let store = Store::start()?;
        let services = needs
            .services
            .iter()
            .map(|name| {
                let options =
                    Options { name, zones: &ZONES, lag: needs.lag, max_connections: 34, slots: 3 };
                Service::start(&options, &store, &record)
            })
            .collect::<io::Result<Vec<_>>>()?;
        let cloud = serve_promotions(&services)?;
        let mut world = Self { record, store, services, nodes: Vec::new(), version: 0 };
        world.configure(needs.routes);
        for (number, zone) in ZONES.iter().enumerate() {
            let place = Place {
                name: &format!("front-{zone}-1"),
                zone,
                ip: machine(number as u8),
                store: world.store.address,
                cloud,
            };
            world.nodes.push(Node::start(&paths.root, &paths.folder, &place)?);
        }
        let began = Instant::now();
        while !world.nodes.iter().all(Node::is_ready) {
            if began.elapsed() > START_LIMIT {
                return Err(io::Error::other("the nodes are not ready"));
            }
            thread::sleep(Duration::from_millis(100));
        }
        // The nodes find each other, and choose the owners of the services.
        thread::sleep(Duration::from_secs(5));
        world.record.note("the nodes are ready");
        Ok(world)
    }

    /// Writes the next version of the configuration.
    pub fn configure(&mut self, routes: &[Route]) {
        self.version += 3;
        let routes: Vec<Value> = routes
            .iter()
            .map(|route| {
                json!({
                    "name": format!("r-{}-{}", route.host, route.service),
                    "host": route.host,
                    "pathPrefix": "/",
                    "routeType": route.kind,
                    "timeoutMs": 800,
                    "targetLatencyMs": 250,
                    "priority": 2,
                    "service": route.service,
                    "maxAttempts": 2,
                    "maxStalenessMs": route.max_staleness_ms,
                })
            })
            .collect();
        let services: Vec<Value> = self
            .services
            .iter()
            .map(|service| {
                json!({
                    "name": service.name,
                    "healthPath": "/health",
                    "maxConnections": 34,
                    "protocol": "h1",
                    "tls": false,
                    "syncReplicas": 1,
                })
            })
            .collect();
        let limits = json!({ "idleTimeoutMs": 15000, "txIdleMs": 3000 });
        let version = self.version;
        let value =
            json!({ "version": version, "routes": routes, "services": services, "limits": limits });
        self.store.put("op/config", &value);
        self.record.note(&format!("configuration {version} acknowledged"));
    }

    /// Whether all processes still run.
    pub fn all_run(&mut self) -> bool {
        self.nodes.iter_mut().all(Node::runs)
    }
}

fn serve_promotions(services: &[Service]) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    let address = listener.local_addr()?;
    let services = services.to_vec();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let services = services.clone();
            thread::spawn(move || {
                store::serve(stream, |request| {
                    let text = |name: &str| request.body[name].as_str().unwrap_or_default();
                    let service = services.iter().find(|known| known.name == text("service"));
                    let status = service.map_or(409, |known| known.promote(text("instanceId")));
                    (status, json!({}))
                });
            });
        }
    });
    Ok(address)
}

/// Where a case reads and writes.
pub struct Paths {
    /// The repository.
    pub root: PathBuf,
    /// The record.
    pub record: PathBuf,
    /// A temporary folder.
    pub folder: PathBuf,
}

/// What a case has shown.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, record, folder] = arguments.as_slice() else {
        eprintln!("usage: standins-2 CASE ROOT RECORD FOLDER");
        return ExitCode::from(2);
    };
    let path = |text: &str| Path::new(text).to_path_buf();
    let paths = Paths { root: path(root), record: path(record), folder: path(folder) };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let verdict = match case.as_str() {
        "flood" => flood::play(&paths, trouble),
        "shapes" => shapes::play(&paths, trouble),
        "values" => values::play(&paths, trouble),
        "moved" => moved::play(&paths, trouble),
        "memory" => memory::play(&paths, trouble),
        _ => Err(io::Error::other("no such case")),
    };
    match verdict {
        Ok(Verdict::Held) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken(what)) => {
            println!("the rule was broken: {what}");
            ExitCode::from(1)
        }
        Err(error) => {
            println!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
