//! Decides whether this node is isolated: whether it reaches neither most of the listed nodes nor
//! anything outside its own part of the network.
//!
//! An isolated node cannot serve most statements, but its clients stay with it while it reports to
//! be ready. The decision is made from the answers to the node's own questions, because these show
//! that packets pass in both directions. A steady probe of other zones and reports of trouble from
//! other components start a survey. The survey asks samples of nodes, then tries instances in zones
//! where no node answers. Only a survey without any answer from outside for its whole duration
//! isolates the node. Conditions that all nodes have in common (the store is down, all nodes have
//! just started, many nodes have died, this process stood still) never do.

mod answers;
mod probe;
mod reach;
mod sample;
pub mod silent_zones;
mod surroundings;

use std::time::Duration;

use crate::ids::{InstanceName, NodeName, ZoneName};
use crate::membership::RandomSource;

use self::answers::Answers;
use self::probe::ZoneProbe;
pub use self::reach::Observation;
use self::reach::Reach;
pub use self::surroundings::{ListedNode, Surroundings};

/// Interval between two rounds of questions of a survey. Short rounds of few questions also find
/// short times in which the network works, as during a network partition that heals and returns.
const SURVEY_ROUND_INTERVAL: Duration = Duration::from_millis(50);
/// Time without an answer from any node of a zone after which its instances are tried.
const NODE_PERIOD: Duration = Duration::from_millis(400);
/// Length of a survey: [`NODE_PERIOD`], and the time to connect to instances of silent zones. The
/// node is isolated if nothing outside its part has answered during all of it.
const SURVEY_PERIOD: Duration = Duration::from_millis(550);
/// Shortest time between the end of a survey and the start of the next one. It bounds the messages
/// of a node that often hears of trouble, such as one in an overloaded cluster.
const SURVEY_COOLDOWN: Duration = Duration::from_millis(300);
/// How long an isolated node must reach the larger part before its isolation ends.
const RECOVERY_PERIOD: Duration = Duration::from_millis(500);
/// Time for which an answer shows that an isolated node reaches a zone again. It is shorter than
/// [`RECOVERY_PERIOD`], so that one answer during a short interruption of the network partition
/// does not end the isolation.
const ANSWER_LIFETIME: Duration = Duration::from_millis(400);
/// Interval between two rounds of questions of an isolated node.
const ISOLATED_ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between two attempts of an isolated node to connect to instances.
const INSTANCE_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which an answer of an instance to an isolated node counts. It is longer
/// than [`INSTANCE_RETRY_INTERVAL`], so that the answer to one attempt counts until the next one.
const INSTANCE_ANSWER_LIFETIME: Duration = Duration::from_millis(1200);
/// A longer gap between two ticks means that this process stood still, so that missing answers
/// show nothing.
const MAX_TICK_GAP: Duration = Duration::from_millis(250);
/// Nodes of each zone asked in the first round. Usually one of them answers and ends the survey.
const FIRST_ROUND_SAMPLE: usize = 3;
/// Nodes of each zone asked in each later round.
const LATER_ROUND_SAMPLE: usize = 2;
/// Least number of nodes of which an estimate for a zone is made, if the zone has as many. With
/// fewer, the death of half of the nodes could look like a network partition. The rounds of a
/// survey ask more than that before instances are tried.
const FULL_SAMPLE: usize = 8;
/// Nodes of each other zone that an isolated node pings in each round.
const ISOLATED_SAMPLE: usize = 2;
/// Nodes of its own zone that an isolated node pings in each round. Two rounds within
/// [`ANSWER_LIFETIME`] make a full sample, from which the reached part of the zone is estimated.
const ISOLATED_OWN_ZONE_SAMPLE: usize = 4;
/// Instances of a silent zone to which the node tries to connect at once.
const INSTANCE_SAMPLE: usize = 3;

/// A question that the caller must ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Question {
    /// Ping this node.
    Node(NodeName),
    /// Connect to this instance.
    Instance(InstanceName),
}

/// A change of the decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The node has become isolated.
    Isolated(Observation),
    /// The isolation is over.
    Over(Observation),
}

#[derive(Clone, Debug)]
enum Phase {
    /// The node probes one node of another zone at a time.
    Watching {
        /// Earliest time of the next survey.
        next_survey: Duration,
    },
    /// The node asks samples of all zones.
    Surveying { since: Duration, next_round: Duration, has_tried_instances: bool },
    Isolated {
        next_round: Duration,
        next_instances: Duration,
        /// Since when the node has reached the larger part without interruption.
        reached_since: Option<Duration>,
    },
}

impl Phase {
    /// A survey that starts now.
    fn survey_from(now: Duration) -> Self {
        let next_round = now + SURVEY_ROUND_INTERVAL;
        Self::Surveying { since: now, next_round, has_tried_instances: false }
    }
}

