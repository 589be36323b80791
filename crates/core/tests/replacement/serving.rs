//! What instances make of requests.

use kestrellock_core::position::Term;
use kestrellock_core::promotion::Command;
use kestrellock_core::routing::Role;

use crate::instances::{Entry, Instance, Pending};
use crate::messages::{Exchange, Message, Reply, Work};
use crate::plan::Plant;
use crate::world::World;

impl World {
    /// A request reaches an instance, unless it is cut off.
    pub fn on_request(&mut self, exchange: Exchange) {
        let one = exchange.instance;
        if self.is_cut(exchange.node, one) {
            return;
        }
        let instance = &self.instances[one];
        let reply = match (instance.alive, instance.run) {
            (false, _) => Some(Reply::Refused),
            (true, run) if run != exchange.run => Some(Reply::Broken(run)),
            (true, _) => self.serve(&exchange),
        };
        if let Some(reply) = reply {
            self.send(Message::Answer(exchange, reply));
        }
    }

    fn serve(&mut self, exchange: &Exchange) -> Option<Reply> {
        let (now, plant) = (self.now, self.plant);
        let instance = &mut self.instances[exchange.instance];
        let leads = instance.role == Role::Primary;
        let term = Term(instance.term);
        match &exchange.work {
            Work::Write(_) | Work::Read { .. } if !leads => Some(Reply::NotPrimary),
            Work::Write(id) => {
                let entry = Entry { term: instance.term, id: *id };
                let place = instance.log.len();
                instance.log.push(entry);
                let (node, process) = (exchange.node, exchange.process);
                let (request, sent) = (exchange.request, exchange.sent);
                let pending = Pending { entry, place, node, process, request, sent, made: now };
                instance.pending.push(pending);
                None
            }
            Work::Read { arrived } => {
                let commits = instance.commits();
                self.checker.on_read(*arrived, &commits);
                Some(Reply::Read(term))
            }
            Work::Question | Work::Control(Command::QueryStatus(_)) => {
                Some(Reply::Standing(instance.standing()))
            }
            Work::Control(Command::Stop { term, .. }) => Some(stop(instance, term.0)),
            Work::Control(Command::Demote { term, .. }) => {
                if leads && instance.term < term.0 {
                    instance.role = Role::Replica;
                    instance.pending.clear();
                }
                let standing = instance.standing();
                self.announce(exchange.instance);
                Some(Reply::Standing(standing))
            }
            Work::Control(Command::Release(_)) => {
                if plant != Plant::StopForgotten {
                    instance.held = 0;
                }
                Some(Reply::Released)
            }
            Work::Control(_) => None,
        }
    }
}

fn stop(instance: &mut Instance, term: u32) -> Reply {
    let mut standing = instance.standing();
    if instance.role == Role::Replica {
        standing.min_term = standing.min_term.max(Term(term));
        instance.held = instance.held.max(term);
    }
    Reply::Standing(standing)
}
