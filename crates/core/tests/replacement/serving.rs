//! How instances serve requests.

use kestrellock_core::position::Term;
use kestrellock_core::promotion::Command;
use kestrellock_core::routing::Role;

use crate::instances::{Entry, Instance, Pending};
use crate::messages::{Exchange, Message, Reply, Work};
use crate::plan::PlantedFault;
use crate::world::World;

impl World {
    /// Serves a request, unless the link between node and instance is cut.
    pub fn on_request(&mut self, exchange: Exchange) {
        let index = exchange.instance;
        if self.is_cut(exchange.node, index) {
            return;
        }
        let instance = &self.instances[index];
        let reply = match (instance.alive, instance.process) {
            (false, _) => Some(Reply::Refused),
            (true, process) if matches!(exchange.work, Work::Connect) => {
                Some(Reply::Connected(process))
            }
            (true, process) if process != exchange.connection.process => {
                Some(Reply::Broken(process))
            }
            (true, _) => self.serve(&exchange),
        };
        if let Some(reply) = reply {
            self.send(Message::Answer(exchange, reply));
        }
    }

    fn serve(&mut self, exchange: &Exchange) -> Option<Reply> {
        let (now, planted_fault) = (self.now, self.planted_fault);
        let instance = &mut self.instances[exchange.instance];
        let is_primary = instance.role == Role::Primary;
        let term = Term(instance.term);
        match &exchange.work {
            Work::Write { .. } | Work::Read { .. } if !is_primary => Some(Reply::NotPrimary),
            Work::Write { commit, arrived } => {
                self.checker.on_write(*arrived, &instance.commits());
                let entry = Entry { term: instance.term, id: *commit };
                let place = instance.log.len();
                instance.log.push(entry);
                let (node, process) = (exchange.node, exchange.process);
                let (request, sent) = (exchange.request, exchange.sent);
                let (connection, arrived) = (exchange.connection, *arrived);
                instance.pending.push(Pending {
                    entry,
                    place,
                    node,
                    process,
                    request,
                    arrived,
                    sent,
                    connection,
                    made: now,
                });
                None
            }
            Work::Read { arrived } => {
                let commits = instance.commits();
                self.checker.on_read(*arrived, &commits);
                self.trace.record(now, || {
                    let knowledge = self.nodes[exchange.node].describe_knowledge(now);
                    let (index, node) = (exchange.instance, exchange.node);
                    format!("read at i-{index} in {term:?} for node {node}; {knowledge}")
                });
                Some(Reply::Read(term))
            }
            Work::StatusQuery | Work::Command(Command::QueryStatus(_)) => {
                Some(Reply::Status(instance.status()))
            }
            Work::Command(Command::Stop { term, .. }) => Some(stop(instance, term.0)),
            Work::Command(Command::Demote { term, .. }) => {
                if is_primary && instance.term < term.0 {
                    instance.role = Role::Replica;
                    instance.pending.clear();
                }
                let status = instance.status();
                self.announce(exchange.instance);
                Some(Reply::Status(status))
            }
            Work::Command(Command::Release(_)) => {
                if planted_fault != PlantedFault::ReplicasNeverReleased {
                    instance.min_term = 0;
                }
                Some(Reply::Released)
            }
            Work::Command(_) | Work::Connect => None,
        }
    }
}

fn stop(instance: &mut Instance, term: u32) -> Reply {
    let mut status = instance.status();
    if instance.role == Role::Replica {
        status.min_term = status.min_term.max(Term(term));
        instance.min_term = instance.min_term.max(term);
    }
    Reply::Status(status)
}
