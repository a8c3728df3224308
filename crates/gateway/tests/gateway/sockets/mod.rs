//! Tests that run the program on loopback sockets with stub engines, a stub discovery service and stub clients.

mod attempts;
mod discovery;
mod key_order;
mod limits;
mod malformed;
mod memory;
mod restarts;

use larchfall_stub::client::Answer;
use larchfall_stub::engine::{Engine, EngineBehavior};
use std::time::Duration;

const NOW: Duration = Duration::ZERO;
/// A query duration that outlasts every test.
const FOREVER: Duration = Duration::from_secs(600);
/// The shortest key cooldown after an attempt that may still run unobserved.
const MIN_KEY_COOLDOWN: Duration = Duration::from_secs(8);
/// A request id.
const ID: &str = "9b1f03aa5c7e2d41";

fn fields<'a>(id: &'a str, timeout: &'a str) -> Vec<(&'a str, &'a str)> {
    vec![("req", id), ("timeout", timeout), ("owner", "acme"), ("ms", "10"), ("est_mb", "5")]
}

/// The fields of a request of this class. Requests of class `load` carry an idempotency key and an ordering key.
fn fields_of<'a>(class: &str, id: &'a str, timeout: &'a str) -> Vec<(&'a str, &'a str)> {
    let mut fields = fields(id, timeout);
    if class == "load" {
        fields.extend([("opkey", id), ("subject", "00000000000000ab")]);
    }
    fields
}

fn engine(behavior: EngineBehavior) -> Engine {
    Engine::start("127.0.0.1:0", move |_| behavior.clone()).unwrap()
}

fn rows(text: &str) -> Answer {
    Answer::Rows(text.as_bytes().to_vec())
}

fn pages(texts: &[&str]) -> Vec<Vec<u8>> {
    texts.iter().map(|t| t.as_bytes().to_vec()).collect()
}
