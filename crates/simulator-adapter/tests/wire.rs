//! Runs the adapter program with batches on standard input, and checks its replies and error messages.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const PROGRAM: &str = env!("CARGO_BIN_EXE_larchfall-adapter");

/// One event: code, length of the fields, fields.
fn record(code: u8, fields: &[u8]) -> Vec<u8> {
    [&[code][..], &(fields.len() as u32).to_le_bytes(), fields].concat()
}

/// A batch at the simulated time 1000 µs, with the header before the batch.
fn frame(batch_number: u32, records: &[Vec<u8>]) -> Vec<u8> {
    let body = records.concat();
    let length = (12 + body.len() as u32).to_le_bytes();
    let count = (records.len() as u32).to_le_bytes();
    [&batch_number.to_le_bytes()[..], &length, &1000u64.to_le_bytes(), &count, &body].concat()
}

/// The event that starts gateway instance 3 with seed 7 and these settings.
fn init_event(settings: &str) -> Vec<u8> {
    let length = (settings.len() as u32).to_le_bytes();
    record(10, &[&3u32.to_le_bytes()[..], &7u64.to_le_bytes(), &length, settings.as_bytes()].concat())
}

/// Runs the program with this input, and returns its output after it has exited.
fn run_adapter(input: &[u8]) -> Output {
    let mut command = Command::new(PROGRAM);
    command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().unwrap();
    // The write fails when the program has already exited because of an error in an earlier part of the input.
    let _ = child.stdin.take().unwrap().write_all(input);
    child.wait_with_output().unwrap()
}

#[test]
fn malformed_input_ends_with_one_error_line_and_no_reply() {
    let timer_event = record(70, &[&3u32.to_le_bytes()[..], &0u64.to_le_bytes()].concat());
    let disconnect_event = record(60, &[&3u32.to_le_bytes()[..], &9u32.to_le_bytes()].concat());
    let valid_batch = frame(1, &[init_event("{}"), timer_event.clone(), disconnect_event]);
    let cases: [(Vec<u8>, &str); 9] = [
        (Vec::new(), ""),
        (frame(1, &[]), ""),
        (valid_batch.clone(), ""),
        (valid_batch[..5].to_vec(), "header: input ended after 5 of 8 bytes"),
        (valid_batch[..20].to_vec(), "batch 1: input ended"),
        (frame(1, &[record(200, &[3, 0, 0, 0])]), "batch 1: record 0: unknown event code 200"),
        (frame(1, &[timer_event]), "batch 1: record 0: fired: no front 3 is running"),
        (frame(1, &[init_event("{\"caps\":1}")]), "batch 1: record 0: settings: invalid type"),
        (frame(1, &[init_event("{}")[..9].to_vec()]), "batch 1: record 0: record: "),
    ];
    for (input, expected_error) in cases {
        let Output { status, stdout, stderr } = run_adapter(&input);
        let error_output = String::from_utf8(stderr).unwrap();
        if expected_error.is_empty() {
            assert!(status.success() && error_output.is_empty(), "{error_output}");
            assert_eq!(stdout.is_empty(), input.is_empty());
        } else {
            assert_eq!(status.code(), Some(1), "{error_output}");
            assert!(
                error_output.starts_with(&format!("larchfall-adapter: {expected_error}")),
                "{error_output}"
            );
            assert_eq!((error_output.lines().count(), stdout.len()), (1, 0), "{error_output}");
        }
    }
}
