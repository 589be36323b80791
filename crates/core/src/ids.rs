//! Newtypes for every name and number that identifies something.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps `text` without checking it.
            pub fn new(text: impl AsRef<str>) -> Self {
                Self(Arc::from(text.as_ref()))
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}({})", stringify!($name), self.0)
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self::new(text)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }
    };
}

name_type!(
    /// A node: one running `kestrellockd`, named in its settings.
    NodeName
);
name_type!(
    /// A failure zone of the platform.
    ZoneName
);
name_type!(
    /// A database group: one logical database and the instances that replicate it.
    GroupName
);
name_type!(
    /// One PostgreSQL server process of a database group.
    InstanceName
);
name_type!(
    /// A tenant of the customer; a client's login determines it.
    TenantName
);
name_type!(
    /// A customer whose clients present its credentials.
    AccountName
);
name_type!(
    /// A template from which tenants take their parameters.
    TemplateName
);

/// Identifies a server lease: the exclusive use of one pooled server connection by one client, from
/// the first statement of a transaction to its end. The front assigns it. It is unique across
/// restarts, because `incarnation` differs between processes with the same node name.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaseId {
    /// The node whose front requested the lease.
    pub node: NodeName,
    /// The incarnation of that node.
    pub incarnation: u64,
    /// The shard of the front inside its node.
    pub shard: u16,
    /// Serial number within the shard.
    pub serial: u64,
}
