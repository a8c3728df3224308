//! Status queries: `larchfall members`, `leases`, `quotas` and `engines` ask a running gateway on the UDP address that it
//! has for other gateways. It answers only what comes from its own machine. Each query is for one page, so no answer is
//! longer than a datagram.

use crc::{CRC_32_ISCSI, Crc};
use serde::{Deserialize, Serialize};
use std::io;
use std::net::{SocketAddrV4, UdpSocket};
use std::time::Duration;

/// First byte of queries and pages.
pub const VERSION: u8 = 3;
const MAX_DATAGRAM_BYTES: usize = 1200;
const CHECKSUM: Crc<u32> = Crc::<u32>::new(&CRC_32_ISCSI);
const TRIES: usize = 5;
const TIMEOUT: Duration = Duration::from_millis(300);

/// What a gateway is asked about. On the wire the place of a variant counts: new ones go to the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Topic {
    /// The members that it knows.
    Members,
    /// Who holds each lease.
    Leases,
    /// Its quotas, and those that it allocates.
    Quotas,
    /// Health of each engine.
    Engines,
}

/// A request for one page of rows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusQuery {
    version: u8,
    cluster: String,
    /// What is asked about.
    pub topic: Topic,
    /// Rows are wanted from after the one with this name.
    after: Option<String>,
}

/// Rows by name, which is their first cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct StatusPage {
    version: u8,
    after: Option<String>,
    rows: Vec<Vec<String>>,
    is_last: bool,
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Into a vector, of plain structures: this has no way to fail.
    postcard::to_allocvec_crc32(value, CHECKSUM.digest()).unwrap_or_default()
}

fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes_crc32(bytes, CHECKSUM.digest()).ok()
}

/// The query in these bytes, where they are one to this cluster.
pub fn decode_query(bytes: &[u8], cluster: &str) -> Option<StatusQuery> {
    decode::<StatusQuery>(bytes).filter(|query| query.version == VERSION && query.cluster == cluster)
}

/// As many of the rows that were asked for as a datagram holds. Rows come in the order of their names.
pub fn encode_page(query: &StatusQuery, rows: Vec<Vec<String>>) -> Vec<u8> {
    let after = query.after.clone();
    let mut page = StatusPage { version: VERSION, after, rows: Vec::new(), is_last: true };
    let name = |row: &Vec<String>| row.first().cloned().unwrap_or_default();
    for row in rows.into_iter().filter(|row| query.after.as_ref().is_none_or(|after| name(row) > *after)) {
        page.rows.push(row);
        if encode(&page).len() > MAX_DATAGRAM_BYTES {
            page.rows.pop();
            page.is_last = false;
            break;
        }
    }
    encode(&page)
}

/// All rows that the gateway at this address has.
pub fn fetch_rows(address: SocketAddrV4, cluster: &str, topic: Topic) -> io::Result<Vec<Vec<String>>> {
    let socket = UdpSocket::bind("0.0.0.0:0")?;
    socket.set_read_timeout(Some(TIMEOUT))?;
    let mut rows = Vec::new();
    let mut after = None;
    loop {
        let query = StatusQuery { version: VERSION, cluster: cluster.to_owned(), topic, after };
        let page = request_page(&socket, address, &query)?;
        let last_name = page.rows.last().and_then(|row| row.first()).cloned();
        rows.extend(page.rows);
        if page.is_last || last_name.is_none() {
            return Ok(rows);
        }
        after = last_name;
    }
}

fn request_page(socket: &UdpSocket, address: SocketAddrV4, query: &StatusQuery) -> io::Result<StatusPage> {
    let mut bytes = [0; MAX_DATAGRAM_BYTES];
    for _ in 0..TRIES {
        socket.send_to(&encode(query), address)?;
        while let Ok((length, _)) = socket.recv_from(&mut bytes) {
            // A late answer to the query before is another page.
            let page = decode::<StatusPage>(&bytes[..length]).filter(|page| page.after == query.after);
            if let Some(page) = page {
                return Ok(page);
            }
        }
    }
    Err(io::Error::new(io::ErrorKind::TimedOut, format!("no front answers at {address}")))
}
