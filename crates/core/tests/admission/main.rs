//! Tests of the admission scheduler: its limits, its order and its refusals.

mod overload;
mod rules;
mod simulation;
