//! Scripts of the independent review. Each starts a small deployment, brings about one disruption and checks one rule.
//!
//! `review-standin CASE RECORD` exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` in the environment it does the same without the disruption.

mod cases;
mod deployment;
mod record;
mod store;
mod worker;

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use record::Record;

pub(crate) type Error = Box<dyn std::error::Error + Send + Sync>;
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Time that a script may take.
const LIMIT: Duration = Duration::from_secs(115);

async fn run(case: &str, record: &Record, trouble: bool) -> Result<()> {
    match case {
        "ends" => cases::ends(record, trouble).await,
        "schedule" => cases::schedule(record, trouble).await,
        "service" => cases::service(record, trouble).await,
        "reborn" => cases::reborn(record, trouble).await,
        "removed" => cases::removed(record, trouble).await,
        "clock" => cases::clock(record, trouble).await,
        "flap" => cases::flap(record, trouble).await,
        "unknown" => cases::unknown(record, trouble).await,
        _ => Err(format!("unknown case {case}").into()),
    }
}

async fn ended_by_signal() {
    use tokio::signal::unix::{SignalKind, signal};
    let kinds = [
        SignalKind::terminate(),
        SignalKind::interrupt(),
        SignalKind::hangup(),
    ];
    let [Ok(mut terminate), Ok(mut interrupt), Ok(mut hangup)] = kinds.map(signal) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        _ = hangup.recv() => {}
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, path] = &args[..] else {
        eprintln!("usage: review-standin CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let record = match Record::create(Path::new(path)) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("cannot write the record: {e}");
            return ExitCode::from(2);
        }
    };
    record.say(&format!("case {case}, with the disruption: {trouble}"));
    // The end of the case ends all processes that it started, also if it is told to end.
    let result = tokio::select! {
        result = tokio::time::timeout(LIMIT, run(case, &record, trouble)) => result,
        () = ended_by_signal() => Ok(Err("ended by a signal".into())),
    };
    let breaks = record.breaks();
    for text in breaks.iter().take(3) {
        println!("broken: {text}");
    }
    record.say(&format!("{} breaks", breaks.len()));
    match result {
        _ if !breaks.is_empty() => ExitCode::from(1),
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(e)) => {
            record.say(&format!("could not run: {e}"));
            ExitCode::from(2)
        }
        Err(_) => {
            record.say("could not run: out of time");
            ExitCode::from(2)
        }
    }
}
