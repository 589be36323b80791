//! A scheduler simulated in virtual time: offers arriving requests, ends started requests after
//! their service time, and records the outcome of each.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use kestrellock_core::admission::{Dispatch, Limits, Overload, Request, Scheduler, Ticket};

/// A request and its arrival time.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub request: Request,
    pub service: Duration,
}

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Pending,
    /// Refused on arrival.
    Refused(Overload),
    /// Expired after waiting.
    Expired {
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
    pub outcomes: Vec<Outcome>,
    ends: BinaryHeap<Reverse<(Instant, usize)>>,
    tickets: Vec<Option<Ticket>>,
}

impl Simulation {
    pub fn new(limits: Limits) -> Self {
        let (outcomes, tickets) = (Vec::new(), Vec::new());
        let scheduler = Scheduler::new(limits);
        Self { scheduler, outcomes, ends: BinaryHeap::new(), tickets }
    }

    /// Runs `arrivals`, which are ordered by time, and then all requests that are left.
    pub fn run(&mut self, arrivals: &[Arrival]) {
        self.outcomes = vec![Outcome::Pending; arrivals.len()];
        self.tickets = arrivals.iter().map(|_| None).collect();
        for (index, arrival) in arrivals.iter().enumerate() {
            self.run_until(arrival.at, arrivals);
            match self.scheduler.offer(&arrival.request, index, arrival.at) {
                Ok(()) => self.start(arrival.at, arrivals),
                Err(refused) => self.outcomes[index] = Outcome::Refused(refused.overload),
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
            self.outcomes[late.work] = Outcome::Expired { at: now };
        }
        while let Some(dispatch) = self.scheduler.take_next(now) {
            match dispatch {
                Dispatch::Run { ticket, work } => {
                    let finished = now + arrivals[work].service;
                    self.tickets[work] = Some(ticket);
                    self.outcomes[work] = Outcome::Ran { started: now, finished };
                    self.ends.push(Reverse((finished, work)));
                }
                Dispatch::Expired(refused) => {
                    self.outcomes[refused.work] = Outcome::Expired { at: now }
                }
            }
        }
    }
}
