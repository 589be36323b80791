//! A node that is a process of the `kestrellockd` program.

use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use kestrellock_platform::standin::settings::NodeSettings;
use miette::{Context, IntoDiagnostic, miette};
use rustix::process::{Pid, Signal, kill_process};

const PROGRAM: &str = "kestrellockd";
const GRACE_PERIOD: Duration = Duration::from_secs(6);
const LINK_MBPS: u32 = 1_000;
const READINESS_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum attempts to find a port that is free for both TCP and UDP.
const MAX_PORT_ATTEMPTS: usize = 50;
/// Maximum number of times that addresses are assigned to a node.
const MAX_ADDRESS_ATTEMPTS: usize = 5;
/// Part of the log of a node whose address is taken.
const ADDRESS_IN_USE: &str = "Address already in use";
const UNASSIGNED: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Where a node reaches the platform.
#[derive(Clone, Copy, Debug)]
pub struct PlatformAddresses {
    /// Address of the store.
    pub store: SocketAddr,
    /// Address of the promotion service.
    pub promotions: SocketAddr,
}

/// A process of the program. It is killed when this value is dropped.
#[derive(Debug)]
pub struct NodeProcess {
    /// Name of the node.
    pub name: String,
    /// Address for clients.
    pub client_address: SocketAddr,
    admin_address: SocketAddr,
    zone: String,
    platform: PlatformAddresses,
    settings_path: PathBuf,
    log_path: PathBuf,
    cluster_key: String,
    child: Option<Child>,
    /// Number of times that addresses were assigned.
    address_attempts: usize,
}

/// Path of the program, which cargo builds beside the tests of the workspace.
fn program() -> miette::Result<PathBuf> {
    let test = std::env::current_exe().into_diagnostic()?;
    // Test programs are in a folder inside the folder of the profile.
    let folder = test.parent().and_then(Path::parent).unwrap_or(Path::new("."));
    let program = folder.join(PROGRAM);
    match program.is_file() {
        true => Ok(program),
        false => Err(miette!(
            help = "build it with `cargo build -p kestrellock-daemon`, or run `cargo test --workspace`",
            "{} does not exist",
            program.display()
        )),
    }
}

/// Addresses on loopback that differ from each other and are free for TCP and UDP.
fn free_addresses<const COUNT: usize>() -> miette::Result<[SocketAddr; COUNT]> {
    let mut addresses = [UNASSIGNED; COUNT];
    // Each stays taken until all are found, so that none is found twice.
    let mut taken = Vec::new();
    for address in &mut addresses {
        let (found, sockets) = free_address()?;
        *address = found;
        taken.push(sockets);
    }
    Ok(addresses)
}

/// An address on loopback that was free for TCP and UDP, and the sockets that take it.
fn free_address() -> miette::Result<(SocketAddr, (TcpListener, UdpSocket))> {
    for _ in 0..MAX_PORT_ATTEMPTS {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).into_diagnostic()?;
        let address = listener.local_addr().into_diagnostic()?;
        if let Ok(socket) = UdpSocket::bind(address) {
            return Ok((address, (listener, socket)));
        }
    }
    Err(miette!("found no port that is free for both TCP and UDP"))
}

impl NodeProcess {
    /// Writes the settings of a node to `folder` and starts it.
    pub fn start(
        folder: &Path,
        name: &str,
        zone: &str,
        platform: PlatformAddresses,
        cluster_key: &str,
    ) -> miette::Result<Self> {
        let mut node = Self {
            name: name.to_owned(),
            client_address: UNASSIGNED,
            admin_address: UNASSIGNED,
            zone: zone.to_owned(),
            platform,
            settings_path: folder.join(format!("{name}.toml")),
            log_path: folder.join(format!("{name}.log")),
            cluster_key: cluster_key.to_owned(),
            child: None,
            address_attempts: 0,
        };
        node.assign_addresses()?;
        node.run()?;
        Ok(node)
    }

