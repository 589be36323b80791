//! The thread that writes this node's votes to the store. It writes the newest votes only and
//! retries until the store has accepted them.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Sender, unbounded};
use kestrellock_core::promotion::NodeVotes;

use super::ReplacementServices;
use crate::context::NodeContext;
use crate::supervisor::StopFlag;

/// Delay before a failed write is retried.
const VOTE_RETRY_DELAY: Duration = Duration::from_millis(100);

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
        while !stop.is_stopping() {
            let next = match &pending {
                Some(_) => votes.recv_timeout(VOTE_RETRY_DELAY).ok(),
                None => match votes.recv() {
                    Ok(next) => Some(next),
                    Err(_) => return,
                },
            };
            pending = votes.try_iter().last().or(next).or(pending);
            let Some(newest) = &pending else { continue };
            if coordination.vote(&context.identity.node, newest).is_ok() {
                pending = None;
            }
        }
    });
    if let Err(error) = spawned {
        log::error!("failed to start the vote publisher thread: {error}");
    }
    sender
}
