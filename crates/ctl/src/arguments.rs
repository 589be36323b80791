//! The command line of `kestrellockctl`.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use kestrellock_core::scram::DEFAULT_ITERATIONS;

/// kestrellock operators' command line
#[derive(Debug, FromArgs)]
pub struct Arguments {
    /// print the version and exit
    #[argh(switch)]
    pub version: bool,
    /// admin address of any node (default 127.0.0.1:7433)
    #[argh(option, short = 'n', default = "SocketAddr::from(([127, 0, 0, 1], 7433))")]
    pub node: SocketAddr,
    /// file that holds the administration token (default: variable KESTRELLOCK_ADMIN_TOKEN)
    #[argh(option)]
    pub token_file: Option<PathBuf>,
    /// command to run
    #[argh(subcommand)]
    pub command: Command,
}

/// Command to run.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
#[allow(missing_docs, reason = "documented at the arguments of the same name")]
pub enum Command {
    Status(StatusArguments),
    Nodes(NodesArguments),
    Groups(GroupsArguments),
    Config(ConfigArguments),
    Zone(ZoneArguments),
    Group(GroupArguments),
    Template(TemplateArguments),
    Tenant(TenantArguments),
    Account(AccountArguments),
    Explain(ExplainCommand),
    Verifier(VerifierArguments),
    Digest(DigestArguments),
}

/// show the node's own status
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArguments {}

/// list the live nodes and the revision that is active on each
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "nodes")]
pub struct NodesArguments {}

/// show the database groups as the node knows them, and the owners of their instances
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "groups")]
pub struct GroupsArguments {}

/// show or apply the configuration as a whole
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "config")]
pub struct ConfigArguments {
    /// command to run
    #[argh(subcommand)]
    pub command: ConfigCommand,
}

/// Command on the configuration as a whole.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
#[allow(missing_docs, reason = "documented at the arguments of the same name")]
pub enum ConfigCommand {
    Status(ConfigStatusArguments),
    Apply(ApplyArguments),
}

/// show the newest revision and the nodes on which it is not active yet
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct ConfigStatusArguments {}

/// show or change failure zones, for example which are drained
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "zone")]
pub struct ZoneArguments {
    /// command to run
    #[argh(subcommand)]
    pub command: EntryCommand,
}

/// show or change database groups
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "group")]
pub struct GroupArguments {
    /// command to run
    #[argh(subcommand)]
    pub command: EntryCommand,
}

/// show or change templates
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "template")]
pub struct TemplateArguments {
    /// command to run
    #[argh(subcommand)]
    pub command: EntryCommand,
}

/// show or change tenants
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "tenant")]
pub struct TenantArguments {
    /// command to run
    #[argh(subcommand)]
    pub command: EntryCommand,
}

/// show or change accounts
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "account")]
pub struct AccountArguments {
    /// command to run
    #[argh(subcommand)]
    pub command: EntryCommand,
}

/// Command on entries of one kind.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
#[allow(missing_docs, reason = "documented at the arguments of the same name")]
pub enum EntryCommand {
    Apply(ApplyArguments),
    Get(GetArguments),
    List(ListArguments),
    Diff(DiffArguments),
    History(HistoryArguments),
    Rollback(RollbackArguments),
}

/// apply the entries of a file, all or none
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct ApplyArguments {
    /// TOML file with the entries
    #[argh(positional)]
    pub file: PathBuf,
    /// revision that the change is based on; entries written after it are conflicts (default: the
    /// revision field of the file, else the newest revision)
    #[argh(option)]
    pub revision: Option<u64>,
    /// author of the change (default: variable USER)
    #[argh(option)]
    pub author: Option<String>,
    /// id of an earlier request with unknown outcome, to repeat it
    #[argh(option)]
    pub request: Option<String>,
    /// wait until the change is active on every live node
    #[argh(switch)]
    pub wait: bool,
    /// longest wait in seconds (default 30)
    #[argh(option, default = "30")]
    pub wait_seconds: u64,
}

/// print an entry as TOML, in the form that apply reads
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "get")]
pub struct GetArguments {
    /// name of the entry
    #[argh(positional)]
    pub name: String,
}

/// list the entries
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub struct ListArguments {}

/// show what applying a file would change
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct DiffArguments {
    /// TOML file with the entries
    #[argh(positional)]
    pub file: PathBuf,
}

/// show who changed an entry and when
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "history")]
pub struct HistoryArguments {
    /// name of the entry
    #[argh(positional)]
    pub name: String,
}

/// apply an earlier version of an entry again
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "rollback")]
pub struct RollbackArguments {
    /// name of the entry
    #[argh(positional)]
    pub name: String,
    /// version to restore, as shown by history
    #[argh(positional)]
    pub version: u64,
    /// author of the change (default: variable USER)
    #[argh(option)]
    pub author: Option<String>,
    /// wait until the change is active on every live node
    #[argh(switch)]
    pub wait: bool,
    /// longest wait in seconds (default 30)
    #[argh(option, default = "30")]
    pub wait_seconds: u64,
}

/// show the log lines of one request in order, with the state changes of the nodes meanwhile
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "explain")]
pub struct ExplainCommand {
    /// log file with JSON lines; may be repeated, once per node
    #[argh(option)]
    pub log: Vec<String>,
    /// id of the request
    #[argh(positional)]
    pub id: String,
}

/// compute the digest of a key from standard input, for an account's credentials
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "digest")]
pub struct DigestArguments {}

/// compute the verifier of a password from standard input, for a tenant's logins
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "verifier")]
pub struct VerifierArguments {
    /// hash iterations; more iterations make a stolen verifier harder to reverse, but logins slower
    #[argh(option, default = "DEFAULT_ITERATIONS")]
    pub iterations: u32,
}
