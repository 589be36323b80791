//! The file that describes a scenario.

use std::path::Path;
use std::time::Duration;

use miette::Diagnostic;
use serde::Deserialize;
use thiserror::Error;

/// Why a scenario file cannot be used.
#[derive(Debug, Error, Diagnostic)]
pub enum DefinitionError {
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    #[diagnostic(code(kestrellock::lab::scenario_unreadable))]
    Unreadable {
        /// The file.
        path: String,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The file is not a scenario.
    #[error("{path} is not a scenario: {source}")]
    #[diagnostic(code(kestrellock::lab::scenario_malformed))]
    Malformed {
        /// The file.
        path: String,
        /// Where and why.
        source: Box<toml::de::Error>,
    },
    /// A value is out of range or names something that is not there.
    #[error("{field}: {problem}")]
    #[diagnostic(code(kestrellock::lab::scenario_invalid))]
    Invalid {
        /// Path of the field.
        field: String,
        /// What is wrong with it.
        problem: String,
    },
}

/// A scenario.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name in reports.
    pub name: String,
    /// Seed used when none is given.
    #[serde(default)]
    pub seed: u64,
    /// How long callers send new requests.
    pub duration_ms: u64,
    /// How long after that callers may go on resolving what is in doubt.
    pub settle_ms: u64,
    /// What is started.
    pub deployment: Deployment,
    /// What callers do.
    pub workload: Workload,
    /// What goes wrong.
    #[serde(default)]
    pub faults: Vec<ScheduledFault>,
}

/// Zones, nodes and database groups.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Names of the zones.
    pub zones: Vec<String>,
    /// One-way delay between two zones, in milliseconds.
    pub zone_delay_ms: f64,
    /// One-way delay between callers and every zone, in milliseconds. Zero puts the callers of a
    /// node into the node's zone.
    #[serde(default)]
    pub caller_delay_ms: f64,
    /// Nodes in each zone.
    pub nodes_per_zone: usize,
    /// Event-loop threads of a node.
    pub shards: u16,
    /// The setting of the same name of all nodes.
    #[serde(default)]
    pub tolerated_zone_losses: u32,
    /// Databases; each is a group of its own.
    pub databases: Vec<String>,
    /// Instances of a group, spread over the zones in turn.
    pub instances: usize,
    /// Statements an instance runs well at once.
    pub slots: u32,
    /// Connections an instance accepts.
    pub connections: u32,
    /// Time it takes an instance to set up a connection.
    pub connect_ms: u64,
    /// Time in which a group replaces a primary that is lost.
    pub election_ms: u64,
    /// Time by which replicas apply a record late.
    pub replica_lag_ms: u64,
    /// Time that a primary spends on a statement.
    #[serde(default)]
    pub service_ms: f64,
    /// Largest staleness of reads without a session bound.
    pub max_staleness_ms: u64,
    /// Deadline of statements.
    pub deadline_ms: u64,
    /// Statements of the tenant at once, for each instance.
    pub capacity: u32,
}

/// Shares of the kinds of requests; they are weighed against each other.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mix {
    /// Reads of registers and seats.
    pub read: u32,
    /// Overwrites of registers.
    pub write: u32,
    /// Deposits.
    pub deposit: u32,
    /// Purchases of seats.
    pub purchase: u32,
    /// Transaction blocks.
    pub transaction: u32,
}

impl Mix {
    /// Sum of all weights.
    pub fn total(&self) -> u32 {
        self.read + self.write + self.deposit + self.purchase + self.transaction
    }
}

/// What callers do. Requests arrive at times that do not depend on answers.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Sessions for each database.
    pub sessions: u32,
    /// Mean time between two requests of a session.
    pub think_ms: f64,
    /// Kinds of requests.
    pub mix: Mix,
    /// Share of deposits and purchases that carry a request key, from 0 to 1.
    pub keyed_share: f64,
    /// Share of single statements that are sent prepared, by the extended protocol.
    pub extended_share: f64,
    /// Share of requests before which the session moves to another node.
    pub roaming_share: f64,
    /// Share of sessions that hand their token back on reconnecting.
    pub token_share: f64,
    /// Registers of a database.
    pub registers: u32,
    /// Seats of a database.
    pub seats: u32,
}

/// A fault and its time.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScheduledFault {
    /// When, after the callers began.
    pub at_ms: u64,
    /// By how much a seed may put it off.
    #[serde(default)]
    pub jitter_ms: u64,
    /// What happens.
    pub fault: Fault,
}

