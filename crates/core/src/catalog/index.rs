//! A catalog with the lookups that every login and commit needs, built once when put in force.

use std::collections::HashMap;
use std::ops::Deref;

use super::{Instance, VersionedCatalog};
use crate::ids::{GroupName, InstanceName, TenantName};

/// A catalog that finds logins and instances without a scan.
#[derive(Clone, Debug, Default)]
pub struct IndexedCatalog {
    catalog: VersionedCatalog,
    logins: HashMap<String, TenantName>,
    instances: HashMap<InstanceName, InstancePlace>,
}

#[derive(Clone, Debug)]
struct InstancePlace {
    group: GroupName,
    index: usize,
}

impl IndexedCatalog {
    /// Builds the indexes of a valid catalog.
    pub fn new(catalog: impl Into<VersionedCatalog>) -> Self {
        let catalog = catalog.into();
        let mut logins = HashMap::new();
        for (name, tenant) in &catalog.tenants {
            logins.extend(tenant.logins.keys().map(|login| (login.clone(), name.clone())));
        }
        let mut instances = HashMap::new();
        for (name, group) in &catalog.groups {
            for (index, instance) in group.instances.iter().enumerate() {
                let place = InstancePlace { group: name.clone(), index };
                instances.insert(instance.name.clone(), place);
            }
        }
        Self { catalog, logins, instances }
    }

    /// The tenant a login belongs to, and the login's verifier.
    pub fn login(&self, login: &str) -> Option<(&TenantName, &str)> {
        let name = self.logins.get(login)?;
        let verifier = self.catalog.tenants.get(name)?.logins.get(login)?;
        Some((name, verifier))
    }

    /// The group that holds an instance, and the instance.
    pub fn instance(&self, name: &InstanceName) -> Option<(&GroupName, &Instance)> {
        let place = self.instances.get(name)?;
        let group = self.catalog.groups.get(&place.group)?;
        Some((&place.group, group.instances.get(place.index)?))
    }
}

impl Deref for IndexedCatalog {
    type Target = VersionedCatalog;

    fn deref(&self) -> &VersionedCatalog {
        &self.catalog
    }
}
