//! Command line of the stand-in platform.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Parser;
use error_stack::Report;
use errors::{Error, ErrorKind, Result};
use log::{LevelFilter, info};
use standin::{EndpointSettings, RunningServers, Settings, StoreSettings, WorkersSettings};

/// Simulates the key-value service, workers and endpoints for development and tests.
///
/// Prints one line of JSON with the bound addresses, then serves until SIGINT.
#[derive(Debug, Parser)]
#[command(name = "standin", version)]
struct Args {
    /// Address of the key-value service (IP:port; port 0 selects a free port)
    #[arg(long, value_name = "ADDR")]
    store: Option<SocketAddr>,
    /// Address of the workers (IP:port); every worker id is accepted
    #[arg(long, value_name = "ADDR")]
    workers: Option<SocketAddr>,
    /// An endpoint and its address (ID=IP:port); may be repeated
    #[arg(long = "endpoint", value_name = "ID=ADDR", value_parser = parse_endpoint)]
    endpoints: Vec<(Box<str>, SocketAddr)>,
    /// Requests that each endpoint runs concurrently (count)
    #[arg(long, default_value_t = 8)]
    slots: usize,
    /// Concurrent connections that each endpoint accepts (count)
    #[arg(long, default_value_t = 60)]
    connections: usize,
    /// Interval between usage reports of a worker (milliseconds)
    #[arg(long, value_name = "MS", default_value_t = 1_000)]
    usage_lag_ms: u64,
    /// Duration of a checkpoint (milliseconds)
    #[arg(long, value_name = "MS", default_value_t = 50)]
    checkpoint_ms: u64,
    /// JSON settings file, instead of the options above
    #[arg(long, value_name = "FILE", conflicts_with_all = ["store", "workers", "endpoints"])]
    settings: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(Args::parse()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("standin: {}", report.current_context());
            ExitCode::FAILURE
        }
    }
}

async fn run(args: Args) -> Result<()> {
    telemetry::init_logs("standin", LevelFilter::Info)?;
    let settings = settings_from_args(args)?;
    let servers = standin::start(&settings).await?;
    println!("{}", bound_addresses(&servers));
    // If no handler can be installed, SIGINT terminates the process by default.
    let _ = tokio::signal::ctrl_c().await;
    info!(target: "limpethook", reason = "signal"; "stopped");
    Ok(())
}

fn settings_from_args(args: Args) -> Result<Settings> {
    if let Some(path) = &args.settings {
        return read_settings(path);
    }
    let endpoint = |listen| EndpointSettings {
        listen,
        slots: args.slots,
        connections: args.connections,
    };
    Ok(Settings {
        store: args.store.map(|listen| StoreSettings {
            listen,
            ..StoreSettings::default()
        }),
        workers: args.workers.map(|listen| WorkersSettings {
            listen,
            usage_lag_ms: args.usage_lag_ms,
            checkpoint_ms: args.checkpoint_ms,
        }),
        endpoints: args
            .endpoints
            .into_iter()
            .map(|(id, listen)| (id, endpoint(listen)))
            .collect(),
    })
}

fn read_settings(path: &Path) -> Result<Settings> {
    let to_report = |e: &dyn std::fmt::Display| -> Report<Error> {
        let message = format!("settings file {}: {e}", path.display());
        Error::not_run(ErrorKind::InvalidRequest, message).report()
    };
    let text = std::fs::read_to_string(path).map_err(|e| to_report(&e))?;
    serde_json::from_str(&text).map_err(|e| to_report(&e))
}

fn bound_addresses(servers: &RunningServers) -> serde_json::Value {
    let endpoints: serde_json::Map<String, serde_json::Value> = servers
        .endpoints
        .iter()
        .map(|(id, server)| (id.to_string(), server.addr().to_string().into()))
        .collect();
    serde_json::json!({
        "store": servers.store.as_ref().map(|server| server.addr().to_string()),
        "workers": servers.workers.as_ref().map(|server| server.addr().to_string()),
        "endpoints": endpoints,
    })
}

fn parse_endpoint(text: &str) -> std::result::Result<(Box<str>, SocketAddr), String> {
    let (id, addr) = text.split_once('=').ok_or("expected ID=ADDR")?;
    let addr = addr.parse().map_err(|e| format!("address {addr:?}: {e}"))?;
    Ok((id.into(), addr))
}
