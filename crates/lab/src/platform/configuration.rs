//! The configurations that a platform's store holds.

use kestrellock_core::catalog::Consistency;
use kestrellock_platform::standin::entries::{
    AccountEntry, CONFIGURATION_KEY, GroupEntry, RouteEntry, configuration,
    configuration_with_accounts,
};

use super::{Customer, GROUPS, MAX_STALENESS_MS, Platform, TIMEOUT_MS, database, extra_database};

impl Platform {
    /// Writes a configuration with a route of each consistency to each group, except for the
    /// databases in `without`.
    pub fn configure(&mut self, without: &[&str]) {
        self.write_configuration(&GROUPS, without, &[]);
    }

    /// Writes a configuration with only these groups and the routes to them.
    pub fn configure_groups(&mut self, groups: &[&str]) {
        self.write_configuration(groups, &[], &[]);
    }

    /// Writes a configuration in which the route of `database` leads to `group`.
    pub fn configure_moved(&mut self, database: &str, group: &'static str) {
        self.moved = Some((database.to_owned(), group));
        self.write_configuration(&GROUPS, &[], &[]);
        self.moved = None;
    }

    /// Writes a configuration with these customers. Later configurations have them too.
    pub fn configure_customers(&mut self, customers: &[Customer]) {
        self.customers = Some(customers.to_vec());
        self.write_configuration(&GROUPS, &[], &[]);
    }

    /// Writes a configuration with one extra route for each of `timeouts_ms`, the statement timeout
    /// of that route in milliseconds.
    pub fn configure_extra_routes(&mut self, timeouts_ms: &[u64]) {
        self.write_configuration(&GROUPS, &[], timeouts_ms);
    }

    fn write_configuration(
        &mut self,
        groups: &[&str],
        without: &[&str],
        extra_timeouts_ms: &[u64],
    ) {
        self.version += 1;
        let extra_routes: Vec<(String, u64)> = extra_timeouts_ms
            .iter()
            .enumerate()
            .map(|(number, timeout_ms)| (extra_database(number), *timeout_ms))
            .collect();
        let mut names: Vec<(String, &str, Consistency)> = Vec::new();
        for group in groups {
            for consistency in [Consistency::Primary, Consistency::Bounded, Consistency::Session] {
                names.push((database(group, consistency), group, consistency));
            }
        }
        let mut routes: Vec<RouteEntry> = names
            .iter()
            .filter(|(database, ..)| !without.contains(&database.as_str()))
            .map(|(database, group, consistency)| RouteEntry {
                name: database,
                database,
                group: match &self.moved {
                    Some((moved, to)) if moved == database => to,
                    _ => group,
                },
                consistency: *consistency,
                max_staleness_ms: MAX_STALENESS_MS,
                timeout_ms: TIMEOUT_MS,
            })
            .collect();
        routes.extend(extra_routes.iter().map(|(database, timeout_ms)| RouteEntry {
            name: database,
            database,
            group: GROUPS[0],
            consistency: Consistency::Session,
            max_staleness_ms: MAX_STALENESS_MS,
            timeout_ms: *timeout_ms,
        }));
        let groups: Vec<GroupEntry> = groups
            .iter()
            .map(|name| GroupEntry {
                name,
                connections: self.options.max_connections as u32,
                synchronous: self.options.synchronous_replicas as u32,
            })
            .collect();
        let value = self.configuration_value(&routes, &groups);
        self.store.put(CONFIGURATION_KEY, &value);
    }

    fn configuration_value(&self, routes: &[RouteEntry], groups: &[GroupEntry]) -> Vec<u8> {
        let Some(customers) = &self.customers else {
            return configuration(self.version, routes, groups);
        };
        let keys: Vec<Vec<&str>> = customers
            .iter()
            .map(|customer| customer.keys.iter().map(String::as_str).collect())
            .collect();
        let accounts: Vec<AccountEntry> = customers
            .iter()
            .zip(&keys)
            .map(|(customer, keys)| AccountEntry {
                name: &customer.name,
                keys,
                per_second: customer.quota.0,
                burst: customer.quota.1,
            })
            .collect();
        configuration_with_accounts(self.version, routes, groups, &accounts)
    }
}
