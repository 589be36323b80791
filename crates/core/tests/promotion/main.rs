//! One attempt at replacing a primary: what it does in which order, and what it waits for.

mod lost_logs;
mod old_primaries;
mod sent_promotions;
mod steps;
mod support;
