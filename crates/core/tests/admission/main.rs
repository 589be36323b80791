//! The scheduler of one instance: its limits, its order, and what it refuses.

mod overload;
mod rules;
mod simulation;
