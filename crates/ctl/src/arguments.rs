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
    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// What to do.
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

/// show what the node says of itself
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArguments {}

/// list the live nodes and the revision that each has in force
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "nodes")]
pub struct NodesArguments {}

/// show what the node knows of the database groups and who owns their instances
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "groups")]
pub struct GroupsArguments {}

/// the configuration as a whole
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "config")]
pub struct ConfigArguments {
    /// what to do with it
    #[argh(subcommand)]
    pub command: ConfigCommand,
}

/// What to do with the configuration as a whole.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
#[allow(missing_docs, reason = "documented at the arguments of the same name")]
pub enum ConfigCommand {
    Status(ConfigStatusArguments),
    Apply(ApplyArguments),
}

/// show the newest revision and the nodes that do not have it in force
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct ConfigStatusArguments {}

/// failure zones, such as those that are drained
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "zone")]
pub struct ZoneArguments {
    /// what to do with them
    #[argh(subcommand)]
    pub command: EntryCommand,
}

/// database groups
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "group")]
pub struct GroupArguments {
    /// what to do with them
    #[argh(subcommand)]
    pub command: EntryCommand,
}

/// templates
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "template")]
pub struct TemplateArguments {
    /// what to do with them
    #[argh(subcommand)]
    pub command: EntryCommand,
}

/// tenants
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "tenant")]
pub struct TenantArguments {
    /// what to do with them
    #[argh(subcommand)]
    pub command: EntryCommand,
}

/// accounts
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "account")]
pub struct AccountArguments {
    /// what to do with them
    #[argh(subcommand)]
    pub command: EntryCommand,
}

/// What to do with entries of one kind.
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

/// write the entries of a file, all or none
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct ApplyArguments {
    /// TOML file with the entries
    #[argh(positional)]
    pub file: PathBuf,
    /// revision that you saw: an entry written later is a conflict (default: the file's own
    /// revision field, else the newest)
    #[argh(option)]
    pub revision: Option<u64>,
    /// who asks (default: variable USER)
    #[argh(option)]
    pub author: Option<String>,
    /// number of an earlier request whose outcome you did not learn
    #[argh(option)]
    pub request: Option<String>,
    /// return when every live node has it in force
    #[argh(switch)]
    pub wait: bool,
    /// longest wait in seconds (default 30)
    #[argh(option, default = "30")]
    pub wait_seconds: u64,
}

/// print an entry as TOML; change it and apply it
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

/// write a former version of an entry again
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "rollback")]
pub struct RollbackArguments {
    /// name of the entry
    #[argh(positional)]
    pub name: String,
    /// version to return to, as history shows it
    #[argh(positional)]
    pub version: u64,
    /// who asks (default: variable USER)
    #[argh(option)]
    pub author: Option<String>,
    /// return when every live node has it in force
    #[argh(switch)]
    pub wait: bool,
    /// longest wait in seconds (default 30)
    #[argh(option, default = "30")]
    pub wait_seconds: u64,
}

/// put the log lines of one request in order, with what nodes believed meanwhile
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "explain")]
pub struct ExplainCommand {
    /// a log of JSON lines; may be given more than once, for several nodes
    #[argh(option)]
    pub log: Vec<String>,
    /// the id of the request
    #[argh(positional)]
    pub id: String,
}

/// make the digest of a key, which is read from standard input, for an account's credentials
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "digest")]
pub struct DigestArguments {}

/// make the verifier of a password, which is read from standard input, for a tenant's logins
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "verifier")]
pub struct VerifierArguments {
    /// hash iterations: more make a stolen verifier harder to reverse, and logins slower
    #[argh(option, default = "DEFAULT_ITERATIONS")]
    pub iterations: u32,
}
