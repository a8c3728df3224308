//! Codec of the discovery service: numbered changes of the endpoint list, as binary frames on a connection and as
//! JSON in the configuration.

use super::Decoded;
use larchfall_config::Names;
use larchfall_policy::types::EngineState;
use serde::Deserialize;
use std::net::{Ipv4Addr, SocketAddrV4};

/// Maximum frame length, more than any endpoint list needs.
const MAX_FRAME_BYTES: usize = 4 << 20;
/// Length of the revision and the frame kind, which precede the records.
const FRAME_HEADER_BYTES: usize = 9;
/// Length of the record of one endpoint.
const RECORD_BYTES: usize = 27;

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointEntry {
    /// Number of the engine; stays the same when the engine restarts.
    pub id: u32,
    /// Address at which the engine listens.
    pub address: SocketAddrV4,
    /// Whether the engine accepts new attempts.
    pub state: EngineState,
    /// Index of the engine's zone in the settings.
    pub zone: usize,
    /// Index of the engine's machine type in the settings.
    pub kind: usize,
    /// Cell within the zone.
    pub cell: usize,
    /// Start of the engine process as Unix time in milliseconds; 0 if the process started long ago.
    pub started_ms: u64,
}

/// A change of the endpoint list, or the complete list.
#[derive(Debug, PartialEq)]
pub struct WatchEvent {
    /// Revision of the list after this change.
    pub revision: u64,
    /// Whether `entries` is the complete list rather than only the changed entries.
    pub is_full_list: bool,
    /// New or changed entries. A removed endpoint has the state `Gone`.
    pub entries: Vec<EndpointEntry>,
}

/// A frame from the discovery service.
#[derive(Debug, PartialEq)]
pub enum Frame {
    /// Sign of life without a change of the list.
    Heartbeat,
    /// The list changed.
    Event(WatchEvent),
}

/// Why a frame of the discovery service, or the endpoint list of the configuration, is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[expect(missing_docs, reason = "the text of each variant says what it means")]
pub enum DiscoveryError {
    #[error("frame length is {bytes} bytes, not between {FRAME_HEADER_BYTES} and {MAX_FRAME_BYTES}")]
    FrameLength { bytes: usize },
    #[error("frame kind is {kind}, not 0, 1 or 2")]
    FrameKind { kind: u8 },
    #[error("records have {bytes} bytes, not a multiple of {RECORD_BYTES}")]
    RecordsLength { bytes: usize },
    #[error("endpoint state is {state}, not 0, 1 or 2")]
    EndpointState { state: u8 },
    #[error("known.notices, rev {revision}: {endpoint}")]
    KnownEndpoint { revision: u64, endpoint: EndpointError },
}

/// Why an endpoint in the configuration is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[expect(missing_docs, reason = "the text of each variant says what it means")]
pub enum EndpointError {
    #[error("instanceId '{value}' is not of the form s-0123abcd")]
    Id { value: String },
    #[error("hostPort '{value}' is not an IPv4 address with a port")]
    Address { value: String },
    #[error("lifecycle '{value}' is not up, draining or removed")]
    Lifecycle { value: String },
    #[error("{field} '{value}' is not in the settings")]
    UnknownName { field: &'static str, value: String },
}

/// Decodes the first frame in a byte slice; `None` if the frame is incomplete.
pub fn decode(bytes: &[u8]) -> Result<Option<Decoded<Frame>>, DiscoveryError> {
    let Some((length_prefix, rest)) = bytes.split_first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*length_prefix) as usize;
    if !(FRAME_HEADER_BYTES..=MAX_FRAME_BYTES).contains(&length) {
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
    let records = &frame[FRAME_HEADER_BYTES..];
    if records.len() % RECORD_BYTES != 0 {
        return Err(DiscoveryError::RecordsLength { bytes: records.len() });
    }
    let entries = records.chunks_exact(RECORD_BYTES).map(decode_entry).collect::<Result<_, _>>()?;
    decoded(Frame::Event(WatchEvent { revision, is_full_list, entries }))
}

fn read_array<const N: usize>(bytes: &[u8], offset: usize) -> [u8; N] {
    let mut out = [0; N];
    out.copy_from_slice(&bytes[offset..offset + N]);
    out
}

fn decode_entry(record: &[u8]) -> Result<EndpointEntry, DiscoveryError> {
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

/// Encodes the request that starts a watch on a new connection: the last revision that the gateway knows, in
/// big-endian.
pub fn encode_watch_request(last_revision: u64) -> [u8; 8] {
    last_revision.to_be_bytes()
}

/// The field `known` of the configuration: the endpoint list at the time when the configuration was written. Error
/// messages for an invalid configuration contain the names of this struct and of `KnownEvent`, `KnownList` and
/// `KnownEntry`, so these names must not change.
#[derive(Deserialize)]
pub struct Known {
    /// Revision of the list.
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

/// Converts `known` to watch events, with names from the settings replaced by their indices.
pub fn known_events(known: &Known, names: &Names) -> Result<Vec<WatchEvent>, DiscoveryError> {
    known.events.iter().map(|event| convert_event(event, names)).collect()
}

fn convert_event(event: &KnownEvent, names: &Names) -> Result<WatchEvent, DiscoveryError> {
    let revision = event.revision;
    let entries = event.list.endpoints.iter().map(|endpoint| convert_endpoint(endpoint, names));
    let entries = entries
        .collect::<Result<_, _>>()
        .map_err(|endpoint| DiscoveryError::KnownEndpoint { revision, endpoint })?;
    Ok(WatchEvent { revision, is_full_list: event.list.is_full_list, entries })
}

fn convert_endpoint(endpoint: &KnownEntry, names: &Names) -> Result<EndpointEntry, EndpointError> {
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

/// Index of a name in a list of the settings. `field` is the configuration field for the error message.
fn index_of(names: &[String], field: &'static str, name: &str) -> Result<usize, EndpointError> {
    let unknown_name = || EndpointError::UnknownName { field, value: name.to_owned() };
    names.iter().position(|known| known == name).ok_or_else(unknown_name)
}
