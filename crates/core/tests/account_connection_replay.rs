//! Replays the load of accounts on one owner's connections to an instance, and measures by priority
//! how long statements wait for a connection of their account.
//!
//! Guards against urgent statements that mostly wait for a new connection: they are the first of a
//! session, and the connection of their account was closed meanwhile or never opened.

use std::time::{Duration, Instant};

use kestrellock_core::account_connections::{
    AccountUse, AdvanceRequests, IdleConnection, eviction_order,
};
use kestrellock_core::catalog::Priority;
use kestrellock_core::ids::AccountName;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SEEDS: u64 = 20;
const STEPS: u64 = 60_000;
const STEP: Duration = Duration::from_millis(1);
/// Accounts that one of the owners of a zone serves.
const ACCOUNTS: usize = 28;
/// Every second session is on an urgent route; the sessions of all accounts begin this many steps
/// apart on average.
const STEPS_PER_SESSION: u64 = 300;
/// Time from the login of a client to its first statement.
const LOGIN_TO_STATEMENT_MS: std::ops::Range<u64> = 14..60;
const OPENING: Duration = Duration::from_millis(12);
const STATEMENT_MS: std::ops::Range<u64> = 3..15;
/// Idle connections beyond the retained ones close after this time without and with connections
/// opened in advance.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
const SHORT_IDLE_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, PartialEq)]
enum Rule {
    /// The longest idle connection closes.
    LongestIdle,
    /// The connection that is least likely to be used soon closes.
    LeastLikely,
    /// The same, and connections are opened in advance.
    Prewarming,
}

/// The part of an instance's connections that the owner may use, and how it uses it.
#[derive(Clone, Copy, Debug)]
struct Sizes {
    max: usize,
    retained: usize,
}

const SIZES: [Sizes; 3] =
    [Sizes { max: 4, retained: 3 }, Sizes { max: 6, retained: 3 }, Sizes { max: 10, retained: 4 }];

struct Connection {
    account: usize,
    busy_until: Duration,
    is_unused: bool,
}

struct Statement {
    arrives: Duration,
    account: usize,
    priority: Priority,
}

/// Statements by priority: how many, how many waited, and how long altogether.
#[derive(Clone, Copy, Debug, Default)]
struct Waits {
    count: u32,
    waited: u32,
    total: Duration,
}

impl Waits {
    fn mean(self) -> Duration {
        self.total / self.count.max(1)
    }
}

struct Replay {
    rule: Rule,
    sizes: Sizes,
    start: Instant,
    names: Vec<AccountName>,
    /// The most recently used one last.
    connections: Vec<Connection>,
    waiting: Vec<Statement>,
    requests: AdvanceRequests,
    recent: AccountUse,
    urgent: Waits,
    normal: Waits,
}

impl Replay {
    fn new(rule: Rule, sizes: Sizes) -> Self {
        Self {
            rule,
            sizes,
            start: Instant::now(),
            names: (0..ACCOUNTS).map(|number| AccountName::new(format!("a-{number}"))).collect(),
            connections: Vec::new(),
            waiting: Vec::new(),
            requests: AdvanceRequests::default(),
            recent: AccountUse::default(),
            urgent: Waits::default(),
            normal: Waits::default(),
        }
    }

    fn usable_by(&self, account: usize, now: Duration) -> bool {
        let is_usable = |connection: &Connection| {
            connection.account == account && connection.busy_until <= now + OPENING
        };
        self.connections.iter().any(is_usable)
    }

    fn run(&mut self, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        for step in 0..STEPS {
            let now = STEP * step as u32;
            if rng.random_range(0..STEPS_PER_SESSION) == 0 {
                self.begin_session(now, &mut rng);
            }
            self.run_waiting(now, &mut rng);
            self.open_for_waiting(now);
            self.open_in_advance(now);
            self.close_surplus(now);
        }
    }

    /// A client logs in and sends a few statements. Few accounts have most of the sessions.
    fn begin_session(&mut self, now: Duration, rng: &mut StdRng) {
        let skewed: f64 = rng.random::<f64>() * rng.random::<f64>();
        let account = (skewed * ACCOUNTS as f64) as usize;
        let priority = if rng.random() { Priority::Order } else { Priority::Normal };
        if self.rule == Rule::Prewarming && priority == Priority::Order {
            self.requests.add(self.names[account].clone(), self.start + now);
        }
        let mut arrives = now;
        for _ in 0..rng.random_range(1..4) {
            arrives += Duration::from_millis(rng.random_range(LOGIN_TO_STATEMENT_MS));
            self.waiting.push(Statement { arrives, account, priority });
        }
        self.waiting.sort_by_key(|statement| statement.arrives);
    }