/// What can go wrong, or be done. Groups are named by their database, nodes and zones by number.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Fault {
    /// The primary of a group dies; it comes back as a replica after a time.
    KillPrimary {
        /// Database of the group.
        database: String,
        /// When it comes back; never if absent.
        back_after_ms: Option<u64>,
    },
    /// The zone of a group's primary is cut off from the others; the primary believes it leads.
    CutPrimary {
        /// Database of the group.
        database: String,
    },
    /// The primary of a group stops running, and goes on after a time as if nothing happened.
    PausePrimary {
        /// Database of the group.
        database: String,
        /// How long.
        for_ms: u64,
    },
    /// A zone is cut off from the others.
    CutZone {
        /// Number of the zone; chosen by the seed if absent.
        zone: Option<usize>,
    },
    /// Every cut ends.
    Heal,
    /// The primary of a group takes statements and its answers are lost for a time.
    LoseAnswers {
        /// Database of the group.
        database: String,
        /// How long.
        for_ms: u64,
    },
    /// The replicas of a group fall behind.
    LagReplicas {
        /// Database of the group.
        database: String,
        /// By how much.
        lag_ms: u64,
    },
    /// A node stops running without losing anything.
    PauseNode {
        /// Number of the node; chosen by the seed if absent.
        node: Option<usize>,
        /// How long.
        for_ms: u64,
    },
    /// A node dies.
    KillNode {
        /// Number of the node; chosen by the seed if absent.
        node: Option<usize>,
        /// When it starts again; never if absent.
        back_after_ms: Option<u64>,
    },
    /// The given number of nodes, chosen by the seed, die at once.
    KillNodes {
        /// How many.
        count: usize,
        /// When they start again; never if absent.
        back_after_ms: Option<u64>,
    },
    /// Every node and instance of a zone dies at once.
    KillZone {
        /// Number of the zone; chosen by the seed if absent.
        zone: Option<usize>,
    },
    /// A node is asked to stop, and is started again when it has.
    RestartNode {
        /// Number of the node.
        node: usize,
    },
    /// Every node in turn is asked to stop and started again.
    RollingRestart {
        /// Time between two nodes.
        pause_ms: u64,
    },
    /// An operator begins to take a replica out of use; the instance goes on to run.
    LeaveReplica {
        /// Database of the group.
        database: String,
    },
    /// An operator changes the capacity in the tenant's template.
    ChangeCapacity {
        /// The new capacity.
        capacity: u32,
    },
}

impl Fault {
    /// Whether it is something operators do in the ordinary course, which no caller may notice.
    pub fn is_planned(&self) -> bool {
        matches!(
            self,
            Self::RestartNode { .. }
                | Self::RollingRestart { .. }
                | Self::LeaveReplica { .. }
                | Self::ChangeCapacity { .. }
        )
    }

    /// Database of the group that it concerns.
    fn database(&self) -> Option<&str> {
        match self {
            Self::KillPrimary { database, .. }
            | Self::CutPrimary { database }
            | Self::PausePrimary { database, .. }
            | Self::LoseAnswers { database, .. }
            | Self::LagReplicas { database, .. }
            | Self::LeaveReplica { database } => Some(database),
            _ => None,
        }
    }

    /// Number of the zone that it concerns.
    fn zone(&self) -> Option<usize> {
        match self {
            Self::CutZone { zone } | Self::KillZone { zone } => *zone,
            _ => None,
        }
    }

    /// Number of the node that it concerns.
    fn node(&self) -> Option<usize> {
        match self {
            Self::PauseNode { node, .. } | Self::KillNode { node, .. } => *node,
            Self::RestartNode { node } => Some(*node),
            _ => None,
        }
    }
}

fn invalid(field: &str, problem: impl Into<String>) -> DefinitionError {
    DefinitionError::Invalid { field: field.to_owned(), problem: problem.into() }
}

impl Scenario {
    /// Reads and checks a file.
    pub fn load(path: &Path) -> Result<Self, DefinitionError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|source| DefinitionError::Unreadable { path: name.clone(), source })?;
        let scenario: Self = toml::from_str(&text).map_err(|source| {
            DefinitionError::Malformed { path: name, source: Box::new(source) }
        })?;
        scenario.validate()?;
        Ok(scenario)
    }

    /// Checks every range and reference.
    pub fn validate(&self) -> Result<(), DefinitionError> {
        let deployment = &self.deployment;
        let counts = [
            ("deployment.zones", deployment.zones.len()),
            ("deployment.nodes_per_zone", deployment.nodes_per_zone),
            ("deployment.databases", deployment.databases.len()),
            ("deployment.instances", deployment.instances),
            ("workload.sessions", self.workload.sessions as usize),
            ("workload.mix", self.workload.mix.total() as usize),
            ("workload.registers", self.workload.registers as usize),
            ("workload.seats", self.workload.seats as usize),
        ];
        for (field, count) in counts {
            if count == 0 {
                return Err(invalid(field, "must be at least one"));
            }
        }
        let shares = [
            ("workload.keyed_share", self.workload.keyed_share),
            ("workload.extended_share", self.workload.extended_share),
            ("workload.roaming_share", self.workload.roaming_share),
            ("workload.token_share", self.workload.token_share),
        ];
        for (field, share) in shares {
            if !(0.0..=1.0).contains(&share) {
                return Err(invalid(field, "must lie between 0 and 1"));
            }
        }
        self.faults.iter().try_for_each(|scheduled| self.validate_fault(&scheduled.fault))
    }

    fn validate_fault(&self, fault: &Fault) -> Result<(), DefinitionError> {
        let deployment = &self.deployment;
        if let Some(database) = fault.database()
            && !deployment.databases.iter().any(|known| known == database)
        {
            return Err(invalid("faults.database", format!("no database {database:?}")));
        }
        if fault.zone().is_some_and(|zone| zone >= deployment.zones.len()) {
            return Err(invalid("faults.zone", "no zone of that number"));
        }
        if fault.node().is_some_and(|node| node >= self.node_count()) {
            return Err(invalid("faults.node", "no node of that number"));
        }
        Ok(())
    }

    /// Number of nodes.
    pub fn node_count(&self) -> usize {
        self.deployment.zones.len() * self.deployment.nodes_per_zone
    }

    /// How long callers send new requests.
    pub fn duration(&self) -> Duration {
        Duration::from_millis(self.duration_ms)
    }

    /// How long callers may go on resolving doubts after that.
    pub fn settle(&self) -> Duration {
        Duration::from_millis(self.settle_ms)
    }
}
