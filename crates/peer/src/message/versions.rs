//! Versions of the protocol between nodes, and the lowest one in which each later message exists.

/// Version that every node speaks, carried in [`Hello::version`](crate::channel::Hello::version). A
/// peer with another one is rejected.
pub const PROTOCOL_VERSION: u16 = 7;

/// Highest version that this build speaks. A connection uses the highest version that both of its
/// nodes speak.
pub const HIGHEST_PROTOCOL_VERSION: u16 = 11;

/// Lowest version in which owners exchange votes on primaries.
pub const PRIMARY_VOTES_VERSION: u16 = 8;

/// Lowest version in which owners exchange demands for capacity.
pub const CAPACITY_DEMAND_VERSION: u16 = 8;

/// Lowest version in which fronts request connections in advance.
pub const PREWARM_VERSION: u16 = 8;

/// Lowest version in which a coordinator asks for the end of earlier promotions.
pub const PROMOTION_CALLS_VERSION: u16 = 9;

/// Lowest version in which fronts withdraw exchanges.
pub const WITHDRAW_VERSION: u16 = 10;

/// Lowest version in which nodes ask each other whether primaries are being replaced.
pub const REPLACEMENT_QUERY_VERSION: u16 = 11;
