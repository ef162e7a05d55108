//! Stand-ins of the platform, and the scenarios of the scripts in `review/`.

mod deployment;
mod http;
mod minion;
mod record;
mod scenarios;
mod store;

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = args.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["minion", options @ ..] => minion::run(options),
        ["scenario", name, folder] => scenarios::run(name, folder),
        _ => {
            eprintln!("usage: review-standin-2 scenario NAME FOLDER");
            ExitCode::from(2)
        }
    }
}
