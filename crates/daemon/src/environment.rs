//! What a node runs in: the services that it uses, and what its callers and back ends speak.

use std::io;
use std::sync::Arc;

use kestrellock_core::credential_evidence::RevocationLimit;
use kestrellock_platform::control::{LineControl, PlatformPromotions};
use kestrellock_platform::coordination::StoreCoordination;
use kestrellock_platform::keys::{KeyStore, Mirror};
use kestrellock_platform::lines::Lines;
use kestrellock_platform::nodes::{EnteredNodes, NodeList};
use kestrellock_platform::source::MirroredCatalog;
use kestrellock_postgres::Postgres;
use kestrellock_protocol::Protocol;
use kestrellock_store::machines::{HttpMachineList, MachineList};
use kestrellock_store::source::CatalogSource;
use kestrellock_store::store::ConfigStore;

use crate::agent::promotion::ReplacementServices;
use crate::settings::Settings;

/// What a node runs in: the services that it uses, and what its callers and back ends speak.
pub struct Environment {
    /// Store of the configuration, as operators change it through this node.
    pub store: Arc<dyn ConfigStore>,
    /// Where the configuration in force comes from, if not from `store` as operators wrote it.
    pub catalog: Option<Box<dyn CatalogSource>>,
    /// Machine list, if there is one.
    pub machines: Option<Box<dyn MachineList>>,
    /// What replacing primaries needs, on a platform where groups do not elect.
    pub succession: Option<ReplacementServices>,
    /// Protocol of callers and back ends.
    pub protocol: Arc<dyn Protocol>,
}

impl Environment {
    /// PostgreSQL's protocol, the catalog in `store`, and the machine list of the settings.
    pub fn of_postgres(settings: &Settings, store: Arc<dyn ConfigStore>) -> Self {
        let list = settings.machine_list.as_ref();
        let machines = list.map(|url| Box::new(HttpMachineList::new(url.clone())) as Box<_>);
        Self { store, catalog: None, machines, succession: None, protocol: Arc::new(Postgres) }
    }

    /// The users' platform: its wire, its store, and the replacement of its primaries.
    pub fn of_platform(settings: &Settings) -> io::Result<Self> {
        let address = settings.store_endpoints.first().map_or("", String::as_str);
        let store = KeyStore::new(address);
        let mut mirror = Mirror::new(store.clone());
        if let Some(limit) = settings.revocation_limit {
            mirror = mirror.with_longest_call(RevocationLimit::new(limit).max_store_call());
        }
        let mirror = Arc::new(mirror);
        let entered_nodes = Arc::new(EnteredNodes::default());
        let catalog = MirroredCatalog::start(mirror.clone(), rand::random)?;
        let promotions = settings.promotion_endpoint.as_deref().unwrap_or_default();
        let succession = ReplacementServices {
            coordination: Arc::new(StoreCoordination::new(
                store.clone(),
                mirror.clone(),
                entered_nodes.clone(),
            )),
            control: Arc::new(LineControl::default()),
            promotions: Arc::new(PlatformPromotions::new(promotions)),
        };
        Ok(Self {
            store: Arc::new(store.clone()),
            catalog: Some(Box::new(catalog)),
            machines: Some(Box::new(NodeList::new(store, mirror, entered_nodes))),
            succession: Some(succession),
            protocol: Arc::new(Lines),
        })
    }
}
