//! The external services that a node uses, and the protocol of its clients and instances. They are
//! either plain PostgreSQL groups with an etcd store, or the users' platform.

use std::io;
use std::sync::Arc;

use kestrellock_core::credential_evidence::RevocationLimit;
use kestrellock_platform::control::{LineControl, PlatformPromotions};
use kestrellock_platform::coordination::StoreCoordination;
use kestrellock_platform::keys::{KeyStore, Mirror};
use kestrellock_platform::lines::LineProtocol;
use kestrellock_platform::nodes::{NodeList, RegisteredNodes};
use kestrellock_platform::source::MirroredCatalog;
use kestrellock_postgres::Postgres;
use kestrellock_protocol::Protocol;
use kestrellock_store::machines::{HttpMachineList, MachineList};
use kestrellock_store::source::CatalogSource;
use kestrellock_store::store::ConfigStore;

use crate::agent::promotion::ReplacementServices;
use crate::settings::Settings;

/// The external services that a node uses, and the protocol of its clients and instances.
pub struct Environment {
    /// Store of the configuration that operators change through this node.
    pub store: Arc<dyn ConfigStore>,
    /// Source of the active configuration; `None` if that is the operators' configuration in
    /// `store`.
    pub catalog: Option<Box<dyn CatalogSource>>,
    /// Machine list, if there is one.
    pub machine_list: Option<Box<dyn MachineList>>,
    /// Services for primary replacement, on a platform whose groups do not elect their primaries.
    pub replacement: Option<ReplacementServices>,
    /// Protocol of clients and instances.
    pub protocol: Arc<dyn Protocol>,
}

impl Environment {
    /// PostgreSQL's protocol, the catalog in `store`, and the machine list of the settings.
    pub fn of_postgres(settings: &Settings, store: Arc<dyn ConfigStore>) -> Self {
        let list = settings.machine_list.as_ref();
        let source = settings.source_address();
        let machine_list =
            list.map(|url| Box::new(HttpMachineList::new(url.clone(), source)) as Box<_>);
        Self { store, catalog: None, machine_list, replacement: None, protocol: Arc::new(Postgres) }
    }

    /// The users' platform: its protocol, its store, and the replacement of its primaries.
    pub fn of_platform(settings: &Settings) -> io::Result<Self> {
        let address = settings.store_endpoints.first().map_or("", String::as_str);
        let source = settings.source_address();
        let store = KeyStore::new(address, source);
        let mut mirror = Mirror::new(store.clone());
        if let Some(limit) = settings.revocation_limit {
            mirror = mirror.with_max_watch_wait(RevocationLimit::new(limit).max_store_call());
        }
        let mirror = Arc::new(mirror);
        let registered_nodes = Arc::new(RegisteredNodes::default());
        let catalog = MirroredCatalog::start(mirror.clone(), rand::random)?;
        let promotions = settings.promotion_endpoint.as_deref().unwrap_or_default();
        let replacement = ReplacementServices {
            coordination: Arc::new(StoreCoordination::new(
                store.clone(),
                mirror.clone(),
                registered_nodes.clone(),
            )),
            control: Arc::new(LineControl::new(source)),
            promotions: Arc::new(PlatformPromotions::new(promotions, source)),
        };
        Ok(Self {
            store: Arc::new(store.clone()),
            catalog: Some(Box::new(catalog)),
            machine_list: Some(Box::new(NodeList::new(store, mirror, registered_nodes))),
            replacement: Some(replacement),
            protocol: Arc::new(LineProtocol),
        })
    }
}
