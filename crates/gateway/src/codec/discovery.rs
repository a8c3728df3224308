//! The discovery service: numbered changes of the list of engines, as JSON in the configuration and as frames on its
//! connection.

use super::Decoded;
use larchfall_config::Names;
use larchfall_policy::types::EngineState;
use serde::Deserialize;
use std::net::{Ipv4Addr, SocketAddrV4};

/// No list of engines is longer.
const MAX_FRAME_BYTES: usize = 4 << 20;
/// The revision and the kind of frame, before the records.
const FRAME_HEAD_BYTES: usize = 9;
const RECORD_BYTES: usize = 27;

/// One engine as the discovery service lists it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointEntry {
    /// Its number, which stays the same over restarts.
    pub id: u32,
    /// Where it listens.
    pub address: SocketAddrV4,
    /// Whether it takes new attempts.
    pub state: EngineState,
    /// Index of its zone.
    pub zone: usize,
    /// Index of its kind.
    pub kind: usize,
    /// Its cell within the zone.
    pub cell: usize,
    /// Unix time in milliseconds, 0 for long ago.
    pub started_ms: u64,
}

/// A change of the endpoint list.
#[derive(Debug, PartialEq)]
pub struct WatchEvent {
    /// The list's version after this change.
    pub revision: u64,
    /// All entries there are; otherwise only those that changed.
    pub is_full_list: bool,
    /// What the change says of endpoints.
    pub entries: Vec<EndpointEntry>,
}

/// What the discovery service sends.
#[derive(Debug, PartialEq)]
pub enum Frame {
    /// Nothing changed.
    Heartbeat,
    /// The list changed.
    Event(WatchEvent),
}

/// Why bytes of the discovery service, or the configuration's list, can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[expect(missing_docs, reason = "the text of each variant says what it means")]
pub enum DiscoveryError {
    #[error("frame of {bytes} bytes")]
    FrameLength { bytes: usize },
    #[error("frame of unknown kind {kind}")]
    FrameKind { kind: u8 },
    #[error("records of {bytes} bytes")]
    RecordsLength { bytes: usize },
    #[error("unknown state {state}")]
    EndpointState { state: u8 },
    #[error("known.notices, rev {revision}: {endpoint}")]
    KnownEndpoint { revision: u64, endpoint: EndpointError },
}

/// Why an endpoint of the configuration's list can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[expect(missing_docs, reason = "the text of each variant says what it means")]
pub enum EndpointError {
    #[error("instanceId '{value}' is not of the form s-0123abcd")]
    Id { value: String },
    #[error("hostPort '{value}' is no address")]
    Address { value: String },
    #[error("unknown lifecycle '{value}'")]
    Lifecycle { value: String },
    #[error("{field} '{value}' is not in the settings")]
    UnknownName { field: &'static str, value: String },
}

/// The first frame in these bytes; `None` while it is not complete.
pub fn decode(bytes: &[u8]) -> Result<Option<Decoded<Frame>>, DiscoveryError> {
    let Some((head, rest)) = bytes.split_first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*head) as usize;
    if !(FRAME_HEAD_BYTES..=MAX_FRAME_BYTES).contains(&length) {
        return Err(DiscoveryError::FrameLength { bytes: length });
    }
    let Some(frame) = rest.get(..length) else { return Ok(None) };
    let decoded = |value| Ok(Some(Decoded { value, length: 4 + length }));
    let is_full_list = match frame[8] {
        0 => return decoded(Frame::Heartbeat),
        1 => true,
        2 => false,
        kind => return Err(DiscoveryError::FrameKind { kind }),
    };
    let revision = u64::from_be_bytes(read_array(frame, 0));
    let records = &frame[FRAME_HEAD_BYTES..];
    if records.len() % RECORD_BYTES != 0 {
        return Err(DiscoveryError::RecordsLength { bytes: records.len() });
    }
    let entries = records.chunks_exact(RECORD_BYTES).map(entry).collect::<Result<_, _>>()?;
    decoded(Frame::Event(WatchEvent { revision, is_full_list, entries }))
}

fn read_array<const N: usize>(bytes: &[u8], offset: usize) -> [u8; N] {
    let mut out = [0; N];
    out.copy_from_slice(&bytes[offset..offset + N]);
    out
}

