//! Divides the capacity of an instance among the owners of its group.
//!
//! Each owner has its own scheduler and cannot see what waits at the others. Without a division,
//! their statements compete at the instance, whose own queue knows no priority. Owners with waiting
//! statements therefore tell each other their [`InstanceDemand`].

mod demand;

pub use self::demand::{InstanceDemand, LEVELS, LevelDemand};
