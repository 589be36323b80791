//! Merges the parameters of a tenant: the values of its template, with the tenant's overrides.

use super::{Catalog, Template, Tenant};
use crate::ids::{GroupName, TenantName};

/// The merged parameters of a tenant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantParameters {
    /// The tenant.
    pub tenant: TenantName,
    /// Template values with the tenant's overrides applied.
    pub values: Template,
}

impl Catalog {
    /// Number of statements that a tenant may run at once on an instance.
    pub fn capacity(&self, tenant: &TenantName) -> Option<u32> {
        let tenant = self.tenants.get(tenant)?;
        tenant.capacity.or_else(|| Some(self.templates.get(&tenant.template)?.capacity))
    }

    /// Parameters of a tenant; `None` if the tenant or its template is unknown.
    pub fn parameters(&self, tenant: &TenantName) -> Option<TenantParameters> {
        self.merge(tenant, self.tenants.get(tenant)?)
    }

    pub(super) fn merge(&self, name: &TenantName, tenant: &Tenant) -> Option<TenantParameters> {
        let mut values = self.templates.get(&tenant.template)?.clone();
        if let Some(groups) = &tenant.groups {
            values.groups.clone_from(groups);
        }
        values.max_staleness_ms = tenant.max_staleness_ms.unwrap_or(values.max_staleness_ms);
        values.capacity = tenant.capacity.unwrap_or(values.capacity);
        values.deadline_ms = tenant.deadline_ms.unwrap_or(values.deadline_ms);
        Some(TenantParameters { tenant: name.clone(), values })
    }

    /// The tenant's group with the given database name.
    pub fn group_for<'a>(
        &self,
        parameters: &'a TenantParameters,
        database: &str,
    ) -> Option<&'a GroupName> {
        let serves = |name: &&GroupName| {
            self.groups.get(*name).is_some_and(|group| group.database == database)
        };
        parameters.values.groups.iter().find(serves)
    }
}
