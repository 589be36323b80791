//! The instances of a group, which crash and return during a run.

use std::time::{Duration, Instant};

use super::cuts::Cuts;
use crate::processes::ProcessPlatform;
use crate::standin::instances::InstanceGroup;

/// Time after which the crashed primary returns once another instance leads.
const FORMER_PRIMARY_RETURN_DELAY: Duration = Duration::from_millis(300);
/// Time for which a promoted instance leads before it crashes.
const SUCCESSOR_LIFETIME: Duration = Duration::from_millis(1_500);
/// Time after which a crashed instance returns if no other one leads.
const MAX_CRASH_DURATION: Duration = Duration::from_secs(25);

/// Crashes and returns of the instances of one group.
pub struct Instances {
    /// Number of the group.
    group: usize,
    /// When its primary crashes, until it has.
    primary_crash: Option<Instant>,
    choice_falls_behind: bool,
    crashed: Vec<CrashedInstance>,
}

struct CrashedInstance {
    name: String,
    since: Instant,
    /// When another instance was first seen to lead.
    replaced: Option<Instant>,
    return_delay: Duration,
}

impl Instances {
    /// The instances of a group whose primary crashes at `primary_crash`.
    pub fn new(group: usize, primary_crash: Instant, choice_falls_behind: bool) -> Self {
        let primary_crash = Some(primary_crash);
        Self { group, primary_crash, choice_falls_behind, crashed: Vec::new() }
    }

    fn group<'a>(&self, platform: &'a ProcessPlatform) -> &'a InstanceGroup {
        &platform.groups[self.group]
    }

    fn crash(&mut self, name: String, return_delay: Duration, platform: &ProcessPlatform) {
        self.group(platform).kill(&name);
        platform.journal.add(&format!("{name}, the primary, crashes"));
        let since = Instant::now();
        self.crashed.push(CrashedInstance { name, since, replaced: None, return_delay });
    }

    /// Whether the primary has crashed.
    pub fn has_begun(&self) -> bool {
        self.primary_crash.is_none()
    }

    /// Lets instances crash and return that are due.
    pub fn step(&mut self, platform: &ProcessPlatform, cuts: &Cuts) {
        if self.primary_crash.is_some_and(|at| Instant::now() >= at) {
            self.crash_primary(platform);
        }
        self.restart_crashed(platform);
        if self.choice_falls_behind && !cuts.are_over() {
            self.let_choice_fall_behind(platform, cuts);
        }
    }

    fn crash_primary(&mut self, platform: &ProcessPlatform) {
        if let Some(primary) = self.group(platform).primary() {
            self.primary_crash = None;
            self.crash(primary, FORMER_PRIMARY_RETURN_DELAY, platform);
        }
    }

    fn restart_crashed(&mut self, platform: &ProcessPlatform) {
        let group = self.group(platform);
        let primary = group.primary();
        self.crashed.retain_mut(|crashed| {
            if primary.is_some() {
                crashed.replaced.get_or_insert_with(Instant::now);
            }
            let is_replaced =
                crashed.replaced.is_some_and(|at| at.elapsed() >= crashed.return_delay);
            let returns = is_replaced || crashed.since.elapsed() >= MAX_CRASH_DURATION;
            if returns {
                group.restart(&crashed.name);
                platform.journal.add(&format!("{} returns, {primary:?} leads", crashed.name));
            }
            !returns
        });
    }

    /// Lets the instance that the first promotion call names miss all further commits, once a
    /// promotion has taken effect.
    fn let_choice_fall_behind(&mut self, platform: &ProcessPlatform, cuts: &Cuts) {
        let group = self.group(platform);
        let completed = platform.promotions.completed();
        let promotion = completed.iter().find(|promotion| promotion.group == group.name());
        let Some(promotion) = promotion else { return };
        let choice = cuts.first_choice().filter(|choice| group.instances().contains(choice));
        let choice = choice.unwrap_or_else(|| promotion.instance.clone());
        let leads = promotion.instance == choice;
        if leads && promotion.at.elapsed() < SUCCESSOR_LIFETIME {
            return;
        }
        self.choice_falls_behind = false;
        group.set_replication_blocked(&choice, true);
        platform.journal.add(&format!("{choice} receives nothing any more"));
        if leads {
            self.crash(choice, Duration::ZERO, platform);
        }
    }
}