    fn run_waiting(&mut self, now: Duration, rng: &mut StdRng) {
        for statement in std::mem::take(&mut self.waiting) {
            let is_usable = |connection: &Connection| {
                connection.account == statement.account && connection.busy_until <= now
            };
            let found = self.connections.iter().rposition(is_usable);
            let (true, Some(index)) = (statement.arrives <= now, found) else {
                self.waiting.push(statement);
                continue;
            };
            let duration = Duration::from_millis(rng.random_range(STATEMENT_MS));
            self.connections.remove(index);
            let busy_until = now + duration;
            let account = statement.account;
            self.connections.push(Connection { account, busy_until, is_unused: false });
            self.recent.on_use(&self.names[account], statement.priority, self.start + now);
            let waits = match statement.priority {
                Priority::Order => &mut self.urgent,
                _ => &mut self.normal,
            };
            waits.count += 1;
            waits.waited += u32::from(now > statement.arrives);
            waits.total += now - statement.arrives;
        }
    }

    fn open_for_waiting(&mut self, now: Duration) {
        let arrived = self.waiting.iter().filter(|statement| statement.arrives <= now);
        let accounts: Vec<usize> = arrived.map(|statement| statement.account).collect();
        for account in accounts {
            if self.usable_by(account, now) {
                continue;
            }
            if self.connections.len() >= self.sizes.max {
                let Some(index) = self.index_to_close(now) else { continue };
                self.connections.remove(index);
            }
            self.open(account, false, now);
        }
    }

    fn open(&mut self, account: usize, is_unused: bool, now: Duration) {
        self.connections.push(Connection { account, busy_until: now + OPENING, is_unused });
    }

    fn index_to_close(&self, now: Duration) -> Option<usize> {
        let is_idle = |connection: &Connection| connection.busy_until <= now;
        if self.rule == Rule::LongestIdle {
            return self.connections.iter().position(is_idle);
        }
        let idle = self.connections.iter().enumerate().filter(|(_, known)| is_idle(known));
        let idle: Vec<IdleConnection> = idle
            .map(|(key, connection)| IdleConnection {
                key,
                account: Some(&self.names[connection.account]),
                is_unused: connection.is_unused,
            })
            .collect();
        eviction_order(&idle, &self.recent, self.start + now).first().copied()
    }

    fn open_in_advance(&mut self, now: Duration) {
        let works = self.waiting.iter().any(|statement| statement.arrives <= now);
        if works || self.connections.len() >= self.sizes.max {
            return;
        }
        let mut requests = std::mem::take(&mut self.requests);
        let number = |name: &AccountName| self.names.iter().position(|known| known == name);
        let has_connection =
            |name: &AccountName| number(name).is_some_and(|number| self.usable_by(number, now));
        let next = requests.take_next(self.start + now, has_connection);
        if let Some(account) = next.as_ref().and_then(number) {
            self.open(account, true, now);
        }
        self.requests = requests;
    }

    fn close_surplus(&mut self, now: Duration) {
        let idle_timeout = match self.rule {
            Rule::Prewarming => SHORT_IDLE_TIMEOUT,
            Rule::LongestIdle | Rule::LeastLikely => IDLE_TIMEOUT,
        };
        let mut surplus = self.connections.len().saturating_sub(self.sizes.retained);
        self.connections.retain(|connection| {
            let closes = surplus > 0 && connection.busy_until + idle_timeout <= now;
            surplus -= usize::from(closes);
            !closes
        });
    }
}

/// Waits of urgent and other statements over all seeds.
fn waits(rule: Rule, sizes: Sizes) -> (Waits, Waits) {
    let mut replay = Replay::new(rule, sizes);
    for seed in 0..SEEDS {
        replay.run(seed);
        // The next seed starts without connections and requests, and keeps only the sums.
        let (urgent, normal) = (replay.urgent, replay.normal);
        replay = Replay { urgent, normal, ..Replay::new(rule, sizes) };
    }
    (replay.urgent, replay.normal)
}

fn print(sizes: Sizes, rule: &str, (urgent, normal): (Waits, Waits)) {
    println!("{sizes:?}, {rule}: urgent {urgent:?}, others {normal:?}");
}

#[test]
fn urgent_statements_wait_a_fifth_as_long_and_others_hardly_longer() {
    for sizes in SIZES {
        let longest_idle = waits(Rule::LongestIdle, sizes);
        let least_likely = waits(Rule::LeastLikely, sizes);
        let prewarming = waits(Rule::Prewarming, sizes);
        print(sizes, "longest idle", longest_idle);
        print(sizes, "least likely", least_likely);
        print(sizes, "prewarming", prewarming);
        let urgent = [longest_idle, prewarming].map(|(urgent, _)| urgent.mean());
        assert!(urgent[1] * 5 < urgent[0], "urgent statements: {urgent:?}");
        let others = [longest_idle, prewarming].map(|(_, normal)| normal.mean());
        assert!(others[1] <= others[0] + STEP, "other statements: {others:?}");
    }
}
