//! Encodes responses to clients.

use larchfall_policy::time::Duration;
use rmp::encode::{write_array_len, write_bin, write_bool, write_map_len, write_nil, write_str, write_uint};

/// The response to one message.
#[derive(Debug, PartialEq)]
pub enum Response<'a> {
    /// All rows of the result.
    Returned(&'a [u8]),
    /// The request was rejected and can be retried safely, preferably after the given time.
    Rejected(Option<Duration>),
    /// The request failed for the given reason; its effects are unknown.
    Errored(&'a str),
    /// The response to a ping.
    Pong,
}

/// Appends a response to `out`. Ignores the results of the writers, because writing to a vector can't fail.
pub fn encode(out: &mut Vec<u8>, message_id: u32, response: &Response) {
    let _ = write_array_len(out, 4);
    let _ = write_uint(out, 1);
    let _ = write_uint(out, u64::from(message_id));
    match response {
        Response::Returned(body) => {
            let _ = write_nil(out);
            let _ = write_array_len(out, 2);
            let _ = write_bin(out, body);
            let _ = write_map_len(out, 0);
        }
        Response::Rejected(None) => encode_error(out, "Rejected", None),
        Response::Rejected(Some(retry_after)) => {
            let milliseconds = (retry_after.micros() / 1000).to_string();
            encode_error(out, "Rejected", Some(&ErrorField { name: "holdoff", value: &milliseconds }));
        }
        Response::Errored(reason) => {
            encode_error(out, "Errored", Some(&ErrorField { name: "reason", value: reason }));
        }
        Response::Pong => {
            let _ = write_nil(out);
            let _ = write_array_len(out, 2);
            let _ = write_bool(out, true);
            let _ = write_map_len(out, 0);
        }
    }
}

/// The only entry of the map in an error response.
struct ErrorField<'a> {
    name: &'static str,
    value: &'a str,
}

fn encode_error(out: &mut Vec<u8>, kind: &str, field: Option<&ErrorField>) {
    let _ = write_array_len(out, 2);
    let _ = write_str(out, kind);
    let _ = write_map_len(out, u32::from(field.is_some()));
    if let Some(ErrorField { name, value }) = field {
        let _ = write_str(out, name);
        let _ = write_str(out, value);
    }
    let _ = write_nil(out);
}
