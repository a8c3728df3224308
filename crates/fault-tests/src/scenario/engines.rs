//! The engines of a scenario as discovery services list them, and their replacement one after the other: most drain first,
//! some are gone without notice; each is followed by another process at its address, in slow start.

use crate::audit::DrainAnnouncement;
use crate::gateway_process::publish;
use crate::proxy::{Proxies, ProxyMode};
use crate::sync::lock;
use larchfall_stub::discovery::{Discovery, Endpoint};
use larchfall_stub::stub_engines::StubEngines;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// From the announcement that an engine drains until it no longer listens.
const DRAIN_TIME: Duration = Duration::from_millis(300);
/// Before and after another process listens.
const RESTART_PAUSE: Duration = Duration::from_millis(200);
/// What one replacement takes at most, of the interval between two.
const REPLACEMENT_TIME: Duration = Duration::from_millis(700);

/// An engine's entry in the list.
struct ListedEngine {
    id: u32,
    draining: bool,
    /// The process that listens, or listened last, at its address.
    process: usize,
}

/// The engines, and the list of them that discovery services publish.
pub struct ListedEngines {
    /// The engines.
    pub engines: StubEngines,
    list: Vec<ListedEngine>,
    revision: u64,
}

impl ListedEngines {
    /// All engines, ready; gateways know this list from the start.
    pub fn new(engines: StubEngines, count: usize) -> ListedEngines {
        let entry = |process| ListedEngine { id: process as u32 + 1, draining: false, process };
        ListedEngines { engines, list: (0..count).map(entry).collect(), revision: 1 }
    }

    /// Has the discovery service of a gateway publish the list, with the addresses of the gateway's proxies.
    pub fn publish_to(&self, discovery: &Discovery, gateway: usize, proxies: &Proxies) {
        let endpoint = |(place, engine): (usize, &ListedEngine)| {
            let address = proxies.address(gateway, place);
            if engine.draining {
                Endpoint::draining(engine.id, address)
            } else {
                Endpoint::ready(engine.id, address)
            }
        };
        let endpoints: Vec<Endpoint> = self.list.iter().enumerate().map(endpoint).collect();
        publish(discovery, self.revision, &endpoints);
    }

    fn publish_to_all(&mut self, discoveries: &Mutex<Vec<Arc<Discovery>>>, proxies: &Proxies) {
        self.revision += 1;
        for (gateway, discovery) in lock(discoveries).iter().enumerate() {
            self.publish_to(discovery, gateway, proxies);
        }
    }

    /// Ids of engines that are ready.
    pub fn ready_ids(&self) -> Vec<u32> {
        self.list.iter().filter(|engine| !engine.draining).map(|engine| engine.id).collect()
    }
}

/// Replaces engines one after the other.
pub struct EngineReplacer<'a> {
    /// The engines.
    pub engines: &'a Mutex<ListedEngines>,
    /// The discovery services of the gateways that run, by gateway.
    pub discoveries: &'a Mutex<Vec<Arc<Discovery>>>,
    /// From gateways to engines.
    pub proxies: &'a Proxies,
    /// From one replacement to the next; zero: there are none.
    pub interval: Duration,
    /// One in this many ends without notice; 0: none.
    pub sudden_one_in: u64,
    /// Ends it.
    pub stop: &'a AtomicBool,
}

impl EngineReplacer<'_> {
    /// Replaces engines until it is stopped; returns which processes were announced to drain.
    pub fn run(&self) -> Vec<DrainAnnouncement> {
        let mut drained = Vec::new();
        let count = lock(self.engines).list.len();
        for round in 0.. {
            if self.stop.load(Ordering::Relaxed) || self.interval.is_zero() {
                break;
            }
            let place = round % count;
            let sudden = self.sudden_one_in > 0 && (round as u64 + 1).is_multiple_of(self.sudden_one_in);
            if sudden {
                // What is under way on open connections is lost, and nobody is told.
                self.proxies.set_mode(|_, engine| engine == place, ProxyMode::Cut);
            } else {
                drained.push(self.announce_drain(place));
                thread::sleep(DRAIN_TIME);
            }
            lock(self.engines).engines.close(place);
            thread::sleep(RESTART_PAUSE);
            let id = (count + round) as u32 + 1;
            self.restart(place, id);
            if sudden {
                self.proxies.set_mode(|_, engine| engine == place, ProxyMode::Forward);
            }
            thread::sleep(RESTART_PAUSE);
            lock(self.engines).publish_to_all(self.discoveries, self.proxies);
            thread::sleep(self.interval.saturating_sub(REPLACEMENT_TIME));
        }
        drained
    }

    fn announce_drain(&self, place: usize) -> DrainAnnouncement {
        let mut listed = lock(self.engines);
        listed.list[place].draining = true;
        listed.publish_to_all(self.discoveries, self.proxies);
        DrainAnnouncement { process: listed.list[place].process, at: Instant::now() }
    }

    fn restart(&self, place: usize, id: u32) {
        let mut listed = lock(self.engines);
        let process = listed.engines.open(place);
        listed.list[place] = ListedEngine { id, draining: false, process };
    }
}
