//! What callers do at nodes, and what nodes make of answers.

use kestrellock_core::position::Term;
use kestrellock_core::primary_evidence::Following;
use kestrellock_core::promotion::{Command, Event};
use kestrellock_core::routing::Role;
use rand::RngExt;

use crate::messages::{Exchange, Message, Reply, Work};
use crate::node::{GROUP, Unconfirmed, group_name, instance_name};
use crate::plan::Plant;
use crate::store::Operation;
use crate::world::World;

/// Time between two requests at a node, on average.
const REQUEST_EVERY_MS: f64 = 40.0;
/// Time between two steps of a node.
const STEP_MS: f64 = 5.0;
/// Time for which a read waits for evidence.
const READ_WAITS_MS: u64 = 400;
/// Time for which a request waits for its instance.
const REQUEST_WAITS_MS: u64 = 700;
/// Time between two questions for evidence.
const QUESTION_EVERY_MS: u64 = 20;
/// Time between two looks at the store.
const LOOK_EVERY_MS: u64 = 40;

impl World {
    /// Requests of callers, and those that wait.
    pub fn serve_callers(&mut self, node: usize) {
        let now = self.at(self.now);
        self.nodes[node].pass_time(now);
        self.drop_old_requests(node);
        self.confirm_commits(node);
        if self.random.random_bool(STEP_MS / REQUEST_EVERY_MS) {
            if self.random.random_bool(0.5) {
                self.write(node);
            } else {
                let arrived = self.now;
                self.reads[node].push(arrived);
            }
        }
        self.serve_reads(node);
    }

    /// Requests that have waited too long, or for a primary that another one has replaced, are given
    /// up: whether they ran is not known.
    fn drop_old_requests(&mut self, node: usize) {
        let now = self.at(self.now);
        let leader = self.nodes[node].leader();
        let was_replaced =
            self.nodes[node].followed.is_some() && self.nodes[node].followed != leader;
        self.nodes[node].followed = leader;
        let is_old =
            |sent| now.saturating_duration_since(sent).as_millis() as u64 > REQUEST_WAITS_MS;
        let waiting = &mut self.nodes[node].waiting;
        let old = waiting.extract_if(.., |_, (_, sent, _)| was_replaced || is_old(*sent));
        let in_doubt: Vec<u64> =
            old.filter(|(_, (_, _, commits))| *commits).map(|(request, _)| request).collect();
        if self.plant == Plant::DoubtPromised {
            in_doubt.into_iter().for_each(|request| self.checker.on_promised(request));
        }
    }

    fn write(&mut self, node: usize) {
        let Some(leader) = self.nodes[node].leader() else { return };
        let own = &self.nodes[node];
        if own.holds_back() || own.is_old(leader) {
            return;
        }
        let request = self.number();
        self.ask(node, leader, request, Work::Write(request));
    }

    fn serve_reads(&mut self, node: usize) {
        let now = self.now;
        self.reads[node].retain(|arrived| now < arrived + READ_WAITS_MS);
        let Some(leader) = self.nodes[node].leader() else { return };
        if self.reads[node].is_empty() || self.nodes[node].holds_back() {
            return;
        }
        for arrived in std::mem::take(&mut self.reads[node]) {
            let life = self.evidence_life(node);
            let covered = self.nodes[node].may_read(leader, self.at(arrived), life);
            if covered || self.plant == Plant::EvidenceDropped {
                let request = self.number();
                self.ask(node, leader, request, Work::Read { arrived });
            } else {
                self.reads[node].push(arrived);
            }
        }
        if !self.reads[node].is_empty() && now >= self.nodes[node].questioned + QUESTION_EVERY_MS {
            self.question_all(node);
        }
        self.look_at_store(node, leader);
    }

    /// Where not all replicas answer, the store has to say that nobody replaces the primary.
    fn look_at_store(&mut self, node: usize, leader: usize) {
        let now = self.at(self.now);
        let life = self.evidence_life(node);
        let wants = self.reads[node].last().is_some_and(|arrived| {
            let arrived = self.at(*arrived);
            self.nodes[node].would_read(leader, arrived, life)
        });
        if !wants || self.now < self.nodes[node].looked + LOOK_EVERY_MS {
            return;
        }
        self.nodes[node].looked = self.now;
        match self.plant {
            Plant::NoLook => self.nodes[node].evidence.on_unreplaced(now),
            _ => self.call(node, 0, Operation::Look),
        }
    }

    /// The store has said how new it is: if the node knows all of that, nobody replaces the primary.
    pub fn on_looked(&mut self, node: usize, revision: u64, sent: u64) {
        let (sent, now) = (self.at(sent), self.at(self.now));
        let own = &mut self.nodes[node];
        let group = own.catalog.groups.get(&group_name());
        let is_newest = group.is_some_and(|group| group.is_led_by_last_promoted());
        let is_replaced = own.replacements.intents().contains_key(&group_name()) || !is_newest;
        let may_be_lost = own.era.replacement_may_be_lost(now);
        if own.view.revision >= revision && !is_replaced && !may_be_lost {
            own.evidence.on_unreplaced(sent);
        }
    }

    /// Sends something to an instance.
    pub fn ask(&mut self, node: usize, instance: usize, request: u64, work: Work) {
        let process = self.nodes[node].process;
        let sent = self.now;
        let at = self.at(sent);
        let run = self.nodes[node].runs_known.get(&instance).copied().unwrap_or(0);
        if !matches!(work, Work::Control(_)) {
            let commits = matches!(work, Work::Write(_));
            self.nodes[node].waiting.insert(request, (instance, at, commits));
        }
        self.send(Message::Request(Exchange { node, process, instance, request, sent, run, work }));
    }

