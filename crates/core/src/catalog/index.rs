//! A catalog with indexes for the lookups of every login and commit, built once on activation.

use std::collections::{HashMap, HashSet};
use std::ops::Deref;

use super::{Group, Instance, TenantParameters, VersionedCatalog};
use crate::credential::{Credential, CredentialDigest};
use crate::ids::{AccountName, GroupName, InstanceName, TenantName, ZoneName};

/// The credential belongs to no account or login, or a required credential is missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownCredential;

/// A catalog with indexes by login, open database, credential and instance.
#[derive(Clone, Debug, Default)]
pub struct IndexedCatalog {
    catalog: VersionedCatalog,
    logins: HashMap<String, TenantName>,
    databases: HashMap<String, TenantName>,
    credentials: HashMap<CredentialDigest, AccountName>,
    instances: HashMap<InstanceName, InstanceLocation>,
    drained: HashSet<ZoneName>,
    /// Operations per second that all accounts with a quota may request together.
    total_quota_rate: f64,
}

#[derive(Clone, Debug)]
struct InstanceLocation {
    group: GroupName,
    index: usize,
}

impl IndexedCatalog {
    /// Builds the indexes of a valid catalog.
    pub fn new(catalog: impl Into<VersionedCatalog>) -> Self {
        let catalog = catalog.into();
        let mut logins = HashMap::new();
        let mut databases = HashMap::new();
        for (name, tenant) in &catalog.tenants {
            logins.extend(tenant.logins.keys().map(|login| (login.clone(), name.clone())));
            let open = tenant.open_databases.iter();
            databases.extend(open.map(|database| (database.clone(), name.clone())));
        }
        let mut credentials = HashMap::new();
        for (name, account) in &catalog.accounts {
            credentials.extend(account.credentials.iter().map(|digest| (*digest, name.clone())));
        }
        let mut instances = HashMap::new();
        for (name, group) in &catalog.groups {
            for (index, instance) in group.instances.iter().enumerate() {
                let location = InstanceLocation { group: name.clone(), index };
                instances.insert(instance.name.clone(), location);
            }
        }
        let zones = catalog.zones.iter().filter(|(_, zone)| zone.drained);
        let drained = zones.map(|(name, _)| name.clone()).collect();
        let quotas = catalog.accounts.values().filter_map(|account| account.quota);
        let total_quota_rate = quotas.map(|quota| quota.per_second.count()).sum();
        Self { catalog, logins, databases, credentials, instances, drained, total_quota_rate }
    }

    /// The tenant to which a login belongs, and the login's verifier.
    pub fn login(&self, login: &str) -> Option<(&TenantName, &str)> {
        let name = self.logins.get(login)?;
        let verifier = self.catalog.tenants.get(name)?.logins.get(login)?;
        Some((name, verifier))
    }

    /// Parameters and group of a client that names an open database.
    pub fn open_database(&self, database: &str) -> Option<(TenantParameters, GroupName)> {
        let parameters = self.catalog.parameters(self.databases.get(database)?)?;
        let group = parameters.values.groups.first()?.clone();
        Some((parameters, group))
    }

    /// Current parameters and group of a client of `tenant` that named `database` at login.
    pub fn resolve(
        &self,
        tenant: &TenantName,
        database: &str,
    ) -> Option<(TenantParameters, GroupName)> {
        if self.catalog.tenants.get(tenant).is_none_or(|tenant| tenant.logins.is_empty()) {
            return self.open_database(database);
        }
        let parameters = self.catalog.parameters(tenant)?;
        let group = self.catalog.group_for(&parameters, database)?.clone();
        Some((parameters, group))
    }

    /// The account on whose behalf a client acts. `Err` if the tenant requires a credential and the
    /// client presented none that belongs to an account, or if the tenant no longer has the
    /// presented login with that verifier.
    pub fn account_of(
        &self,
        credential: &Credential,
        tenant: &TenantName,
    ) -> Result<Option<&AccountName>, UnknownCredential> {
        let is_required =
            self.catalog.tenants.get(tenant).is_some_and(|tenant| tenant.needs_credential);
        match credential {
            Credential::Anonymous if is_required => Err(UnknownCredential),
            Credential::Anonymous => Ok(None),
            Credential::Key(digest) => match self.credentials.get(digest) {
                None if is_required => Err(UnknownCredential),
                account => Ok(account),
            },
            Credential::Login { name, verifier } => match self.login(name) {
                Some((owner, known))
                    if owner == tenant && CredentialDigest::of(known) == *verifier =>
                {
                    Ok(None)
                }
                _ => Err(UnknownCredential),
            },
        }
    }

    /// An account's share of the total rate of all quotas; `None` for an account without a quota.
    pub fn quota_share(&self, account: &AccountName) -> Option<f64> {
        let quota = self.catalog.accounts.get(account)?.quota?;
        (self.total_quota_rate > 0.0).then(|| quota.per_second.count() / self.total_quota_rate)
    }

    /// The zones that are being drained.
    pub fn drained_zones(&self) -> &HashSet<ZoneName> {
        &self.drained
    }

    /// Whether an instance may receive new work: neither it nor its zone is being drained.
    pub fn accepts_work(&self, instance: &Instance) -> bool {
        !instance.leaving && !self.drained.contains(&instance.zone)
    }

    /// Whether no instance of a group may receive work because of zone drains: statements of its
    /// clients cannot be served until one of the drains is withdrawn.
    pub fn is_fully_drained(&self, group: &Group) -> bool {
        let in_drained_zone = |instance: &Instance| self.drained.contains(&instance.zone);
        group.instances.iter().any(in_drained_zone)
            && !group.instances.iter().any(|instance| self.accepts_work(instance))
    }

    /// An instance and the group that contains it.
    pub fn instance(&self, name: &InstanceName) -> Option<(&GroupName, &Instance)> {
        let location = self.instances.get(name)?;
        let group = self.catalog.groups.get(&location.group)?;
        Some((&location.group, group.instances.get(location.index)?))
    }
}

impl Deref for IndexedCatalog {
    type Target = VersionedCatalog;

    fn deref(&self) -> &VersionedCatalog {
        &self.catalog
    }
}
