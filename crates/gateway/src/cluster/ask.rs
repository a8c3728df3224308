//! `larchfall gateways`, `duties`, `shares` and `engines`: a running gateway is asked on its own UDP address, which it has already, and
//! answers only what comes from its own machine. One page a question, so no answer is longer than a datagram.

use crc::{CRC_32_ISCSI, Crc};
use serde::{Deserialize, Serialize};
use std::io;
use std::net::{SocketAddrV4, UdpSocket};
use std::time::Duration;

pub const VERSION: u8 = 3;
const MOST_BYTES: usize = 1200;
const CHECK: Crc<u32> = Crc::<u32>::new(&CRC_32_ISCSI);
const TRIES: usize = 5;
const WAIT: Duration = Duration::from_millis(300);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum What {
    Gateways,
    Duties,
    Shares,
    Engines,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    version: u8,
    pub cluster: String,
    pub what: What,
    /// From after this name on.
    pub after: Option<String>,
}

/// Rows, the first cell the name that they go by.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    version: u8,
    after: Option<String>,
    pub rows: Vec<Vec<String>>,
    pub whole: bool,
}

fn seal<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_allocvec_crc32(value, CHECK.digest()).unwrap_or_default()
}

fn open<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes_crc32(bytes, CHECK.digest()).ok()
}

/// The question in these bytes, where they are one to this cluster.
pub fn question(bytes: &[u8], cluster: &str) -> Option<Question> {
    open::<Question>(bytes).filter(|q| q.version == VERSION && q.cluster == cluster)
}

/// As many of the rows from after that name on as a datagram holds. Rows are in the order of their names.
pub fn answer(question: &Question, rows: impl Iterator<Item = Vec<String>>) -> Vec<u8> {
    let after = question.after.clone();
    let mut page = Page { version: VERSION, after, rows: Vec::new(), whole: true };
    let name = |row: &Vec<String>| row.first().cloned().unwrap_or_default();
    for row in rows.filter(|row| question.after.as_ref().is_none_or(|after| name(row) > *after)) {
        page.rows.push(row);
        if seal(&page).len() > MOST_BYTES {
            page.rows.pop();
            page.whole = false;
            break;
        }
    }
    seal(&page)
}

/// All rows that the gateway at this address has.
pub fn ask(address: SocketAddrV4, cluster: &str, what: What) -> io::Result<Vec<Vec<String>>> {
    let socket = UdpSocket::bind("0.0.0.0:0")?;
    socket.set_read_timeout(Some(WAIT))?;
    let (mut rows, mut after) = (Vec::new(), None);
    loop {
        let question = Question { version: VERSION, cluster: cluster.to_owned(), what, after: after.clone() };
        let page = page(&socket, address, &question)?;
        let last = page.rows.last().and_then(|row| row.first()).cloned();
        rows.extend(page.rows);
        if page.whole || last.is_none() {
            return Ok(rows);
        }
        after = last;
    }
}

fn page(socket: &UdpSocket, address: SocketAddrV4, question: &Question) -> io::Result<Page> {
    let mut bytes = [0; MOST_BYTES];
    for _ in 0..TRIES {
        socket.send_to(&seal(question), address)?;
        while let Ok((n, _)) = socket.recv_from(&mut bytes) {
            // A late answer to the question before is another page.
            if let Some(page) = open::<Page>(&bytes[..n]).filter(|page| page.after == question.after) {
                return Ok(page);
            }
        }
    }
    Err(io::Error::new(io::ErrorKind::TimedOut, format!("no front answers at {address}")))
}

pub fn table(head: &[&str], rows: Vec<Vec<String>>) -> String {
    let mut table = comfy_table::Table::new();
    table.load_preset(comfy_table::presets::NOTHING).set_header(head);
    table.add_rows(rows);
    table.to_string()
}
