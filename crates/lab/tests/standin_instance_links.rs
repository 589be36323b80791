//! The stand-in of the users' instances: which of them reach each other.

use std::time::{Duration, Instant};

use kestrellock_core::ids::{GroupName, InstanceName, NodeName};
use kestrellock_core::promotion::PromotionAnswer;
use kestrellock_lab::platform::client::LineSession;
use kestrellock_lab::platform::{GROUPS, ZONES, wait};
use kestrellock_lab::standin::instances::{InstanceGroup, InstanceOptions, PromotionService};
use kestrellock_lab::standin::store::{Dialect, PlatformStore};
use kestrellock_net::source::SourceAddress;
use kestrellock_platform::control::PlatformPromotions;
use kestrellock_store::control::{PromotionRequest, PromotionService as _};

/// Time that the promotion call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A group of three instances, of which the first is primary.
struct World {
    group: InstanceGroup,
    promotions: PromotionService,
    /// Kept so that it goes on.
    _store: PlatformStore,
}

impl World {
    fn start() -> Self {
        let store = PlatformStore::start_as(Dialect::Platform).expect("a store");
        let options = InstanceOptions {
            group: GROUPS[0].to_owned(),
            zones: ZONES.map(str::to_owned).into(),
            synchronous: 1,
            lag: Duration::ZERO,
            connections: 40,
            slots: 3,
        };
        let group = InstanceGroup::start(options, store.writer()).expect("a group");
        let promotions =
            PromotionService::start(std::slice::from_ref(&group), Duration::ZERO).expect("it");
        Self { group, promotions, _store: store }
    }

    fn promote(&self, instance: &str) {
        let service =
            PlatformPromotions::new(&self.promotions.address().to_string(), SourceAddress::ANY);
        let outcome = service.promote(&PromotionRequest {
            group: GroupName::new(GROUPS[0]),
            instance: InstanceName::new(instance),
            coordinator: NodeName::new("test"),
            fence: 1,
            deadline: Instant::now() + CALL_TIMEOUT,
        });
        assert_eq!(outcome.answer, PromotionAnswer::Accepted, "{:?}", outcome.failure);
        wait("it leads", || self.group.primary().as_deref() == Some(instance)).expect("in time");
    }

    /// Whether an instance acknowledges a write.
    fn acknowledges(&self, instance: &str) -> bool {
        let address = self.group.address(instance).expect("an address");
        let mut session = LineSession::open(address, GROUPS[0], "direct").expect("it opens");
        session.run("WRITE thing data").expect("an answer").is_success()
    }
}

/// Guards against a stand-in in which every replica reaches the successor as soon as the promotion
/// releases it.
#[test]
fn a_replica_that_does_not_reach_the_successor_confirms_commits_of_the_old_primary() {
    let world = World::start();
    let group = &world.group;
    let names = group.instances();
    let [former, successor, released] = [&names[0], &names[1], &names[2]];
    assert!(world.acknowledges(former));
    group.set_separated(released, successor, true);
    group.set_separated(former, successor, true);
    world.promote(successor);
    assert!(world.acknowledges(former));
    let old_log = group.log(former);
    assert_eq!(group.log(released), old_log);
    assert!(group.log(successor).len() < old_log.len());

    group.set_separated(successor, released, false);
    assert!(world.acknowledges(successor));
    assert_eq!(group.log(released), group.log(successor));
    assert_eq!(group.log(former), old_log);
}