    /// Chooses addresses that are free and writes the settings. Another process may take them
    /// before the node does.
    fn assign_addresses(&mut self) -> miette::Result<()> {
        self.address_attempts += 1;
        let [client_address, admin_address, peer_address] = free_addresses()?;
        (self.client_address, self.admin_address) = (client_address, admin_address);
        let settings = NodeSettings {
            name: &self.name,
            zone: &self.zone,
            client_address: self.client_address,
            readiness_address: self.admin_address,
            peer_address,
            link_mbps: LINK_MBPS,
            grace_period: GRACE_PERIOD,
            tolerated_zone_losses: 0,
            store_address: self.platform.store,
            promotion_address: self.platform.promotions,
        };
        std::fs::write(&self.settings_path, settings.text()).into_diagnostic()
    }

    /// Starts the process with the settings that were written for it.
    pub fn run(&mut self) -> miette::Result<()> {
        let program = program()?;
        let log = File::options().create(true).append(true).open(&self.log_path);
        let log = log.into_diagnostic()?;
        let child = Command::new(&program)
            .arg("--settings")
            .arg(&self.settings_path)
            .args(["--log-format", "json"])
            .env_clear()
            .env("KESTRELLOCK_CLUSTER_KEY", &self.cluster_key)
            .stdin(Stdio::null())
            .stdout(log.try_clone().into_diagnostic()?)
            .stderr(log)
            .spawn();
        let child = child.into_diagnostic();
        self.child = Some(child.wrap_err_with(|| format!("starting {}", program.display()))?);
        Ok(())
    }

    /// Whether a process of the node runs or is suspended.
    pub fn is_started(&self) -> bool {
        self.child.is_some()
    }

    /// Whether the node reports that it is ready. Fails if its process has ended by itself; one
    /// whose addresses were taken is started again with other ones.
    pub fn is_ready(&mut self) -> miette::Result<bool> {
        let child = self.child.as_mut();
        let child = child.ok_or_else(|| miette!("{} is not started", self.name))?;
        if let Some(status) = child.try_wait().into_diagnostic()? {
            let log = self.log();
            if !log.contains(ADDRESS_IN_USE) || self.address_attempts >= MAX_ADDRESS_ATTEMPTS {
                return Err(miette!("{} has ended, {status}: {log}", self.name));
            }
            self.assign_addresses()?;
            self.run()?;
            return Ok(false);
        }
        Ok(ask_readiness(self.admin_address).unwrap_or(false))
    }

    /// The log of the node.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log_path).unwrap_or_default()
    }

    /// Kills the process (SIGKILL).
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // An error means that the process has already ended.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Asks the process to stop (SIGTERM).
    pub fn terminate(&self) -> miette::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Whether no process runs any more; takes note of one that has ended.
    pub fn has_ended(&mut self) -> miette::Result<bool> {
        if let Some(child) = &mut self.child
            && child.try_wait().into_diagnostic()?.is_some()
        {
            self.child = None;
        }
        Ok(self.child.is_none())
    }

    /// Suspends the process (SIGSTOP).
    pub fn suspend(&self) -> miette::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Continues a suspended process (SIGCONT).
    pub fn resume(&self) -> miette::Result<()> {
        self.signal(Signal::CONT)
    }

    fn signal(&self, signal: Signal) -> miette::Result<()> {
        let Some(child) = &self.child else { return Err(miette!("{} is not started", self.name)) };
        kill_process(Pid::from_child(child), signal).into_diagnostic()
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

fn ask_readiness(address: SocketAddr) -> io::Result<bool> {
    let mut stream = TcpStream::connect_timeout(&address, READINESS_TIMEOUT)?;
    stream.set_read_timeout(Some(READINESS_TIMEOUT))?;
    stream.write_all(b"GET /readyz HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer.lines().next().is_some_and(|line| line.contains(" 200 ")))
}