fn entry(record: &[u8]) -> Result<EndpointEntry, DiscoveryError> {
    let state = match record[10] {
        0 => EngineState::Ready,
        1 => EngineState::Draining,
        2 => EngineState::Gone,
        state => return Err(DiscoveryError::EndpointState { state }),
    };
    Ok(EndpointEntry {
        id: u32::from_be_bytes(read_array(record, 0)),
        address: SocketAddrV4::new(
            Ipv4Addr::from(read_array::<4>(record, 4)),
            u16::from_be_bytes(read_array(record, 8)),
        ),
        state,
        zone: usize::from(record[11]),
        kind: usize::from(record[12]),
        cell: usize::from(u16::from_be_bytes(read_array(record, 13))),
        started_ms: u64::from_be_bytes(read_array(record, 19)),
    })
}

/// What a gateway writes on a new connection: the last revision that it has seen.
pub fn encode_watch_request(last_revision: u64) -> [u8; 8] {
    last_revision.to_be_bytes()
}

/// `known` in the configuration: the list of engines as of its writing. Refusals of the configuration show the names of
/// these structs, so they keep them.
#[derive(Deserialize)]
pub struct Known {
    /// The list's version.
    #[serde(rename = "rev")]
    pub revision: u64,
    #[serde(default, rename = "notices")]
    events: Vec<KnownEvent>,
}

#[derive(Deserialize)]
struct KnownEvent {
    #[serde(rename = "rev")]
    revision: u64,
    #[serde(rename = "pool")]
    list: KnownList,
}

#[derive(Deserialize)]
struct KnownList {
    #[serde(default, rename = "reset")]
    is_full_list: bool,
    #[serde(default, rename = "instances")]
    endpoints: Vec<KnownEntry>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct KnownEntry {
    #[serde(rename = "instanceId")]
    id: String,
    #[serde(rename = "hostPort")]
    address: String,
    #[serde(default)]
    zone: String,
    #[serde(default, rename = "machineType")]
    kind: String,
    #[serde(default)]
    cell: usize,
    lifecycle: String,
    #[serde(default)]
    started_at_ms: u64,
}

/// The events of `known`, with the settings' names replaced by their indices.
pub fn known_events(known: &Known, names: &Names) -> Result<Vec<WatchEvent>, DiscoveryError> {
    known.events.iter().map(|event| known_event(event, names)).collect()
}

fn known_event(event: &KnownEvent, names: &Names) -> Result<WatchEvent, DiscoveryError> {
    let revision = event.revision;
    let entries = event.list.endpoints.iter().map(|endpoint| known_endpoint(endpoint, names));
    let entries = entries
        .collect::<Result<_, _>>()
        .map_err(|endpoint| DiscoveryError::KnownEndpoint { revision, endpoint })?;
    Ok(WatchEvent { revision, is_full_list: event.list.is_full_list, entries })
}

fn known_endpoint(endpoint: &KnownEntry, names: &Names) -> Result<EndpointEntry, EndpointError> {
    let id = endpoint.id.strip_prefix("s-").and_then(|hex| u32::from_str_radix(hex, 16).ok());
    Ok(EndpointEntry {
        id: id.ok_or_else(|| EndpointError::Id { value: endpoint.id.clone() })?,
        address: endpoint
            .address
            .parse()
            .map_err(|_| EndpointError::Address { value: endpoint.address.clone() })?,
        state: match endpoint.lifecycle.as_str() {
            "up" => EngineState::Ready,
            "draining" => EngineState::Draining,
            "removed" => EngineState::Gone,
            other => return Err(EndpointError::Lifecycle { value: other.to_owned() }),
        },
        zone: index_of(&names.zones, "zone", &endpoint.zone)?,
        kind: index_of(&names.kinds, "machineType", &endpoint.kind)?,
        cell: endpoint.cell,
        started_ms: endpoint.started_at_ms,
    })
}

fn index_of(names: &[String], field: &'static str, name: &str) -> Result<usize, EndpointError> {
    let unknown = || EndpointError::UnknownName { field, value: name.to_owned() };
    names.iter().position(|known| known == name).ok_or_else(unknown)
}
