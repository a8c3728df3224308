//! A fleet of processes whose engines tell their load only when they are asked: what asking costs them, and what it
//! brings, with one gateway at a time that asks for all and without.

use crate::load::{self, Ledger};
use crate::net::Net;
use crate::process::{Fleet, config_of, name, settings};
use larchfall_stub::engine::{Act, Engine};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

pub struct Probed {
    pub fleet: Fleet,
    pub engines: Vec<Engine>,
}

/// What a time under load showed.
#[derive(Clone, Debug)]
pub struct Shown {
    pub ledger: Ledger,
    /// Questions for its load that an engine got a second.
    pub probes: f64,
}

impl Probed {
    /// Engines of two cores, of which each request takes so long; `shared` with one gateway that asks for all.
    pub fn start(
        program: &'static str,
        gateways: usize,
        engines: usize,
        takes: Duration,
        shared: bool,
        seed: u64,
    ) -> Probed {
        let serve = move |_: &_| Act::Serve(takes, vec![b"1\n".to_vec()]);
        let engines: Vec<Engine> =
            (0..engines).map(|_| Engine::start("127.0.0.1:0", serve).unwrap()).collect();
        let addresses: Vec<SocketAddr> = engines.iter().map(|e| e.address).collect();
        let electors: Vec<String> = (0..3).map(|i| format!("\"{}\"", name(i))).collect();
        let duties = format!(
            "[duties]\nelectors = [{}]\nlease-ms = 1000\nlongest-ms = 1500\nprobing = 2\nprobe-ms = 250\nfresh-ms = 1000\n",
            electors.join(", ")
        );
        let more = move |_: &Net, _| if shared { duties.clone() } else { String::new() };
        let mut fleet = Fleet::new(program, gateways, seed, more, |_| Vec::new());
        let settings = settings()
            .replace("\"instances\":1", &format!("\"instances\":{gateways}"))
            .replace("\"size_cores\":[64]", "\"size_cores\":[2]")
            .replace("\"probes\":false", "\"probes\":true")
            .replace("\"domain\"", "\"stats\":{\"how\":\"probe\"},\"prices\":{\"probe\":0.01},\"domain\"");
        fleet.config =
            Box::new(move |_, discovery| config_of("127.0.0.1:0", discovery, &addresses, 256, &settings));
        let fleet = fleet.begun();
        fleet.joined();
        Probed { fleet, engines }
    }

    pub fn probes(&self) -> usize {
        self.engines.iter().map(|e| e.seen().probes).sum()
    }

    /// Load on all that run.
    pub fn load(&self, pace: Duration, goal: Duration, duration: Duration) -> Shown {
        let (before, from) = (self.probes(), Instant::now());
        let up = self.fleet.up().map(|i| self.fleet.gateway(i));
        let ledger = load::run(up, |_| pace, goal, duration);
        let probes =
            (self.probes() - before) as f64 / from.elapsed().as_secs_f64() / self.engines.len() as f64;
        Shown { ledger, probes }
    }
}
