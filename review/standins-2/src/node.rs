//! The nodes: processes of the program of the deploy file, with settings from its template.

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// Size of the pages in which the system counts memory.
const PAGE_BYTES: u64 = 4096;

/// A node; its process is killed when this value is dropped.
pub struct Node {
    /// Address for clients.
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Child,
    root: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    key: String,
}

/// What the platform tells a node.
pub struct Place<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its zone.
    pub zone: &'a str,
    /// Its address.
    pub ip: Ipv4Addr,
    /// Address of the store.
    pub store: SocketAddr,
    /// Address for promotions.
    pub cloud: SocketAddr,
}

fn free_port(ip: Ipv4Addr) -> io::Result<(SocketAddr, TcpListener, UdpSocket)> {
    loop {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        if let Ok(socket) = UdpSocket::bind(address) {
            return Ok((address, listener, socket));
        }
    }
}

/// Fills in the template: a value for a gap, and sections that have a value.
fn fill(template: &str, values: &[(&str, String)]) -> String {
    let value = |name: &str| values.iter().find(|(known, _)| *known == name);
    let mut output = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once("{{") {
        output.push_str(before);
        let Some((name, after)) = after.split_once("}}") else { break };
        rest = match name.strip_prefix('#') {
            Some(section) => {
                let end = format!("{{{{/{section}}}}}");
                let (inner, behind) = after.split_once(&end).unwrap_or((after, ""));
                if value(section).is_some() {
                    output.push_str(&fill(inner, values));
                }
                behind
            }
            None => {
                output.extend(value(name).map(|(_, text)| text.as_str()));
                after
            }
        };
    }
    output + rest
}

impl Node {
    /// Starts a node from the folder `root` of the repository; `folder` takes its settings and log.
    pub fn start(root: &Path, folder: &Path, place: &Place) -> io::Result<Self> {
        let (front, first, second) = free_port(place.ip)?;
        let (ready, third, fourth) = free_port(place.ip)?;
        let (inner, fifth, sixth) = free_port(place.ip)?;
        drop((first, second, third, fourth, fifth, sixth));
        let template = fs::read_to_string(root.join("deploy/node.toml"))?;
        let text = fill(
            &template,
            &[
                ("nodeName", place.name.to_owned()),
                ("zone", place.zone.to_owned()),
                ("ip", place.ip.to_string()),
                ("internalPorts.0", inner.port().to_string()),
                ("listen.front", front.to_string()),
                ("listen.ready", ready.to_string()),
                ("limits.linkMbps", "1000.0".to_owned()),
                ("bounds.graceS", "6".to_owned()),
                ("faultTolerance.zones", "0".to_owned()),
                ("platform.address", place.store.to_string()),
                ("cloud.address", place.cloud.to_string()),
            ],
        );
        let settings: PathBuf = folder.join(format!("{}.toml", place.name));
        fs::write(&settings, text)?;
        let log = folder.join(format!("{}.log", place.name));
        let key = format!("cluster-of-{}", place.store);
        let child = run(root, &settings, &log, &key)?;
        Ok(Self { front, ready, child, root: root.to_path_buf(), settings, log, key })
    }

    /// Whether the node answers the platform's question with 200.
    pub fn is_ready(&self) -> bool {
        self.ask().unwrap_or(false)
    }

    fn ask(&self) -> io::Result<bool> {
        let limit = Duration::from_secs(1);
        let mut stream = TcpStream::connect_timeout(&self.ready, limit)?;
        stream.set_read_timeout(Some(limit))?;
        stream.write_all(b"GET /readyz HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(answer.starts_with("HTTP/1.1 200"))
    }

    /// Memory of the process in bytes, as the system tells it.
    pub fn memory(&self) -> u64 {
        let path = format!("/proc/{}/statm", self.child.id());
        let text = fs::read_to_string(path).unwrap_or_default();
        let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
        pages.unwrap_or(0) * PAGE_BYTES
    }

    /// Kills the process, as the platform does when it has too much memory.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again with the same settings.
    pub fn start_again(&mut self) -> io::Result<()> {
        self.child = run(&self.root, &self.settings, &self.log, &self.key)?;
        Ok(())
    }

    /// Whether the process still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Runs the program with the command and the environment of the deploy file.
fn run(root: &Path, settings: &Path, log: &Path, key: &str) -> io::Result<Child> {
    let log = File::options().create(true).append(true).open(log)?;
    Command::new(root.join("target/release/kestrellockd"))
        .arg("--settings")
        .arg(settings)
        .args(["--log-format", "json"])
        .env_clear()
        .env("KESTRELLOCK_CLUSTER_KEY", key)
        .current_dir(root)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}

/// The addresses of the nodes' machines.
pub fn machine(number: u8) -> Ipv4Addr {
    match IpAddr::V4(Ipv4Addr::new(127, 0, 0, 10 + number)) {
        IpAddr::V4(address) => address,
        IpAddr::V6(_) => Ipv4Addr::LOCALHOST,
    }
}
