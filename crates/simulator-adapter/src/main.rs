//! Speaks the bench's wire on standard input and output and asks the module; decides nothing. Anything
//! malformed ends it with one line on standard error, before any part of that reply is written.

mod gateway;
mod wire;

use gateway::Gateway;
use larchfall_policy::interface::*;
use larchfall_policy::time::{Duration, Timestamp};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use wire::{Reader, Reply};

type Entries = Vec<([u8; 6], Engine)>;

#[derive(Default)]
struct Process {
    gateways: BTreeMap<u32, Gateway>,
    /// Lists by number, shared by all gateways; a number is used again, so each is read in event order.
    lists: BTreeMap<u8, Entries>,
}

fn outcome(code: u8) -> Result<Outcome, String> {
    Ok(match code {
        0 => Outcome::Returned,
        5 => Outcome::Errored,
        11 => Outcome::Full,
        110 => Outcome::TimedOut,
        111 => Outcome::ConnectFailed,
        104 => Outcome::Reset,
        125 => Outcome::Cancelled,
        114 => Outcome::Moot,
        other => return Err(format!("unknown outcome {other}")),
    })
}

fn entries(r: &mut Reader) -> Result<Entries, String> {
    let n = r.u32()? as usize;
    let mut out = Vec::with_capacity(n.min(65536));
    for _ in 0..n {
        let address = r.address()?;
        let (zone, kind, cell) = (r.u8()? as usize, r.u8()? as usize, r.u16()? as usize);
        let state = match r.u8()? {
            0 => EngineState::Gone,
            1 => EngineState::Ready,
            2 => EngineState::Draining,
            other => return Err(format!("snapshot_rows: unknown health {other}")),
        };
        let _size = r.f32()?;
        let born = r.u64()?;
        let started = (born > 0).then(|| Timestamp::from_micros(born));
        out.push((address, Engine { zone, kind, cell, state, started }));
    }
    Ok(out)
}

fn values(r: &mut Reader) -> Result<Vec<f64>, String> {
    if r.left() == 0 {
        return Ok(Vec::new());
    }
    let n = r.u8()?;
    (0..n).map(|_| r.f32()).collect()
}

impl Process {
    /// One event; answers the gateway that may act on it.
    fn event(
        &mut self,
        now: Timestamp,
        code: u8,
        fields: &[u8],
        reply: &mut Reply,
    ) -> Result<Option<u32>, String> {
        let mut r = Reader::new(fields, event_name(code));
        if code == 120 {
            let list = r.u8()?;
            let members = entries(&mut r)?;
            self.lists.insert(list, members);
            return Ok(None);
        }
        let who = r.u32()?;
        if code == 10 {
            let seed = r.u64()?;
            let n = r.u32()? as usize;
            let gateway = Gateway::start(who, seed, r.take(n)?, now, reply)?;
            self.gateways.insert(who, gateway);
            return Ok(Some(who));
        }
        if code == 100 {
            self.gateways.remove(&who);
            return Ok(None);
        }
        if event_name(code) == "unknown" {
            return Err(format!("unknown event code {code}"));
        }
        let Some(gateway) = self.gateways.get_mut(&who) else {
            return Err(format!("{}: no front {who} is running", event_name(code)));
        };
        match code {
            20 => {
                let (kind, _epoch, list) = (r.u8()?, r.u64()?, r.u8()?);
                if kind > 3 {
                    return Err(format!("view: unknown kind {kind}"));
                }
                if kind < 3 {
                    let members =
                        self.lists.get(&list).ok_or_else(|| format!("view: no list numbered {list} came"))?;
                    gateway.list(now, members, kind > 0);
                }
            }
            30 => {
                let id = r.u32()?;
                let (class, tenant) = (r.u8()? as usize, r.u32()? as usize);
                let (key, not_after, cost) = (r.u64()?, r.u64()?, r.u32()?);
                let (memory, set, bits) = (r.f32()?, r.f32()?, r.u16()?);
                let request = Request {
                    class,
                    tenant: (tenant < gateway.tenants).then_some(tenant),
                    key: (key != 0).then_some(key),
                    deadline: Timestamp::from_micros(not_after),
                    work: (bits & 1 != 0 && cost > 0).then(|| Duration::from_micros(u64::from(cost))),
                    memory_mb: (memory > 0.0).then_some(memory),
                    data_set: set as u32,
                };
                gateway.take(now, id, request, reply)?;
            }
            50 => {
                let (id, ended) = (r.u32()?, r.u8()? != 0);
                let (_engine, number, rtt) = (r.address()?, r.u8()?, r.u32()?);
                let outcome = outcome(r.u8()?)?;
                let used = if r.left() >= 4 { r.u32()? } else { 0 };
                let told = gateway.tells_work && used > 0 && outcome == Outcome::Returned;
                let answer = AttemptResult {
                    outcome,
                    took: Duration::from_micros(u64::from(rtt)),
                    over: ended,
                    // Here an outcome comes once nothing runs on, but for what the rule's own rest covers.
                    seen: AttemptEvidence { last: LastObservation::Ended, same_process: true },
                    work: told.then(|| Duration::from_millis(u64::from(used >> 12))),
                    report: gateway.report(&values(&mut r)?),
                };
                gateway.outcome(now, id, number, &answer, reply);
            }
            60 => gateway.client_left(r.u32()?, reply),
            70 => gateway.timer(now, r.u64()?, reply),
            80 => {
                let (address, _ending, _rtt) = (r.address()?, r.u8()?, r.u32()?);
                let report = gateway.report(&values(&mut r)?);
                gateway.probed(now, address, report);
            }
            110 => {
                let id = r.u32()?;
                let (number, _engine, what, level) = (r.u8()?, r.address()?, r.u8()?, r.f32()?);
                let note = match what {
                    1 => ProgressUpdate::Done(level),
                    2 => ProgressUpdate::SpillsMb(level),
                    3 if level < 1.5 => ProgressUpdate::WaitsForMemory,
                    3 => ProgressUpdate::WaitsForHolder,
                    other => return Err(format!("notice: unknown what {other}")),
                };
                gateway.note(now, id, number, note);
            }
            // Streams and peers: no request class streams, gateways share nothing.
            _ => {}
        }
        Ok(Some(who))
    }

