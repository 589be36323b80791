//! One attempt at replacing a primary: the order of its steps and the conditions that it waits for.

mod continued_planned;
mod ended_replicas;
mod lost_logs;
mod old_primaries;
mod open_calls;
mod sent_promotions;
mod steps;
mod support;
mod unlisted_instances;
