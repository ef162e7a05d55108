//! `limpethook platform check-config`.

use std::io::{self, ErrorKind as IoErrorKind, Write};
use std::path::Path;
use std::process::ExitCode;

use error_stack::Report;
use errors::{Error, ErrorKind, Result};
use platform::{CheckContext, Finding, FleetSize, Severity};
use serde_json::json;

use crate::cli::CheckConfigArgs;

/// Exit code for invalid arguments and unreadable files.
const EXIT_INVALID_ARGUMENTS: u8 = 2;

/// Checks a document and prints the findings.
pub(super) fn run(args: &CheckConfigArgs) -> ExitCode {
    let findings = check(args).and_then(|findings| {
        print(&findings, args.json).map_err(|e| invalid_argument(Path::new("stdout"), &e))?;
        Ok(findings)
    });
    match findings {
        Ok(findings) => {
            let has_errors = findings.iter().any(|f| f.severity == Severity::Error);
            ExitCode::from(u8::from(has_errors))
        }
        Err(report) => {
            // Nothing else can be done if the error stream is closed as well.
            let _ = writeln!(io::stderr(), "error: {}", report.current_context().message);
            ExitCode::from(EXIT_INVALID_ARGUMENTS)
        }
    }
}

fn check(args: &CheckConfigArgs) -> Result<Vec<Finding>> {
    let document = read(&args.file)?;
    let in_force = args.against.as_deref().map(read).transpose()?;
    if let (Some(file), Some(in_force)) = (&args.against, &in_force) {
        // The error of the decoder may contain a key.
        platform::decode_configuration(in_force)
            .map_err(|_| invalid_argument(file, &"not a configuration document"))?;
    }
    let settings = args.settings.as_deref().map(platform::load_settings);
    let settings = settings.transpose()?;
    let fleet = args.workers.zip(args.accelerators_per_worker);
    let context = CheckContext {
        in_force: in_force.as_deref(),
        settings: settings.as_ref(),
        fleet: fleet.map(|(workers, accelerators_per_worker)| FleetSize {
            workers,
            accelerators_per_worker,
        }),
    };
    Ok(platform::check_configuration(&document, &context))
}

fn read(file: &Path) -> Result<Vec<u8>> {
    std::fs::read(file).map_err(|e| invalid_argument(file, &e))
}

fn invalid_argument(file: &Path, reason: &dyn std::fmt::Display) -> Report<Error> {
    let message = format!("{}: {reason}", file.display());
    Error::not_run(ErrorKind::InvalidRequest, message).report()
}

/// Prints the findings. A reader that closes the pipe, such as `head`, needs no more of them.
fn print(findings: &[Finding], as_json: bool) -> io::Result<()> {
    match write_findings(&mut io::stdout().lock(), findings, as_json) {
        Err(e) if e.kind() == IoErrorKind::BrokenPipe => Ok(()),
        written => written,
    }
}

fn write_findings(out: &mut impl Write, findings: &[Finding], as_json: bool) -> io::Result<()> {
    if as_json {
        writeln!(out, "{}", json!({ "findings": findings }))?;
    } else {
        for finding in findings {
            writeln!(out, "{finding}")?;
        }
    }
    out.flush()
}
