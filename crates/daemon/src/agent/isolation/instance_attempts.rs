//! Attempts to connect to instances, without blocking the thread of membership.
//!
//! Only a byte from the instance counts as its answer. A connection that is accepted or refused
//! shows nothing: a firewall or a relay between the zones can do both.

use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use kestrellock_core::ids::InstanceName;
use kestrellock_net::source::SourceAddress;
use mio::net::TcpStream;

use crate::net::connect::connect_from;

/// Time after which an attempt is abandoned. It is longer than a survey waits for answers.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);

/// A connection on which the first messages of a session are sent.
#[derive(Debug)]
struct Attempt {
    instance: InstanceName,
    stream: TcpStream,
    unsent: BytesMut,
    started: Instant,
}

/// State of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Pending,
    Answered,
    Failed,
}

impl Attempt {
    /// Sends what the socket takes, and looks for an answer.
    fn advance(&mut self) -> Progress {
        while !self.unsent.is_empty() {
            match self.stream.write(&self.unsent) {
                Ok(count) => _ = self.unsent.split_to(count),
                Err(error) if is_pending(&error) => return Progress::Pending,
                Err(_) => return Progress::Failed,
            }
        }
        match self.stream.read(&mut [0; 1]) {
            Ok(0) => Progress::Failed,
            Ok(_) => Progress::Answered,
            Err(error) if is_pending(&error) => Progress::Pending,
            Err(_) => Progress::Failed,
        }
    }
}

/// Whether the socket is still connecting or has nothing to read.
fn is_pending(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected)
}

/// The attempts in progress.
#[derive(Debug, Default)]
pub struct InstanceAttempts {
    attempts: Vec<Attempt>,
}

impl InstanceAttempts {
    /// Starts to connect to an instance from the address `source` and to send the first messages of
    /// a session, unless an attempt is in progress.
    pub fn start(
        &mut self,
        instance: &InstanceName,
        source: SourceAddress,
        address: SocketAddr,
        startup: BytesMut,
    ) {
        if self.attempts.iter().any(|attempt| attempt.instance == *instance) {
            return;
        }
        let Ok(stream) = connect_from(source, address, None) else { return };
        self.attempts.push(Attempt {
            instance: instance.clone(),
            stream,
            unsent: startup,
            started: Instant::now(),
        });
    }

    /// Number of attempts in progress.
    pub fn in_progress(&self) -> usize {
        self.attempts.len()
    }

    /// Instances that have answered since the last call. Ends these attempts, and those that failed
    /// or took too long.
    pub fn take_answered(&mut self) -> Vec<InstanceName> {
        let mut answered = Vec::new();
        self.attempts.retain_mut(|attempt| match attempt.advance() {
            Progress::Pending => attempt.started.elapsed() < ATTEMPT_TIMEOUT,
            Progress::Answered => {
                answered.push(attempt.instance.clone());
                false
            }
            Progress::Failed => false,
        });
        answered
    }
}
