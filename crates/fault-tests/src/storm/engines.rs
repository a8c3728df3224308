//! The engines of a storm as the discovery services list them, and who replaces them one after the other: most drain first, some are gone
//! without a word; each is followed by another process at its address, which starts cold.

use crate::process::list;
use crate::relay::{Relays, Way};
use crate::storm::load::lock;
use larchfall_stub::discovery::Discovery;
use larchfall_stub::hall::Hall;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// By address id, state and process.
pub struct Listed {
    pub hall: Hall,
    list: Vec<(u32, u8, usize)>,
    number: u64,
}

impl Listed {
    pub fn new(hall: Hall, engines: usize) -> Listed {
        Listed { hall, list: (0..engines).map(|i| (i as u32 + 1, 0, i)).collect(), number: 1 }
    }

    /// Tells this gateway's discovery service what it was last told, or one that is new.
    pub fn tell(&self, discovery: &Discovery, i: usize, relays: &Relays) {
        let listed =
            self.list.iter().enumerate().map(|(e, (id, state, _))| (*id, relays.address(i, e), *state));
        list(discovery, self.number, &listed.collect::<Vec<_>>());
    }

    fn tell_all(&mut self, discoveries: &Mutex<Vec<Arc<Discovery>>>, relays: &Relays) {
        self.number += 1;
        lock(discoveries).iter().enumerate().for_each(|(i, discovery)| self.tell(discovery, i, relays));
    }

    /// Ids of those that are ready.
    pub fn ready(&self) -> Vec<u32> {
        self.list.iter().filter(|(_, state, _)| *state == 0).map(|(id, ..)| *id).collect()
    }
}

/// Replaces one after the other until it is over. Processes that were said to drain, and when all had been told.
pub fn replace(
    listed: &Mutex<Listed>,
    discoveries: &Mutex<Vec<Arc<Discovery>>>,
    relays: &Relays,
    (every, sudden): (Duration, u64),
    over: &AtomicBool,
) -> Vec<(usize, Instant)> {
    let mut drained = Vec::new();
    let pause = |ms| thread::sleep(Duration::from_millis(ms));
    let engines = lock(listed).list.len();
    for round in 0.. {
        if over.load(Ordering::Relaxed) || every.is_zero() {
            break;
        }
        let at = round % engines;
        let dies = sudden > 0 && (round as u64 + 1).is_multiple_of(sudden);
        if dies {
            // What was said on open connections is lost, and nobody is told.
            relays.set(|_, e| e == at, Way::Cut);
        } else {
            let mut listed = lock(listed);
            listed.list[at].1 = 1;
            listed.tell_all(discoveries, relays);
            drained.push((listed.list[at].2, Instant::now()));
            drop(listed);
            pause(300);
        }
        lock(listed).hall.close(at);
        pause(200);
        {
            let mut listed = lock(listed);
            let process = listed.hall.open(at);
            listed.list[at] = ((engines + round) as u32 + 1, 0, process);
        }
        if dies {
            relays.set(|_, e| e == at, Way::Sound);
        }
        pause(200);
        lock(listed).tell_all(discoveries, relays);
        thread::sleep(every.saturating_sub(Duration::from_millis(700)));
    }
    drained
}
