//! Wire format of datagrams: the encoding must stay compatible with earlier releases.

use larchfall_health_gossip::EngineProcess;
use larchfall_health_gossip::counts::{OutcomeCounts, ProcessCounts, RecentOutcomes};
use larchfall_health_gossip::datagram::{Datagram, DatagramError};
use larchfall_health_gossip::observations::Report;

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(hex: &str) -> Vec<u8> {
    (0..hex.len()).step_by(2).map(|i| u8::from_str_radix(&hex[i..i + 2], 16).unwrap()).collect()
}

#[test]
fn encoding_is_the_same_as_in_earlier_releases() {
    let entries = vec![
        ProcessCounts {
            process: EngineProcess { id: 0x1234_5678, started_ms: 1_700_000_000_000 },
            counts: OutcomeCounts {
                answered: 300,
                failed: 2,
                late: 5,
                recent: RecentOutcomes { answered: 40, failed: 3 },
            },
        },
        ProcessCounts {
            process: EngineProcess { id: 9, started_ms: 0 },
            counts: OutcomeCounts {
                answered: 0,
                failed: 1,
                late: 0,
                recent: RecentOutcomes { answered: 0, failed: 16 },
            },
        },
    ];
    let datagram = Datagram::new("toy", "n0", 700, Report { number: 12, entries });
    let expected = "0503746f79026e30bc050c02f8acd1910180d095ffbc31ac020205280309000001000010963bc9cb";
    assert_eq!(to_hex(&datagram.encode()), expected);
    assert_eq!(Datagram::decode(&from_hex(expected), "toy"), Ok(datagram));
    assert_eq!(Datagram::decode(&from_hex(expected), "other"), Err(DatagramError::OtherCluster));
}
