//! A queue simulated in virtual time: arrivals are offered, started requests end after their
//! service time, and the fate of each is recorded.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use kestrellock_core::admission::{Dispatch, Limits, Overload, Request, Scheduler, Ticket};

/// One request to come.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub request: Request,
    pub service: Duration,
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    Pending,
    /// Refused when it arrived.
    Refused(Overload),
    /// Given up after waiting.
    GivenUp {
        at: Instant,
    },
    /// Ran from `started` to `finished`.
    Ran {
        started: Instant,
        finished: Instant,
    },
}

pub struct Simulation {
    pub scheduler: Scheduler<usize>,
    pub fates: Vec<Fate>,
    ends: BinaryHeap<Reverse<(Instant, usize)>>,
    tickets: Vec<Option<Ticket>>,
}

impl Simulation {
    pub fn new(limits: Limits) -> Self {
        let (fates, tickets) = (Vec::new(), Vec::new());
        let scheduler = Scheduler::new(limits);
        Self { scheduler, fates, ends: BinaryHeap::new(), tickets }
    }

    /// Runs `arrivals`, which are in order of time, and then whatever is left.
    pub fn run(&mut self, arrivals: &[Arrival]) {
        self.fates = vec![Fate::Pending; arrivals.len()];
        self.tickets = arrivals.iter().map(|_| None).collect();
        for (index, arrival) in arrivals.iter().enumerate() {
            self.run_until(arrival.at, arrivals);
            match self.scheduler.offer(&arrival.request, index, arrival.at) {
                Ok(()) => self.start(arrival.at, arrivals),
                Err(refused) => self.fates[index] = Fate::Refused(refused.overload),
            }
        }
        while let Some(Reverse((end, _))) = self.ends.peek().copied() {
            self.run_until(end, arrivals);
        }
    }

    fn run_until(&mut self, until: Instant, arrivals: &[Arrival]) {
        while let Some(Reverse((end, index))) = self.ends.peek().copied()
            && end <= until
        {
            self.ends.pop();
            let ticket = self.tickets[index].take().expect("a request ends once");
            self.scheduler.finish(ticket, end);
            self.start(end, arrivals);
        }
    }

    fn start(&mut self, now: Instant, arrivals: &[Arrival]) {
        for late in self.scheduler.take_expired(now) {
            self.fates[late.work] = Fate::GivenUp { at: now };
        }
        while let Some(dispatch) = self.scheduler.take_next(now) {
            match dispatch {
                Dispatch::Run { ticket, work } => {
                    let finished = now + arrivals[work].service;
                    self.tickets[work] = Some(ticket);
                    self.fates[work] = Fate::Ran { started: now, finished };
                    self.ends.push(Reverse((finished, work)));
                }
                Dispatch::Expired(refused) => self.fates[refused.work] = Fate::GivenUp { at: now },
            }
        }
    }
}
