//! Decodes the simulator's events.

use super::EngineAddress;
use super::reader::Reader;
use crate::error::{EventError, FieldError};
use larchfall_policy::time::{Duration, Timestamp};
use larchfall_policy::types::{Engine, EngineState, Outcome, ProgressUpdate, Request};

/// The kind of an event, from its numeric code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EventKind {
    /// A gateway starts, with its seed and its settings.
    Start,
    /// The endpoint list of one gateway changes.
    ListChange,
    Request,
    /// An attempt has started to stream its result.
    StreamStarted,
    AttemptFinished,
    ClientDisconnected,
    Timer,
    /// The answer to a health check.
    LoadReport,
    /// A message of another gateway.
    PeerMessage,
    /// A gateway ends.
    Stop,
    /// A progress update about a running attempt.
    Progress,
    /// An endpoint list that later `ListChange` events refer to by its number.
    EndpointList,
    /// A code that this version doesn't know.
    Unknown,
}

impl EventKind {
    pub(crate) fn from_code(code: u8) -> EventKind {
        match code {
            10 => EventKind::Start,
            20 => EventKind::ListChange,
            30 => EventKind::Request,
            40 => EventKind::StreamStarted,
            50 => EventKind::AttemptFinished,
            60 => EventKind::ClientDisconnected,
            70 => EventKind::Timer,
            80 => EventKind::LoadReport,
            90 => EventKind::PeerMessage,
            100 => EventKind::Stop,
            110 => EventKind::Progress,
            120 => EventKind::EndpointList,
            _ => EventKind::Unknown,
        }
    }

    /// The simulator's name of the event, for error messages.
    pub(crate) fn name(self) -> &'static str {
        match self {
            EventKind::Start => "init",
            EventKind::ListChange => "view",
            EventKind::Request => "work_item",
            EventKind::StreamStarted => "ack_first",
            EventKind::AttemptFinished => "verdict",
            EventKind::ClientDisconnected => "timed_out_client",
            EventKind::Timer => "fired",
            EventKind::LoadReport => "status_back",
            EventKind::PeerMessage => "message",
            EventKind::Stop => "retire",
            EventKind::Progress => "notice",
            EventKind::EndpointList => "snapshot_rows",
            EventKind::Unknown => "unknown",
        }
    }
}

/// An entry of an endpoint list.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ListedEngine {
    pub(crate) address: EngineAddress,
    pub(crate) engine: Engine,
}

pub(crate) fn read_endpoint_list(fields: &mut Reader) -> Result<Vec<ListedEngine>, EventError> {
    let count = fields.u32()? as usize;
    // The count is not validated yet, so it must not decide how much memory is allocated. Reading an entry fails when
    // the event is too short for the count.
    let mut engines = Vec::with_capacity(count.min(65536));
    for _ in 0..count {
        let address = fields.engine_address()?;
        let zone = usize::from(fields.u8()?);
        let kind = usize::from(fields.u8()?);
        let cell = usize::from(fields.u16()?);
        let state = match fields.u8()? {
            0 => EngineState::Gone,
            1 => EngineState::Ready,
            2 => EngineState::Draining,
            health => return Err(EventError::UnknownHealth { health }),
        };
        let _size = fields.f32()?;
        let started_micros = fields.u64()?;
        let start_time = (started_micros > 0).then(|| Timestamp::from_micros(started_micros));
        engines.push(ListedEngine { address, engine: Engine { zone, kind, cell, state, start_time } });
    }
    Ok(engines)
}

/// How the endpoint list of one gateway changes. `list` is the number of an earlier endpoint list event.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ListChange {
    /// The listed entries have changed; all other entries stay.
    Delta { list: u8 },
    /// The listed entries replace the whole endpoint list.
    Full { list: u8 },
    /// Discovery failed, so the endpoint list stays unchanged.
    Failed,
}

pub(crate) fn read_list_change(fields: &mut Reader) -> Result<ListChange, EventError> {
    let kind = fields.u8()?;
    let _revision = fields.u64()?;
    let list = fields.u8()?;
    match kind {
        0 => Ok(ListChange::Delta { list }),
        1 | 2 => Ok(ListChange::Full { list }),
        3 => Ok(ListChange::Failed),
        kind => Err(EventError::UnknownViewKind { kind }),
    }
}

/// A request that has arrived at a gateway.
pub(crate) struct NewRequest {
    pub(crate) id: u32,
    /// The tenant index is the simulator's and may be missing from the gateway's settings.
    pub(crate) request: Request,
}

