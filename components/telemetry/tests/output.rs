//! Tests of the output of log lines.

use std::io::{BufRead, BufReader, pipe};

use telemetry::LineOutput;

/// Guards against a process that blocks because its log is not read, and against dropped lines that are not counted.
#[test]
fn write_line_drops_and_counts_while_pipe_is_full() {
    let (rx, tx) = pipe().expect("a pipe");
    let output = LineOutput::new(tx);
    let line = "x".repeat(1000);
    for _ in 0..1000 {
        output.write_line(&line);
    }
    let mut reader = BufReader::new(rx);
    let mut text = String::new();
    let mut read = 0;
    // Frees space in the pipe; reading all of it would block.
    for _ in 0..20 {
        text.clear();
        read += reader.read_line(&mut text).expect("a line");
    }
    assert_eq!(read, 20 * 1001);
    output.write_line("last");
    drop(output);
    let remaining: Vec<String> = reader.lines().map(|line| line.expect("a line")).collect();
    let buffered = remaining.iter().filter(|read| **read == line).count();
    let dropped = 1000 - 20 - buffered;
    let expected = [
        format!("event=log_lines_dropped lines={dropped}"),
        "last".into(),
    ];
    assert_eq!(remaining[buffered..], expected);
}

/// Guards against lines that are too long to be written to a pipe without blocking.
#[test]
fn write_line_truncates_long_line() {
    let (rx, tx) = pipe().expect("a pipe");
    let output = LineOutput::new(tx);
    output.write_line(&"\u{e4}".repeat(5000));
    drop(output);
    let lines: Vec<String> = BufReader::new(rx)
        .lines()
        .map(|line| line.expect("a line"))
        .collect();
    assert_eq!(lines.len(), 1);
    assert!(lines[0].len() < 4096);
}
