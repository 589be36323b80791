//! Watches which configuration each node has in force.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::deployment::{Cluster, NodeSlot};
use crate::check::history::{ConfigurationSample, ConfigurationTrack, RunTime};

const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Samples every node until `over`. A node that starts again begins a new track.
pub fn follow(cluster: &Cluster, began: Instant, over: &AtomicBool) -> Vec<ConfigurationTrack> {
    let mut tracks = Vec::new();
    let mut watched: Vec<Watched> = cluster.nodes.iter().map(|_| Watched::default()).collect();
    while !over.load(Ordering::Acquire) {
        let now = RunTime(began.elapsed().as_micros() as u64);
        for (slot, watched) in cluster.nodes.iter().zip(&mut watched) {
            watched.sample(slot, now, &mut tracks);
        }
        thread::sleep(SAMPLE_INTERVAL);
    }
    tracks.extend(watched.into_iter().filter_map(|watched| watched.track));
    tracks
}

#[derive(Default)]
struct Watched {
    incarnation: u64,
    track: Option<ConfigurationTrack>,
}

impl Watched {
    fn sample(&mut self, slot: &NodeSlot, at: RunTime, ended: &mut Vec<ConfigurationTrack>) {
        let running = slot.running();
        let Some(node) = running.as_ref() else {
            ended.extend(self.track.take());
            return;
        };
        let incarnation = node.context.identity.incarnation;
        if incarnation != self.incarnation {
            ended.extend(self.track.take());
            self.incarnation = incarnation;
        }
        let revision = node.context.catalog.load().revision.0;
        let track = self.track.get_or_insert_with(|| ConfigurationTrack {
            node: slot.id.clone(),
            started: at,
            samples: Vec::new(),
        });
        track.samples.push(ConfigurationSample { at, revision });
    }
}
