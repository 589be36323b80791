//! A catalog with the lookups that every login and commit needs, built once when put in force.

use std::collections::{HashMap, HashSet};
use std::ops::Deref;

use super::{Group, Instance, TenantParameters, VersionedCatalog};
use crate::credential::{Credential, CredentialDigest};
use crate::ids::{AccountName, GroupName, InstanceName, TenantName, ZoneName};

/// A credential that stands for nobody.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownCredential;

/// A catalog that finds logins and instances without a scan.
#[derive(Clone, Debug, Default)]
pub struct IndexedCatalog {
    catalog: VersionedCatalog,
    logins: HashMap<String, TenantName>,
    databases: HashMap<String, TenantName>,
    credentials: HashMap<CredentialDigest, AccountName>,
    instances: HashMap<InstanceName, InstancePlace>,
    drained: HashSet<ZoneName>,
    /// Operations in a second that all accounts with a quota may ask together.
    total_quota_rate: f64,
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
                let place = InstancePlace { group: name.clone(), index };
                instances.insert(instance.name.clone(), place);
            }
        }
        let zones = catalog.zones.iter().filter(|(_, zone)| zone.drained);
        let drained = zones.map(|(name, _)| name.clone()).collect();
        let quotas = catalog.accounts.values().filter_map(|account| account.quota);
        let whole_rate = quotas.map(|quota| quota.per_second.count()).sum();
        Self {
            catalog,
            logins,
            databases,
            credentials,
            instances,
            drained,
            total_quota_rate: whole_rate,
        }
    }

    /// The tenant a login belongs to, and the login's verifier.
    pub fn login(&self, login: &str) -> Option<(&TenantName, &str)> {
        let name = self.logins.get(login)?;
        let verifier = self.catalog.tenants.get(name)?.logins.get(login)?;
        Some((name, verifier))
    }

    /// Parameters and group of whoever names an open database.
    pub fn open_database(&self, database: &str) -> Option<(TenantParameters, GroupName)> {
        let parameters = self.catalog.parameters(self.databases.get(database)?)?;
        let group = parameters.values.groups.first()?.clone();
        Some((parameters, group))
    }

    /// What a tenant that named `database` at its login reaches now.
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

    /// The account that a caller asks for; `Err` where the tenant needs a credential and the one that was
    /// shown stands for nobody, or is a login that the tenant does not have any more.
    pub fn account_of(
        &self,
        credential: &Credential,
        tenant: &TenantName,
    ) -> Result<Option<&AccountName>, UnknownCredential> {
        let needs = self.catalog.tenants.get(tenant).is_some_and(|tenant| tenant.needs_credential);
        match credential {
            Credential::Anonymous if needs => Err(UnknownCredential),
            Credential::Anonymous => Ok(None),
            Credential::Key(digest) => match self.credentials.get(digest) {
                None if needs => Err(UnknownCredential),
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

    /// What an account may ask, as a part of what all may; `None` for one without a quota.
    pub fn quota_share(&self, account: &AccountName) -> Option<f64> {
        let quota = self.catalog.accounts.get(account)?.quota?;
        (self.total_quota_rate > 0.0).then(|| quota.per_second.count() / self.total_quota_rate)
    }

    /// The zones that are being drained.
    pub fn drained_zones(&self) -> &HashSet<ZoneName> {
        &self.drained
    }

    /// Whether an instance may get new work: it is not being taken out of use, nor is its zone drained.
    pub fn accepts_work(&self, instance: &Instance) -> bool {
        !instance.leaving && !self.drained.contains(&instance.zone)
    }

    /// Whether no instance of a group may get work, because zones are being drained: what its callers ask
    /// cannot be served until one of the zones is taken back.
    pub fn is_fully_drained(&self, group: &Group) -> bool {
        let in_drained_zone = |instance: &Instance| self.drained.contains(&instance.zone);
        group.instances.iter().any(in_drained_zone)
            && !group.instances.iter().any(|instance| self.accepts_work(instance))
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
