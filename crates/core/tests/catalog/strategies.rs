//! Strategies that generate arbitrary catalogs, most of them faulty.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use kestrellock_core::catalog::{
    Account, Catalog, Edition, Elector, Group, Instance, Milliseconds, Operations, Priority, Quota,
    Revision, Template, Tenant, Zone,
};
use kestrellock_core::confirmation::ConfirmationRule;
use kestrellock_core::credential::CredentialDigest;
use kestrellock_core::ids::{
    AccountName, GroupName, InstanceName, TemplateName, TenantName, ZoneName,
};
use proptest::collection::{btree_map, vec};
use proptest::option;
use proptest::prelude::*;

fn name() -> impl Strategy<Value = String> {
    prop_oneof![4 => "[a-z][a-z0-9-]{0,4}", 1 => any::<String>()]
}

fn number() -> impl Strategy<Value = u64> {
    // TOML's integers are signed.
    prop_oneof![4 => 0..50_u64, 1 => 0..=i64::MAX as u64]
}

prop_compose! {
    fn instance()(
        name in name(), zone in name(), host in any::<[u8; 4]>(), port in any::<u16>(),
        slots in prop_oneof![4 => 1..20_u32, 1 => any::<u32>()],
        connections in prop_oneof![4 => 1..50_u32, 1 => any::<u32>()], leaving in any::<bool>(),
    ) -> Instance {
        let address = SocketAddr::from((host, port));
        let (name, zone) = (InstanceName::new(name), ZoneName::new(zone));
        Instance { incarnation: None, announced_role: None, name, zone, address, slots, connections, leaving }
    }
}

prop_compose! {
    fn group()(
        database in name(), user in name(), instances in vec(instance(), 0..4),
        is_reported in any::<bool>(),
    ) -> Group {
        let (elector, connections) =
            if is_reported { (Elector::Proxy, 20) } else { (Elector::Group, 0) };
        Group {
            promoted: None, connections, elector, synchronous_replicas: 0, database, user, instances,
            confirmation: ConfirmationRule::default(),
        }
    }
}

prop_compose! {
    pub fn template()(
        groups in vec(name(), 0..3), staleness in number(), capacity in any::<u32>(),
        deadline in number(), order in any::<bool>(),
    ) -> Template {
        Template { consistency: Default::default(), target_latency_ms: None, transaction_idle_ms: None,
            groups: groups.iter().map(GroupName::new).collect(),
            max_staleness_ms: Milliseconds(staleness),
            capacity,
            write_priority: if order { Priority::Order } else { Priority::Normal },
            read_priority: Priority::Browse,
            deadline_ms: Milliseconds(deadline),
        }
    }
}

prop_compose! {
    pub fn tenant()(
        template in name(), groups in option::of(vec(name(), 0..3)),
        staleness in option::of(number()), capacity in option::of(any::<u32>()),
        deadline in option::of(number()), logins in btree_map(name(), name(), 0..3),
        needs_credential in any::<bool>(),
    ) -> Tenant {
        Tenant { open_databases: Default::default(), needs_credential,
            template: TemplateName::new(template),
            groups: groups.map(|groups| groups.iter().map(GroupName::new).collect()),
            max_staleness_ms: staleness.map(Milliseconds),
            capacity,
            deadline_ms: deadline.map(Milliseconds),
            logins,
        }
    }
}

prop_compose! {
    fn account()(
        credentials in vec(name(), 0..3),
        quota in option::of((0.0..1e9_f64, 0.0..1e9_f64)),
    ) -> Account {
        Account {
            credentials: credentials.iter().map(|one| CredentialDigest::of(one)).collect(),
            quota: quota.map(|(per_second, burst)| Quota {
                per_second: Operations::new(per_second).expect("in range"),
                burst: Operations::new(burst).expect("in range"),
            }),
        }
    }
}

prop_compose! {
    pub fn catalog()(
        revision in number(),
        edition in number(),
        groups in btree_map(name(), group(), 0..4),
        templates in btree_map(name(), template(), 0..4),
        tenants in btree_map(name(), tenant(), 0..4),
        accounts in btree_map(name(), account(), 0..4),
        zones in btree_map(name(), any::<bool>(), 0..4),
    ) -> Catalog {
        let groups: BTreeMap<_, _> =
            groups.into_iter().map(|(name, value)| (GroupName::new(name), value)).collect();
        let templates = templates.into_iter();
        let tenants = tenants.into_iter();
        let zones = zones.into_iter();
        Catalog {
            zones: zones.map(|(name, drained)| (ZoneName::new(name), Zone { drained })).collect(),
            accounts: accounts.into_iter().map(|(name, value)| (AccountName::new(name), value)).collect(),
            revision: Revision(revision),
            edition: Edition(edition),
            groups,
            templates: templates.map(|(name, value)| (TemplateName::new(name), value)).collect(),
            tenants: tenants.map(|(name, value)| (TenantName::new(name), value)).collect(),
        }
    }
}