    fn round(&mut self, now: Timestamp, count: u32, body: &[u8]) -> Result<Reply, String> {
        let mut reply = Reply::default();
        let mut r = Reader::new(body, "record");
        let mut acted: Vec<u32> = Vec::new();
        for i in 0..count {
            let mut one = || -> Result<Option<u32>, String> {
                let code = r.u8()?;
                let size = r.u32()? as usize;
                let fields = r.take(size)?;
                self.event(now, code, fields, &mut reply)
            };
            let who = one().map_err(|e| format!("record {i}: {e}"))?;
            if let Some(who) = who
                && acted.last() != Some(&who)
            {
                acted.push(who);
            }
        }
        if r.left() > 0 {
            return Err(format!("{} bytes left over after {count} records", r.left()));
        }
        acted.sort_unstable();
        acted.dedup();
        for who in acted {
            if let Some(gateway) = self.gateways.get_mut(&who) {
                gateway.settle(&mut reply);
            }
        }
        Ok(reply)
    }
}

fn event_name(code: u8) -> &'static str {
    match code {
        10 => "init",
        20 => "view",
        30 => "work_item",
        40 => "ack_first",
        50 => "verdict",
        60 => "timed_out_client",
        70 => "fired",
        80 => "status_back",
        90 => "message",
        100 => "retire",
        110 => "notice",
        120 => "snapshot_rows",
        _ => "unknown",
    }
}

/// Fills the buffer; false when the input ended before its first byte.
fn fill(input: &mut impl Read, buf: &mut [u8], what: &str) -> Result<bool, String> {
    let mut got = 0;
    while got < buf.len() {
        match input.read(&mut buf[got..]) {
            Ok(0) if got == 0 => return Ok(false),
            Ok(0) => return Err(format!("{what}: input ended after {got} of {} bytes", buf.len())),
            Ok(n) => got += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(format!("{what}: {e}")),
        }
    }
    Ok(true)
}

fn run(mut input: impl Read, mut output: impl Write) -> Result<(), String> {
    let mut process = Process::default();
    let mut head = [0u8; 8];
    let mut rest = Vec::new();
    while fill(&mut input, &mut head, "header")? {
        let mut h = Reader::new(&head, "header");
        let (number, size) = (h.u32()?, h.u32()? as u64);
        if size < 12 {
            return Err(format!("batch {number}: length {size} is under the header's 12"));
        }
        rest.clear();
        let got =
            input.by_ref().take(size).read_to_end(&mut rest).map_err(|e| format!("batch {number}: {e}"))?;
        if (got as u64) < size {
            return Err(format!("batch {number}: input ended after {got} of {size} bytes"));
        }
        let mut r = Reader::new(&rest, "header");
        let (now, count) = (Timestamp::from_micros(r.u64()?), r.u32()?);
        let reply = process.round(now, count, &rest[12..]).map_err(|e| format!("batch {number}: {e}"))?;
        let written = output.write_all(&reply.framed(number)).and_then(|()| output.flush());
        written.map_err(|e| format!("batch {number}: reply: {e}"))?;
    }
    Ok(())
}

fn main() {
    if let Err(e) = run(io::stdin().lock(), io::stdout().lock()) {
        eprintln!("larchfall-adapter: {e}");
        std::process::exit(1);
    }
}
