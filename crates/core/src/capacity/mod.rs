//! Divides the capacity of an instance among the owners of its group.
//!
//! Each owner has its own scheduler and cannot see what waits at the others. Without a division,
//! their statements compete at the instance, whose own queue knows no priority. Owners with waiting
//! statements therefore exchange their [`InstanceDemand`], and each computes the same
//! [division](divide): by priority, then by the earliest deadline, then in fair shares.
//! [`SharedCapacity`] turns it into the number of statements that this owner may run, from what it
//! knows of the others. What it knows expires, and an owner that knows nothing falls back to its
//! own concurrency limit, so a silent owner blocks capacity only for [`DEMAND_LIFETIME`].

mod demand;
mod division;
mod shared;

pub use self::demand::{InstanceDemand, LEVELS, LevelDemand};
pub use self::division::{Claim, Division, divide};
pub use self::shared::{Allocation, DEMAND_LIFETIME, REPORT_INTERVAL, ReportPacer, SharedCapacity};