pub(crate) fn read_request(fields: &mut Reader) -> Result<NewRequest, FieldError> {
    let id = fields.u32()?;
    let class = usize::from(fields.u8()?);
    let tenant = fields.u32()? as usize;
    let key = fields.u64()?;
    let deadline = Timestamp::from_micros(fields.u64()?);
    let work_micros = u64::from(fields.u32()?);
    let memory_mb = fields.f32()?;
    let data_set = fields.f32()? as u32;
    let has_work_hint = fields.u16()? & 1 != 0;
    let request = Request {
        class,
        tenant: Some(tenant),
        key: (key != 0).then_some(key),
        deadline,
        work_hint: (has_work_hint && work_micros > 0).then(|| Duration::from_micros(work_micros)),
        memory_hint_mb: (memory_mb > 0.0).then_some(memory_mb),
        data_set,
    };
    Ok(NewRequest { id, request })
}

/// The result of an attempt.
pub(crate) struct FinishedAttempt {
    pub(crate) id: u32,
    pub(crate) attempt: u8,
    pub(crate) outcome: Outcome,
    pub(crate) duration: Duration,
    pub(crate) request_finished: bool,
    /// The time that the request needed on one core, when the engine reports it.
    pub(crate) reported_work: Option<Duration>,
    /// The values of the load report, in the order of the settings; empty when there is no report.
    pub(crate) load_values: Vec<f64>,
}

pub(crate) fn read_finished_attempt(fields: &mut Reader) -> Result<FinishedAttempt, EventError> {
    let id = fields.u32()?;
    let request_finished = fields.u8()? != 0;
    let _engine = fields.engine_address()?;
    let attempt = fields.u8()?;
    let duration = Duration::from_micros(u64::from(fields.u32()?));
    let outcome = outcome_from_code(fields.u8()?)?;
    let packed_work = if fields.remaining() >= 4 { fields.u32()? } else { 0 };
    // The upper 20 bits are the work in milliseconds; the adapter ignores the lower 12 bits.
    let reported_work = (packed_work > 0).then(|| Duration::from_millis(u64::from(packed_work >> 12)));
    let load_values = read_load_values(fields)?;
    Ok(FinishedAttempt { id, attempt, outcome, duration, request_finished, reported_work, load_values })
}

fn outcome_from_code(code: u8) -> Result<Outcome, EventError> {
    match code {
        0 => Ok(Outcome::Returned),
        5 => Ok(Outcome::Errored),
        11 => Ok(Outcome::Rejected),
        104 => Ok(Outcome::Reset),
        110 => Ok(Outcome::TimedOut),
        111 => Ok(Outcome::ConnectFailed),
        114 => Ok(Outcome::NotSent),
        125 => Ok(Outcome::Cancelled),
        code => Err(EventError::UnknownOutcome { code }),
    }
}

/// Reads the values of a load report, in the order of the settings; empty when there is no report.
fn read_load_values(fields: &mut Reader) -> Result<Vec<f64>, FieldError> {
    if fields.remaining() == 0 {
        return Ok(Vec::new());
    }
    let count = fields.u8()?;
    (0..count).map(|_| fields.f32()).collect()
}

/// An engine's answer to a health check.
pub(crate) struct EngineLoadReport {
    pub(crate) address: EngineAddress,
    /// The values of the load report, in the order of the settings; empty when there is no report.
    pub(crate) load_values: Vec<f64>,
}

pub(crate) fn read_load_report(fields: &mut Reader) -> Result<EngineLoadReport, FieldError> {
    let address = fields.engine_address()?;
    let _outcome = fields.u8()?;
    let _duration_micros = fields.u32()?;
    Ok(EngineLoadReport { address, load_values: read_load_values(fields)? })
}

/// A progress update about a running attempt.
pub(crate) struct Progress {
    pub(crate) id: u32,
    pub(crate) attempt: u8,
    pub(crate) update: ProgressUpdate,
}

pub(crate) fn read_progress(fields: &mut Reader) -> Result<Progress, EventError> {
    let id = fields.u32()?;
    let attempt = fields.u8()?;
    let _engine = fields.engine_address()?;
    let code = fields.u8()?;
    let value = fields.f32()?;
    let update = match code {
        1 => ProgressUpdate::FractionDone(value),
        2 => ProgressUpdate::SpillsMb(value),
        // Code 3 reports that the attempt waits: for memory when the value is below 1.5, otherwise for a data lock.
        3 if value < 1.5 => ProgressUpdate::WaitsForMemory,
        3 => ProgressUpdate::WaitsForDataLock,
        code => return Err(EventError::UnknownProgressCode { code }),
    };
    Ok(Progress { id, attempt, update })
}
