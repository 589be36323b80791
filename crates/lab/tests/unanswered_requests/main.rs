//! Requests around a planned stop of the node that serves them: each one gets an answer or a
//! refusal, as long as its client closes when it is told that its session ends.

mod answers;
mod counters;
mod crossing;
mod limits;
mod new_connections;
mod several_nodes;

use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use kestrellock_core::catalog::Consistency;
use kestrellock_daemon::context::NodeContext;
use kestrellock_lab::platform::client::{Answer, LineSession};
use kestrellock_lab::platform::{GROUPS, Platform, PlatformOptions, database, wait};

/// Codes which state that nothing of the attempt is kept.
const PROMISES: [&str; 4] = ["BUSY", "ABORTED", "LAGGING", "READONLY"];
/// How long a client looks for a notice before it sends a request.
const NOTICE_CHECK: Duration = Duration::from_millis(1);

fn start(options: PlatformOptions) -> Platform {
    let platform = Platform::start(options).expect("it starts");
    platform.wait_until_ready().expect("it is ready");
    platform
}

fn primary_database() -> String {
    database(GROUPS[0], Consistency::Primary)
}

/// A planned stop of the first node in progress.
struct Stop {
    context: Arc<NodeContext>,
    began: Instant,
    thread: JoinHandle<Platform>,
}

impl Stop {
    /// Stops the first node, and waits until it leaves.
    fn begin(mut platform: Platform) -> Self {
        let context = platform.nodes().next().expect("a node").context.clone();
        let began = Instant::now();
        let thread = std::thread::spawn(move || {
            platform.stop_node(0);
            platform
        });
        wait("the node leaves", || context.is_leaving()).expect("in time");
        Self { context, began, thread }
    }

    /// Waits for the end of the stop.
    fn finish(self) -> Platform {
        self.thread.join().expect("it stops")
    }
}

fn sleep_until(moment: Instant) {
    std::thread::sleep(moment.saturating_duration_since(Instant::now()));
}

/// Sends a request and waits for its answer or refusal. `None` if the client has already been told
/// that its session ends, so that it closes instead.
fn ask(session: &mut LineSession, text: &str) -> Option<Answer> {
    if !session.is_quiet_for(NOTICE_CHECK).expect("a check") {
        session.next_notice().expect("nothing but a notice ends the session");
        return None;
    }
    let sent = Instant::now();
    let answer = session.run(text);
    let waited = sent.elapsed();
    Some(answer.unwrap_or_else(|error| panic!("{text}: {error} after {waited:?}")))
}

/// Whether the answer states that nothing of the attempt is kept.
fn is_promise(answer: &Answer) -> bool {
    answer.error_code().is_some_and(|code| PROMISES.contains(&code))
}

/// Whether an instance has run the statement.
fn has_run(platform: &Platform, id: &str) -> bool {
    platform.groups[0].executed_statements().iter().any(|executed| executed.id == id)
}
