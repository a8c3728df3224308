//! Events, as the simulator sends them.

use super::EngineAddress;
use super::reader::Reader;
use crate::error::{EventError, FieldError};
use larchfall_policy::time::{Duration, Timestamp};
use larchfall_policy::types::{Engine, EngineState, Outcome, ProgressUpdate, Request};

/// What an event is about, by its code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EventKind {
    Start,
    ListChange,
    Request,
    StreamStarted,
    AttemptFinished,
    ClientDisconnected,
    Timer,
    LoadReport,
    PeerMessage,
    Stop,
    Progress,
    EndpointList,
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

    /// The wire's name, for errors.
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

/// An engine of an endpoint list.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ListedEngine {
    pub(crate) address: EngineAddress,
    pub(crate) engine: Engine,
}

pub(crate) fn read_endpoint_list(fields: &mut Reader) -> Result<Vec<ListedEngine>, EventError> {
    let count = fields.u32()? as usize;
    // The count may be anything; what is there bounds the list.
    let mut list = Vec::with_capacity(count.min(65536));
    for _ in 0..count {
        let address = fields.engine()?;
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
        let started = (started_micros > 0).then(|| Timestamp::from_micros(started_micros));
        list.push(ListedEngine { address, engine: Engine { zone, kind, cell, state, start_time: started } });
    }
    Ok(list)
}

/// How an instance's endpoint list changes.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ListChange {
    /// These entries have changed.
    Delta { list: u8 },
    /// These are all entries.
    Full { list: u8 },
    /// Discovery failed: the list stays as it is.
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

pub(crate) struct NewRequest {
    pub(crate) id: u32,
    /// With the tenant as the wire has it, which may be none of the settings'.
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
    let has_work_estimate = fields.u16()? & 1 != 0;
    let request = Request {
        class,
        tenant: Some(tenant),
        key: (key != 0).then_some(key),
        deadline,
        work_hint: (has_work_estimate && work_micros > 0).then(|| Duration::from_micros(work_micros)),
        memory_hint_mb: (memory_mb > 0.0).then_some(memory_mb),
        data_set,
    };
    Ok(NewRequest { id, request })
}

pub(crate) struct FinishedAttempt {
    pub(crate) id: u32,
    pub(crate) attempt: u8,
    pub(crate) outcome: Outcome,
    pub(crate) took: Duration,
    pub(crate) request_finished: bool,
    /// What the request needed on one core, where the answer says so.
    pub(crate) work: Option<Duration>,
    pub(crate) load: Vec<f64>,
}

pub(crate) fn read_finished_attempt(fields: &mut Reader) -> Result<FinishedAttempt, EventError> {
    let id = fields.u32()?;
    let request_finished = fields.u8()? != 0;
    let _engine = fields.engine()?;
    let attempt = fields.u8()?;
    let took = Duration::from_micros(u64::from(fields.u32()?));
    let outcome = outcome(fields.u8()?)?;
    let used = if fields.left() >= 4 { fields.u32()? } else { 0 };
    // The upper bits are milliseconds.
    let work = (used > 0).then(|| Duration::from_millis(u64::from(used >> 12)));
    let load = read_load_values(fields)?;
    Ok(FinishedAttempt { id, attempt, outcome, took, request_finished, work, load })
}

fn outcome(code: u8) -> Result<Outcome, EventError> {
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

/// The values of a load report, in the order of the settings; none where there is no report.
fn read_load_values(fields: &mut Reader) -> Result<Vec<f64>, FieldError> {
    if fields.left() == 0 {
        return Ok(Vec::new());
    }
    let count = fields.u8()?;
    (0..count).map(|_| fields.f32()).collect()
}

pub(crate) struct EngineLoad {
    pub(crate) address: EngineAddress,
    pub(crate) load: Vec<f64>,
}

pub(crate) fn read_engine_load(fields: &mut Reader) -> Result<EngineLoad, FieldError> {
    let address = fields.engine()?;
    let _outcome = fields.u8()?;
    let _took = fields.u32()?;
    Ok(EngineLoad { address, load: read_load_values(fields)? })
}

pub(crate) struct Progress {
    pub(crate) id: u32,
    pub(crate) attempt: u8,
    pub(crate) update: ProgressUpdate,
}

pub(crate) fn read_progress(fields: &mut Reader) -> Result<Progress, EventError> {
    let id = fields.u32()?;
    let attempt = fields.u8()?;
    let _engine = fields.engine()?;
    let what = fields.u8()?;
    let level = fields.f32()?;
    let update = match what {
        1 => ProgressUpdate::FractionDone(level),
        2 => ProgressUpdate::SpillsMb(level),
        3 if level < 1.5 => ProgressUpdate::WaitsForMemory,
        3 => ProgressUpdate::WaitsForDataLock,
        what => return Err(EventError::UnknownNotice { what }),
    };
    Ok(Progress { id, attempt, update })
}