/// The decision of one node.
#[derive(Clone, Debug)]
pub struct Isolation {
    own: NodeName,
    surroundings: Surroundings,
    probe: ZoneProbe,
    answers: Answers,
    phase: Phase,
    /// Whether the node has known most of the listed nodes to be live at some time. Before that,
    /// all nodes may just have started.
    has_settled: bool,
    /// Whether something has failed since the last survey began.
    is_trouble_reported: bool,
    last_tick: Duration,
}

impl Isolation {
    /// Creates the state of the node `own` in `zone`, which knows no other nodes.
    pub fn new(own: NodeName, zone: ZoneName, now: Duration) -> Self {
        Self {
            surroundings: Surroundings::alone(own.clone(), zone),
            own,
            probe: ZoneProbe::default(),
            answers: Answers::default(),
            phase: Phase::Watching { next_survey: now },
            has_settled: false,
            is_trouble_reported: false,
            last_tick: now,
        }
    }

    /// Replaces the listed nodes and the instances.
    pub fn set_surroundings(&mut self, surroundings: Surroundings) {
        self.has_settled |= surroundings.has_live_majority();
        self.surroundings = surroundings;
    }

    /// Whether the node is isolated.
    pub fn is_isolated(&self) -> bool {
        matches!(self.phase, Phase::Isolated { .. })
    }

    /// The zones of which something has answered, and this node's own zone unless it reaches
    /// nothing in it.
    pub fn reached_zones(&self, now: Duration) -> Vec<ZoneName> {
        self.reach(now).observation().zones_reached
    }

    /// Reports that another component did not get an answer: a link or probe went silent, or an
    /// instance stopped answering.
    pub fn on_trouble(&mut self) {
        self.is_trouble_reported = true;
    }

    /// Handles the answer of a node to a ping of this node.
    pub fn on_node_answer(&mut self, node: &NodeName, now: Duration) {
        self.probe.on_answer(node);
        self.answers.on_node_answer(node, now);
    }

    /// Handles the answer of an instance: it has sent something on a connection of this node. A
    /// connection that is only accepted or refused is no answer.
    pub fn on_instance_answer(&mut self, instance: &InstanceName, now: Duration) {
        self.answers.on_instance_answer(instance, now);
    }

    /// Does the work due at `now`: returns the questions to ask, and a change of the decision.
    pub fn on_tick(
        &mut self,
        now: Duration,
        random: &mut dyn RandomSource,
    ) -> (Vec<Question>, Option<Change>) {
        let gap = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        if gap > MAX_TICK_GAP {
            self.on_standstill(now);
        }
        if !self.has_settled {
            return (Vec::new(), None);
        }
        let mut questions = Vec::new();
        let change = match self.phase {
            Phase::Watching { next_survey } => {
                self.watch(next_survey, now, random, &mut questions);
                None
            }
            Phase::Surveying { .. } => self.survey(now, random, &mut questions),
            Phase::Isolated { .. } => self.await_recovery(now, random, &mut questions),
        };
        (questions, change)
    }

    /// This process stood still: answers that it did not read in time show nothing, so every wait
    /// starts again.
    fn on_standstill(&mut self, now: Duration) {
        self.probe = ZoneProbe::default();
        self.answers = Answers::default();
        match &mut self.phase {
            Phase::Watching { .. } => {}
            Phase::Surveying { .. } => self.phase = Phase::survey_from(now),
            Phase::Isolated { reached_since, .. } => *reached_since = None,
        }
    }

    fn watch(
        &mut self,
        next_survey: Duration,
        now: Duration,
        random: &mut dyn RandomSource,
        questions: &mut Vec<Question>,
    ) {
        let asked = self.probe.on_tick(&self.own, &self.surroundings, now, random);
        questions.extend(asked.map(Question::Node));
        self.is_trouble_reported |= self.probe.take_failure();
        if self.is_trouble_reported && now >= next_survey {
            self.is_trouble_reported = false;
            self.answers = Answers::default();
            self.phase = Phase::survey_from(now);
            questions.extend(self.ask_silent_zones(FIRST_ROUND_SAMPLE, now, random));
        }
    }

