//! The thread that writes this node's votes to the store. It writes the newest votes only and
//! retries until the store has accepted them, with a backoff while the store refuses them.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{RecvTimeoutError, Sender, unbounded};
use kestrellock_core::promotion::NodeVotes;
use kestrellock_core::store_access::CallBackoff;

use super::ReplacementServices;
use super::store_calls::{log_backoff_begin, log_backoff_end, refusal_of};
use crate::context::NodeContext;
use crate::metrics::StorePurpose;
use crate::supervisor::StopFlag;

/// Interval at which the publisher checks whether the backoff is over: it ends early when the store
/// answers other calls of this node.
const BACKOFF_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Starts the thread; it ends when the sender is dropped or the node stops.
pub(super) fn start(
    context: &Arc<NodeContext>,
    services: &ReplacementServices,
    stop: &StopFlag,
) -> Sender<NodeVotes> {
    let (sender, votes) = unbounded::<NodeVotes>();
    let (context, coordination, stop) =
        (context.clone(), services.coordination.clone(), stop.clone());
    let spawned = thread::Builder::new().name("promotion-voter".to_owned()).spawn(move || {
        let mut pending: Option<NodeVotes> = None;
        let mut backoff = CallBackoff::for_calls();
        while !stop.is_stopping() {
            let wait = backoff.remaining(Instant::now()).min(BACKOFF_CHECK_INTERVAL);
            let next = match &pending {
                Some(_) => match votes.recv_timeout(wait) {
                    Ok(next) => Some(next),
                    Err(RecvTimeoutError::Timeout) => None,
                    Err(RecvTimeoutError::Disconnected) => {
                        stop.sleep(wait);
                        None
                    }
                },
                None => match votes.recv() {
                    Ok(next) => Some(next),
                    Err(_) => return,
                },
            };
            pending = votes.try_iter().last().or(next).or(pending);
            backoff.on_availability(&coordination.availability());
            let Some(newest) = pending.as_ref().filter(|_| backoff.may_call(Instant::now())) else {
                continue;
            };
            let result = coordination.publish_votes(&context.identity.node, newest);
            match result {
                Ok(()) => {
                    pending = None;
                    if backoff.on_success() {
                        log_backoff_end(StorePurpose::Vote);
                    }
                }
                Err(error) => {
                    let refusal = refusal_of(&error);
                    if backoff.on_refused(refusal, rand::random(), Instant::now()) {
                        log_backoff_begin(StorePurpose::Vote, refusal);
                    }
                }
            }
        }
    });
    if let Err(error) = spawned {
        log::error!("failed to start the vote publisher thread: {error}");
    }
    sender
}
