//! The program over its standard streams: frames in, a reply or one plain line out.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const PROGRAM: &str = env!("CARGO_BIN_EXE_larchfall-adapter");

fn record(code: u8, fields: &[u8]) -> Vec<u8> {
    [&[code][..], &(fields.len() as u32).to_le_bytes(), fields].concat()
}

fn frame(number: u32, records: &[Vec<u8>]) -> Vec<u8> {
    let body = records.concat();
    let size = (12 + body.len() as u32).to_le_bytes();
    let count = (records.len() as u32).to_le_bytes();
    [&number.to_le_bytes()[..], &size, &1000u64.to_le_bytes(), &count, &body].concat()
}

fn init(text: &str) -> Vec<u8> {
    let size = (text.len() as u32).to_le_bytes();
    record(10, &[&3u32.to_le_bytes()[..], &7u64.to_le_bytes(), &size, text.as_bytes()].concat())
}

/// All of the input at once, and its end.
fn run(input: &[u8]) -> Output {
    let mut command = Command::new(PROGRAM);
    command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().unwrap();
    // One that has ended at what came first reads no further.
    let _ = child.stdin.take().unwrap().write_all(input);
    child.wait_with_output().unwrap()
}

#[test]
fn input_off_the_wire_ends_in_one_plain_line_and_no_reply() {
    let fired = record(70, &[&3u32.to_le_bytes()[..], &0u64.to_le_bytes()].concat());
    let left = record(60, &[&3u32.to_le_bytes()[..], &9u32.to_le_bytes()].concat());
    let whole = frame(1, &[init("{}"), fired.clone(), left]);
    let cases: [(Vec<u8>, &str); 9] = [
        (Vec::new(), ""),
        (frame(1, &[]), ""),
        (whole.clone(), ""),
        (whole[..5].to_vec(), "header: input ended after 5 of 8 bytes"),
        (whole[..20].to_vec(), "batch 1: input ended"),
        (frame(1, &[record(200, &[3, 0, 0, 0])]), "batch 1: record 0: unknown event code 200"),
        (frame(1, &[fired]), "batch 1: record 0: fired: no front 3 is running"),
        (frame(1, &[init("{\"caps\":1}")]), "batch 1: record 0: settings: invalid type"),
        (frame(1, &[init("{}")[..9].to_vec()]), "batch 1: record 0: record: "),
    ];
    for (input, says) in cases {
        let Output { status, stdout, stderr } = run(&input);
        let said = String::from_utf8(stderr).unwrap();
        if says.is_empty() {
            assert!(status.success() && said.is_empty(), "{said}");
            assert_eq!(stdout.is_empty(), input.is_empty());
        } else {
            assert_eq!(status.code(), Some(1), "{said}");
            assert!(said.starts_with(&format!("larchfall-adapter: {says}")), "{said}");
            assert_eq!((said.lines().count(), stdout.len()), (1, 0), "{said}");
        }
    }
}
