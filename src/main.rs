//! The `limpethook` command line program.

mod cli;
mod cmd;

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    let cli = cli::Cli::parse();
    match cmd::run(cli.command) {
        Ok(code) => code,
        Err(report) => {
            let error = report.current_context();
            eprintln!("error: {}", error.message);
            cmd::exit_code(error)
        }
    }
}