    fn survey(
        &mut self,
        now: Duration,
        random: &mut dyn RandomSource,
        questions: &mut Vec<Question>,
    ) -> Option<Change> {
        let reach = self.reach(now);
        if !reach.is_cut_off() {
            self.phase = Phase::Watching { next_survey: now + SURVEY_COOLDOWN };
            return None;
        }
        let observation = reach.observation();
        let Phase::Surveying { since, next_round, has_tried_instances } = &mut self.phase else {
            return None;
        };
        let elapsed = now.saturating_sub(*since);
        if elapsed >= SURVEY_PERIOD {
            self.phase = Phase::Isolated {
                next_round: now,
                next_instances: now + INSTANCE_RETRY_INTERVAL,
                reached_since: None,
            };
            return Some(Change::Isolated(observation));
        }
        let asks_nodes = now >= *next_round;
        if asks_nodes {
            *next_round = now + SURVEY_ROUND_INTERVAL;
        }
        let tries_instances = elapsed >= NODE_PERIOD && !*has_tried_instances;
        *has_tried_instances |= tries_instances;
        if asks_nodes {
            questions.extend(self.ask_silent_zones(LATER_ROUND_SAMPLE, now, random));
        }
        if tries_instances {
            questions.extend(self.try_instances(now, random));
        }
        None
    }

    fn await_recovery(
        &mut self,
        now: Duration,
        random: &mut dyn RandomSource,
        questions: &mut Vec<Question>,
    ) -> Option<Change> {
        let reach = self.reach(now);
        let (is_cut_off, observation) = (reach.is_cut_off(), reach.observation());
        let Phase::Isolated { next_round, next_instances, reached_since } = &mut self.phase else {
            return None;
        };
        match is_cut_off {
            true => *reached_since = None,
            false => _ = reached_since.get_or_insert(now),
        }
        if reached_since.is_some_and(|since| now.saturating_sub(since) >= RECOVERY_PERIOD) {
            self.phase = Phase::Watching { next_survey: now + SURVEY_COOLDOWN };
            return Some(Change::Over(observation));
        }
        let asks_instances = now >= *next_instances;
        if asks_instances {
            *next_instances = now + INSTANCE_RETRY_INTERVAL;
        }
        if now >= *next_round {
            *next_round = now + ISOLATED_ROUND_INTERVAL;
            questions.extend(self.ask_all_zones(now, random));
        }
        if asks_instances {
            questions.extend(self.try_instances(now, random));
        }
        None
    }

    fn reach(&self, now: Duration) -> Reach<'_> {
        let (nodes_since, instances_since) = match self.phase {
            Phase::Surveying { since, .. } => (since, since),
            _ => {
                (now.saturating_sub(ANSWER_LIFETIME), now.saturating_sub(INSTANCE_ANSWER_LIFETIME))
            }
        };
        Reach::new(&self.own, &self.surroundings, &self.answers, nodes_since, instances_since)
    }

    /// Asks `count` nodes of every zone of which no node has answered yet, and of this node's own
    /// zone, of which a part may be cut off.
    fn ask_silent_zones(
        &mut self,
        count: usize,
        now: Duration,
        random: &mut dyn RandomSource,
    ) -> Vec<Question> {
        let own = self.surroundings.own_zone().clone();
        let mut zones = self.reach(now).zones_without_node_answer();
        zones.retain(|zone| *zone != own);
        zones.push(own);
        self.ask(zones, count, now, random)
    }

    fn ask_all_zones(&mut self, now: Duration, random: &mut dyn RandomSource) -> Vec<Question> {
        self.answers.forget_before(now.saturating_sub(INSTANCE_ANSWER_LIFETIME));
        let own = self.surroundings.own_zone().clone();
        let mut others = self.surroundings.zone_names();
        others.retain(|zone| *zone != own);
        let mut questions = self.ask(others, ISOLATED_SAMPLE, now, random);
        questions.extend(self.ask(vec![own], ISOLATED_OWN_ZONE_SAMPLE, now, random));
        questions
    }

    fn ask(
        &mut self,
        zones: Vec<ZoneName>,
        count: usize,
        now: Duration,
        random: &mut dyn RandomSource,
    ) -> Vec<Question> {
        let mut questions = Vec::new();
        for zone in zones {
            let candidates = self.surroundings.to_ask(&zone, FULL_SAMPLE);
            let candidates: Vec<&NodeName> =
                candidates.into_iter().filter(|node| **node != self.own).collect();
            for node in sample::choose(&candidates, count, random) {
                self.answers.on_node_asked(node, now);
                questions.push(Question::Node(node.clone()));
            }
        }
        questions
    }

    /// Tries instances of the zones of which no node has answered.
    fn try_instances(&mut self, now: Duration, random: &mut dyn RandomSource) -> Vec<Question> {
        let mut questions = Vec::new();
        for zone in self.reach(now).zones_without_node_answer() {
            let instances: Vec<&InstanceName> = self.surroundings.instances_of(&zone).collect();
            for instance in sample::choose(&instances, INSTANCE_SAMPLE, random) {
                self.answers.on_instance_asked(instance, now);
                questions.push(Question::Instance(instance.clone()));
            }
        }
        questions
    }
}
