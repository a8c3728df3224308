//! SIGHUP: the configuration file is read again while the gateway serves on. What it says of the discovery service is
//! taken; the rest is how this gateway was started, and changes with the next start.

use super::config::{self, Config};
use crate::cluster::Gateways;
use crate::discovery;
use crate::protocols::rest::RestService;
use crate::state::State;
use larchfall_operator_config::Site;
use larchfall_policy::time::Duration;
use may::io::CoIo;
use may::sync::mpsc;
use slog::{info, warn};
use std::io::Read as _;
use std::os::unix::net::UnixStream;
use std::sync::Arc;

/// Whoever replaces the file may still be writing it: it is read this often before the old one is kept.
const TRIES: usize = 5;
const PAUSE: Duration = Duration::from_millis(100);

/// What is read again.
#[derive(Clone)]
pub struct Files {
    pub config: String,
    pub site: Option<String>,
}

/// Both files as they were read, on the heap: a channel lays out room for many results at once, on a coroutine's
/// small stack.
struct Read {
    config: Box<Config>,
    site: Box<Site>,
}

/// Follows the signal for good; each byte is one.
pub fn on_signal(
    state: &Arc<State>,
    mut asked: CoIo<UnixStream>,
    files: &Files,
    (service, gateways): (Option<&Arc<RestService>>, Option<&Gateways>),
    seed: u64,
) {
    let mut byte = [0];
    while matches!(asked.read(&mut byte), Ok(1)) {
        // Both files or neither: each is checked against the other.
        if let Some(Read { config, site }) = read(state, files) {
            let Site { rest, gateways: site, duties, .. } = *site;
            if let Some((service, rest)) = service.zip(rest) {
                service.reload(rest);
            }
            if let Some((gateways, site)) = gateways.zip(site) {
                gateways.set(state, site.settings, duties);
            }
            for event in &config.known {
                discovery::take(state, event);
            }
            info!(state.log, "configuration reloaded"; "discovery" => config.discovery.to_string());
            // A follower of its own, at once: the old discovery service may stay silent and hold its connection open.
            let era = state.discovery.next_client();
            let state = state.clone();
            may::go!(move || discovery::follow(&state, config.discovery, seed, era));
        }
    }
}

/// Reads the files on a thread of its own: neither the disk nor a long list may hold up the one worker.
fn read(state: &State, files: &Files) -> Option<Read> {
    for attempt in 1..=TRIES {
        let (done, result) = mpsc::channel();
        let files = files.clone();
        let started = std::thread::Builder::new().spawn(move || {
            let both = config::read(&files.config).and_then(|config| {
                let site =
                    files.site.map(|file| larchfall_operator_config::read(&file, &config.settings.names));
                let (config, site) = (Box::new(config), Box::new(site.transpose()?.unwrap_or_default()));
                Ok(Read { config, site })
            });
            let _ = done.send(both);
        });
        let read = started.map_err(|e| e.to_string()).and_then(|_| {
            result.recv().unwrap_or_else(|_| Err("the thread that reads it panicked".to_owned()))
        });
        match read {
            Ok(read) => return Some(read),
            Err(why) => {
                warn!(state.log, "configuration rejected"; "try" => attempt, "reason" => why.to_string())
            }
        }
        state.sleep(PAUSE);
    }
    None
}
