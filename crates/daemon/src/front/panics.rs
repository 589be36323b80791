//! What the front does after a thread of the node has panicked and was restarted.

use super::Front;
use crate::event::Io;

impl Front {
    /// Closes the session that caused a panic, and reads the input of all others after a restart:
    /// events that the thread had not handled are lost, and the system does not repeat them.
    pub(super) fn recover_from_panics(&mut self, io: &mut Io) {
        self.close_panicked(io);
        let restarts = io.context.metrics.restarts.get();
        if std::mem::replace(&mut self.seen_restarts, restarts) == restarts {
            return;
        }
        let keys: Vec<usize> = self.sessions.iter().map(|(key, _)| key).collect();
        for key in keys {
            self.on_ready(key, io);
        }
    }

    /// Closes the session during whose handling the thread panicked. Its state may be inconsistent,
    /// and its input may make the thread panic again.
    pub(super) fn close_panicked(&mut self, io: &mut Io) {
        let Some(key) = self.advancing.take() else { return };
        if let Some(session) = self.sessions.get(key) {
            session.count_panicked(io);
            self.close(key, io);
        }
    }
}