    /// An instance has answered, or nothing runs there.
    pub fn on_answer(&mut self, exchange: Exchange, reply: Reply) {
        let now = self.at(self.now);
        let sent = self.at(exchange.sent);
        let own = &mut self.nodes[exchange.node];
        let was_waiting = own.waiting.remove(&exchange.request).is_some();
        match reply {
            Reply::Refused => {
                own.refused.entry(exchange.instance).or_insert(now);
                own.evidence.forget();
            }
            Reply::Broken(run) => {
                own.runs_known.insert(exchange.instance, run);
                own.refused.remove(&exchange.instance);
                own.evidence.forget();
            }
            _ => {
                own.refused.remove(&exchange.instance);
                own.answered.insert(exchange.instance, now);
            }
        }
        if let Reply::Standing(standing) = &reply {
            let name = instance_name(exchange.instance);
            own.known.on_standing(&group_name(), &name, standing, sent);
        }
        if let Work::Control(command) = &exchange.work {
            self.on_control(
                exchange.node,
                command.clone(),
                exchange.instance,
                reply,
                exchange.sent,
            );
            return;
        }
        match reply {
            Reply::Committed(term, position) => {
                own.heard.record(sent, position);
                own.terms.insert(exchange.instance, term);
                own.committed.insert(exchange.instance, now);
                self.on_committed(&exchange, term, was_waiting);
            }
            Reply::Read(term) => {
                own.terms.insert(exchange.instance, term);
                if self.plant == Plant::AnswersShow {
                    own.evidence.on_commit(term, sent);
                }
            }
            Reply::Standing(standing) => {
                own.terms.insert(exchange.instance, standing.term);
                if standing.role == Role::Primary {
                    own.evidence.on_led(standing.term);
                }
                if standing.role == Role::Replica {
                    let following = Following { term: standing.term, held: standing.held };
                    let replica = instance_name(exchange.instance);
                    own.evidence.on_replica(&replica, following, sent, now);
                }
            }
            Reply::NotPrimary | Reply::Refused | Reply::Broken(_) => {
                if let (Work::Write(id), true) = (&exchange.work, was_waiting) {
                    self.checker.on_promised(*id);
                }
            }
            Reply::Released => {}
        }
    }

    /// A primary has answered a commit: the caller is told if that counts, and once replicas have confirmed it where a
    /// replacement may be under way of which nobody tells this node.
    fn on_committed(&mut self, exchange: &Exchange, term: Term, is_awaited: bool) {
        let (node, instance) = (exchange.node, exchange.instance);
        let (sent, answered) = (self.at(exchange.sent), self.at(self.now));
        let Work::Write(commit) = exchange.work else { return };
        if self.passes_on(node, instance) {
            self.nodes[node].evidence.on_commit(term, sent);
            if is_awaited {
                self.checker.on_acknowledged(self.now, commit, term.0);
            }
        } else if is_awaited {
            let unconfirmed = Unconfirmed { commit, instance, term, sent, answered };
            self.nodes[node].unconfirmed.push(unconfirmed);
        }
    }

    /// Whether a node passes on at once what an instance answers to a commit.
    pub fn passes_on(&self, node: usize, instance: usize) -> bool {
        let is_told = self.is_waited_for(node) || self.plant == Plant::Unconfirmed;
        is_told && self.answer_counts(node, instance)
    }

    /// Whether what an instance answers to a commit counts by now.
    fn answer_counts(&self, node: usize, instance: usize) -> bool {
        let (name, now) = (instance_name(instance), self.at(self.now));
        let replacements = &self.nodes[node].replacements;
        let counts = replacements.answer_counts(&group_name(), &name, now);
        counts || self.plant == Plant::LateAnswers
    }

    /// Commits that wait for the word of replicas: the caller is told once they have said it.
    fn confirm_commits(&mut self, node: usize) {
        let now = self.at(self.now);
        let is_old = |one: &Unconfirmed| {
            now.saturating_duration_since(one.sent).as_millis() as u64 > REQUEST_WAITS_MS
        };
        self.nodes[node].unconfirmed.retain(|one| !is_old(one));
        for one in std::mem::take(&mut self.nodes[node].unconfirmed) {
            if !self.answer_counts(node, one.instance) {
                // In doubt.
                continue;
            }
            let own = &mut self.nodes[node];
            if own.evidence.confirms_commit(one.term, GROUP, one.answered) {
                own.evidence.on_commit(one.term, one.sent);
                self.checker.on_acknowledged(self.now, one.commit, one.term.0);
            } else {
                own.unconfirmed.push(one);
            }
        }
        let asked = self.nodes[node].questioned;
        if !self.nodes[node].unconfirmed.is_empty() && self.now >= asked + QUESTION_EVERY_MS {
            self.question_all(node);
        }
    }

    fn question_all(&mut self, node: usize) {
        self.nodes[node].questioned = self.now;
        for instance in 0..self.instances.len() {
            let request = self.number();
            self.ask(node, instance, request, Work::Question);
        }
    }

    fn on_control(
        &mut self,
        node: usize,
        command: Command,
        instance: usize,
        reply: Reply,
        sent: u64,
    ) {
        let name = instance_name(instance);
        let sent = self.at(sent);
        let event = match (reply, command) {
            (Reply::Released, Command::Release(_)) => Event::Released(name),
            (Reply::Standing(standing), _) => Event::Stands { instance: name, standing, sent },
            (Reply::Refused, _) => Event::Refused { instance: name, sent },
            _ => return,
        };
        self.on_event(node, event);
    }

    /// The highest term that a node has seen.
    pub fn highest_term(&self, node: usize) -> Term {
        self.nodes[node].terms.values().copied().max().unwrap_or(Term(0))
    }
}
