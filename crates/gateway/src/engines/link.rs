//! One connection to an engine: one call at a time.

use crate::state::clock::Clock;
use crate::state::engines::Home;
use crate::wire::http::{self, Reply};
use larchfall_policy::time::{Duration, Timestamp};
use may::net::TcpStream;
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::time::Duration as StdDuration;

/// A reply is a few kilobytes that are written at once: what stops short for this long does not go on.
const REST_WITHIN: Duration = Duration::from_millis(100);

pub struct Link {
    stream: TcpStream,
    home: Home,
    input: Vec<u8>,
    /// A call went out whole and its reply has not come: the next one read is that.
    owes: bool,
}

/// Why a call brought no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Not one byte of the call left.
    Unsent,
    /// The connection ended or spoke no HTTP; the call may have come whole.
    Broken,
    /// No reply by the time given.
    Late,
}

/// Why a connection did not come up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoLink {
    /// Nobody listens there.
    Refused,
    Silent,
}

impl Link {
    pub fn open(home: Home, within: StdDuration) -> Result<Link, NoLink> {
        if within.is_zero() {
            return Err(NoLink::Silent);
        }
        match TcpStream::connect_timeout(&SocketAddr::V4(home.address), within) {
            Ok(stream) => {
                let _ = stream.set_nodelay(true);
                Ok(Link { stream, home, input: Vec::new(), owes: false })
            }
            Err(e) if e.kind() == ErrorKind::ConnectionRefused => Err(NoLink::Refused),
            Err(_) => Err(NoLink::Silent),
        }
    }

    pub fn home(&self) -> Home {
        self.home
    }

    /// Whether nothing came while it was idle: an end or stray bytes make it useless.
    pub fn is_quiet(&self) -> bool {
        let mut byte = [0];
        self.input.is_empty()
            && !self.owes
            && matches!(self.stream.inner().peek(&mut byte), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }

    /// Whether the reply to a call that ran out of time may still come here.
    pub fn owes(&self) -> bool {
        self.owes
    }

    /// Sends a call and waits for its reply. What is owed to the call before comes first, and is passed over.
    pub fn call(&mut self, call: &[u8], clock: &Clock, until: Timestamp) -> Result<Reply, Fault> {
        if self.owes {
            self.reply(clock, until)?;
        }
        let mut sent = 0;
        while sent < call.len() {
            let left = time(clock, until).ok_or(if sent == 0 { Fault::Unsent } else { Fault::Late })?;
            let _ = self.stream.set_write_timeout(Some(left));
            match self.stream.write(&call[sent..]) {
                Ok(0) => return Err(Fault::Broken),
                Ok(n) => sent += n,
                Err(e) if sent == 0 && !is_late(&e) => return Err(Fault::Unsent),
                Err(e) => return Err(if is_late(&e) { Fault::Late } else { Fault::Broken }),
            }
        }
        self.owes = true;
        self.reply(clock, until)
    }

    /// Waits for the reply to the call that went out last.
    fn reply(&mut self, clock: &Clock, until: Timestamp) -> Result<Reply, Fault> {
        let mut until = until;
        loop {
            if let Some((reply, used)) = http::parse(&self.input).map_err(|_| Fault::Broken)? {
                self.input.drain(..used);
                // 100 and its like only announce a reply.
                if reply.status / 100 == 1 {
                    continue;
                }
                self.owes = false;
                // Rows with something behind them: a length that is too short looks the same as noise that
                // does not belong to them. Asked again on another connection, they come whole.
                if reply.status == 200 && !self.input.is_empty() {
                    return Err(Fault::Broken);
                }
                return Ok(reply);
            }
            let left = time(clock, until).ok_or(Fault::Late)?;
            let _ = self.stream.set_read_timeout(Some(left));
            let had = self.input.len();
            self.input.resize(had + 4096, 0);
            let got = self.stream.read(&mut self.input[had..]);
            self.input.truncate(had + *got.as_ref().unwrap_or(&0));
            match got {
                Ok(0) => return Err(Fault::Broken),
                Ok(_) if had == 0 => until = until.min(clock.now() + REST_WITHIN),
                Ok(_) => {}
                Err(e) => return Err(if is_late(&e) { Fault::Late } else { Fault::Broken }),
            }
        }
    }
}

fn time(clock: &Clock, until: Timestamp) -> Option<StdDuration> {
    Some(clock.left(until)).filter(|left| !left.is_zero())
}

fn is_late(e: &io::Error) -> bool {
    matches!(e.kind(), ErrorKind::TimedOut | ErrorKind::WouldBlock)
}
