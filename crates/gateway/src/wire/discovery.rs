//! The discovery service: numbered changes of the list of engines, as JSON in the configuration and as frames.

use larchfall_config::Names;
use larchfall_policy::interface::EngineState;
use serde::Deserialize;
use std::net::{Ipv4Addr, SocketAddrV4};

/// No list of engines is longer.
const LONGEST: usize = 4 << 20;
const RECORD: usize = 27;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry {
    pub id: u32,
    pub address: SocketAddrV4,
    pub state: EngineState,
    pub zone: usize,
    pub kind: usize,
    pub cell: usize,
    /// Unix time in milliseconds, 0 for long ago.
    pub started_ms: u64,
}

#[derive(Debug, PartialEq)]
pub struct Event {
    pub number: u64,
    /// All engines there are; else only what has changed.
    pub whole: bool,
    pub entries: Vec<Entry>,
}

#[derive(Debug, PartialEq)]
pub enum Frame {
    Nothing,
    News(Event),
}

pub type Malformed = String;

/// The first frame in these bytes and its length; `None` while it is not whole.
pub fn decode(bytes: &[u8]) -> Result<Option<(Frame, usize)>, Malformed> {
    let Some((head, rest)) = bytes.split_first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*head) as usize;
    if !(9..=LONGEST).contains(&length) {
        return Err(format!("frame of {length} bytes"));
    }
    let Some(frame) = rest.get(..length) else { return Ok(None) };
    let number = u64::from_be_bytes(take(frame, 0));
    let records = &frame[9..];
    let whole = match frame[8] {
        0 => return Ok(Some((Frame::Nothing, 4 + length))),
        1 => true,
        2 => false,
        other => return Err(format!("frame of unknown kind {other}")),
    };
    if records.len() % RECORD != 0 {
        return Err(format!("records of {} bytes", records.len()));
    }
    let entries = records.chunks_exact(RECORD).map(entry).collect::<Result<_, _>>()?;
    Ok(Some((Frame::News(Event { number, whole, entries }), 4 + length)))
}

fn take<const N: usize>(bytes: &[u8], at: usize) -> [u8; N] {
    let mut out = [0; N];
    out.copy_from_slice(&bytes[at..at + N]);
    out
}

fn entry(r: &[u8]) -> Result<Entry, Malformed> {
    let state = match r[10] {
        0 => EngineState::Ready,
        1 => EngineState::Draining,
        2 => EngineState::Gone,
        other => return Err(format!("unknown state {other}")),
    };
    Ok(Entry {
        id: u32::from_be_bytes(take(r, 0)),
        address: SocketAddrV4::new(Ipv4Addr::from(take::<4>(r, 4)), u16::from_be_bytes(take(r, 8))),
        state,
        zone: usize::from(r[11]),
        kind: usize::from(r[12]),
        cell: usize::from(u16::from_be_bytes(take(r, 13))),
        started_ms: u64::from_be_bytes(take(r, 19)),
    })
}

/// The number of the last event seen, as a gateway writes it.
pub fn since(number: u64) -> [u8; 8] {
    number.to_be_bytes()
}

/// `known` in the configuration.
#[derive(Deserialize)]
pub struct Known {
    pub rev: u64,
    #[serde(default)]
    notices: Vec<KnownEvent>,
}

#[derive(Deserialize)]
struct KnownEvent {
    rev: u64,
    pool: KnownList,
}

#[derive(Deserialize)]
struct KnownList {
    #[serde(default)]
    reset: bool,
    #[serde(default)]
    instances: Vec<KnownEntry>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct KnownEntry {
    instance_id: String,
    host_port: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    machine_type: String,
    #[serde(default)]
    cell: usize,
    lifecycle: String,
    #[serde(default)]
    started_at_ms: u64,
}

/// The events of `known`, with the names of the settings turned into their places in the lists.
pub fn known(known: &Known, names: &Names) -> Result<Vec<Event>, Malformed> {
    known.notices.iter().map(|n| event(n, names)).collect()
}

fn event(notice: &KnownEvent, names: &Names) -> Result<Event, Malformed> {
    let entries = notice.pool.instances.iter().map(|i| known_entry(i, names)).collect::<Result<_, _>>();
    let at = |e| format!("known.notices, rev {}: {e}", notice.rev);
    Ok(Event { number: notice.rev, whole: notice.pool.reset, entries: entries.map_err(at)? })
}

fn known_entry(i: &KnownEntry, names: &Names) -> Result<Entry, Malformed> {
    let place = |list: &[String], name: &str, what| {
        let at = list.iter().position(|n| n == name);
        at.ok_or_else(|| format!("{what} '{name}' is not in the settings"))
    };
    let id = i.instance_id.strip_prefix("s-").and_then(|hex| u32::from_str_radix(hex, 16).ok());
    Ok(Entry {
        id: id.ok_or_else(|| format!("instanceId '{}' is not of the form s-0123abcd", i.instance_id))?,
        address: i.host_port.parse().map_err(|_| format!("hostPort '{}' is no address", i.host_port))?,
        state: match i.lifecycle.as_str() {
            "up" => EngineState::Ready,
            "draining" => EngineState::Draining,
            "removed" => EngineState::Gone,
            other => return Err(format!("unknown lifecycle '{other}'")),
        },
        zone: place(&names.zones, &i.zone, "zone")?,
        kind: place(&names.kinds, &i.machine_type, "machineType")?,
        cell: i.cell,
        started_ms: i.started_at_ms,
    })
}
