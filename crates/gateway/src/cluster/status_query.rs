//! Status queries: `larchfall members`, `leases`, `quotas` and `engines` query a running gateway at the UDP address
//! of its cluster socket. A gateway answers only queries from its own machine. Each query asks for one page, so that
//! each answer fits into a datagram.

use crc::{CRC_32_ISCSI, Crc};
use serde::{Deserialize, Serialize};
use std::io;
use std::net::{SocketAddrV4, UdpSocket};
use std::time::Duration;

/// First byte of queries and pages; it differs from the versions of the other protocols on the cluster socket.
pub const VERSION: u8 = 3;
/// Maximum size of a query or page, in bytes.
const MAX_DATAGRAM_BYTES: usize = 1200;
/// CRC-32C, at the end of queries and pages.
const CHECKSUM: Crc<u32> = Crc::<u32>::new(&CRC_32_ISCSI);
/// Number of times that a query is sent before it fails.
const MAX_ATTEMPTS: usize = 5;
/// Wait for an answer after each attempt.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Subject of a status query. The wire format encodes the index of the variant, so new variants are appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Topic {
    /// Members that the gateway knows.
    Members,
    /// Holder of each lease.
    Leases,
    /// Quotas that the gateway has, and quotas that it allocates.
    Quotas,
    /// Health of each engine.
    Engines,
}

/// A request for one page of rows. Encoded by position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusQuery {
    version: u8,
    cluster: String,
    /// Subject of the rows.
    pub topic: Topic,
    /// Only rows whose name sorts after this name are requested; `None` requests the first page.
    after_name: Option<String>,
}

/// Rows in the order of their names; the name of a row is its first cell. Encoded by position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct StatusPage {
    version: u8,
    /// As in the query.
    after_name: Option<String>,
    rows: Vec<Vec<String>>,
    is_last: bool,
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Postcard can't fail here: it writes plain structures into a growing vector.
    postcard::to_allocvec_crc32(value, CHECKSUM.digest()).unwrap_or_default()
}

fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes_crc32(bytes, CHECKSUM.digest()).ok()
}

/// Decodes a query; `None` if the bytes are invalid, of another version or for another cluster.
pub fn decode_query(bytes: &[u8], cluster: &str) -> Option<StatusQuery> {
    decode::<StatusQuery>(bytes).filter(|query| query.version == VERSION && query.cluster == cluster)
}

/// Encodes a page with as many of the requested rows as fit into a datagram. `rows` must be sorted by name.
pub fn encode_page(query: &StatusQuery, rows: Vec<Vec<String>>) -> Vec<u8> {
    let after_name = query.after_name.clone();
    let mut page = StatusPage { version: VERSION, after_name, rows: Vec::new(), is_last: true };
    let row_name = |row: &Vec<String>| row.first().cloned().unwrap_or_default();
    let is_requested =
        |row: &Vec<String>| query.after_name.as_ref().is_none_or(|after_name| row_name(row) > *after_name);
    for row in rows.into_iter().filter(is_requested) {
        page.rows.push(row);
        if encode(&page).len() > MAX_DATAGRAM_BYTES {
            page.rows.pop();
            page.is_last = false;
            break;
        }
    }
    encode(&page)
}

/// Fetches all rows on a topic from the gateway at `address`, page by page. Fails with [`io::ErrorKind::TimedOut`] if
/// a query stays unanswered.
pub fn fetch_rows(address: SocketAddrV4, cluster: &str, topic: Topic) -> io::Result<Vec<Vec<String>>> {
    let socket = UdpSocket::bind("0.0.0.0:0")?;
    socket.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    let mut rows = Vec::new();
    let mut after_name = None;
    loop {
        let query = StatusQuery { version: VERSION, cluster: cluster.to_owned(), topic, after_name };
        let page = fetch_page(&socket, address, &query)?;
        let last_name = page.rows.last().and_then(|row| row.first()).cloned();
        rows.extend(page.rows);
        if page.is_last || last_name.is_none() {
            return Ok(rows);
        }
        after_name = last_name;
    }
}

fn fetch_page(socket: &UdpSocket, address: SocketAddrV4, query: &StatusQuery) -> io::Result<StatusPage> {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    for _ in 0..MAX_ATTEMPTS {
        socket.send_to(&encode(query), address)?;
        while let Ok((length, _)) = socket.recv_from(&mut buffer) {
            // A late answer to an earlier query holds another page and is skipped.
            let page =
                decode::<StatusPage>(&buffer[..length]).filter(|page| page.after_name == query.after_name);
            if let Some(page) = page {
                return Ok(page);
            }
        }
    }
    let message = format!("no gateway answered at {address}: sent {MAX_ATTEMPTS} status queries");
    Err(io::Error::new(io::ErrorKind::TimedOut, message))
}
