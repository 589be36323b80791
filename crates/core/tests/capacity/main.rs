//! Sharing the capacity of an instance among the owners of its group: how slots are divided, what
//! expires, and the requirements over all owners in simulations with many seeds.

mod division;
mod requirements;
mod simulation;
