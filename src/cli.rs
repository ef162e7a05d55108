//! Command line arguments.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};

/// Schedules gang jobs on adjacent accelerators under client account guarantees.
///
/// Exit codes: 0 success; 1 the work did not run or a check failed; 2 invalid arguments; 3 the work may have run, or
/// ran without a usable response; 4 a shutdown aborted work in progress; 5 the job has no outcome yet.
#[derive(Debug, Parser)]
#[command(version, propagate_version = true)]
pub(crate) struct Cli {
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Run an entry: admit requests, route them to endpoints and return the responses.
    Entry {
        /// Settings file in JSON.
        #[arg(long, value_name = "FILE")]
        settings: PathBuf,
    },
    /// Run an agent next to an endpoint: reserve the endpoint's slots and the agent's workers.
    Agent {
        /// Settings file in JSON.
        #[arg(long, value_name = "FILE")]
        settings: PathBuf,
    },
    /// Run a daemon on the users' platform.
    #[command(subcommand)]
    Platform(PlatformCommand),
    /// Check, show, compare or apply the configuration document.
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Replay recorded traces through the scheduling code in virtual time.
    ///
    /// Exits with 1 if an expected outcome or an invariant does not hold, and reports the event.
    Replay {
        /// Trace files in JSON lines format, described in docs/replay.md.
        #[arg(required = true, value_name = "TRACE")]
        traces: Vec<PathBuf>,
        /// Policies to compare [default: all]
        #[arg(long, value_enum)]
        policy: Vec<PolicyArg>,
        /// Report format.
        #[arg(long, value_enum, default_value = "text")]
        format: ReportFormat,
    },
    /// Submit, query or cancel an asynchronous job.
    #[command(subcommand)]
    Job(JobCommand),
    /// Show the cells, owners and endpoints that an entry knows.
    Status {
        /// Base URL of an entry, such as `http://127.0.0.1:8080`.
        #[arg(long, value_name = "URL")]
        entry: Box<str>,
    },
}

/// A scheduling policy.
#[derive(Debug, Clone, Copy, ValueEnum)]
pub(crate) enum PolicyArg {
    /// Jobs start in order of arrival, on the first workers that fit.
    FirstFit,
    /// Any job that fits starts, without reservations for blocked jobs.
    Backfill,
    /// Guarantees, inferred urgency, reservations and reclaim, as in the daemons.
    Guarded,
}

/// A report format.
#[derive(Debug, Clone, Copy, ValueEnum)]
pub(crate) enum ReportFormat {
    /// A human-readable table.
    Text,
    /// One JSON document per trace.
    Json,
}

#[derive(Debug, Subcommand)]
pub(crate) enum PlatformCommand {
    /// Run an entry: serve the job API, and own the cell if no other entry does.
    Entry {
        /// Settings file in the JSON format of the platform.
        #[arg(long, value_name = "FILE")]
        settings: PathBuf,
    },
    /// Run an agent next to a worker: execute the commands of the cell owner.
    Agent {
        /// Settings file in the JSON format of the platform.
        #[arg(long, value_name = "FILE")]
        settings: PathBuf,
    },
    /// Check the operator's configuration document before it is sent.
    ///
    /// Exits with 0 if there are no errors, also if there are warnings, with 1 if there are errors, and with 2 for invalid
    /// arguments, unreadable files or output that cannot be written.
    CheckConfig(CheckConfigArgs),
}

/// Arguments of `platform check-config`.
#[derive(Debug, Args)]
pub(crate) struct CheckConfigArgs {
    /// Configuration document in the JSON format of the platform.
    pub(crate) file: PathBuf,
    /// Document in force, with which the differences are listed.
    #[arg(long, value_name = "FILE")]
    pub(crate) against: Option<PathBuf>,
    /// Settings file of a process of the deployment, for checks against its bounds.
    #[arg(long, value_name = "FILE")]
    pub(crate) settings: Option<PathBuf>,
    /// Number of workers that have to hold the guarantees.
    #[arg(long, value_name = "COUNT", requires = "accelerators_per_worker")]
    pub(crate) workers: Option<u32>,
    /// Number of accelerators of each worker.
    #[arg(long, value_name = "COUNT", requires = "workers")]
    pub(crate) accelerators_per_worker: Option<u32>,
    /// Print the findings as one JSON document.
    #[arg(long)]
    pub(crate) json: bool,
}

#[derive(Debug, Subcommand)]
pub(crate) enum ConfigCommand {
    /// Check a document and report all errors.
    Check {
        /// Document in JSON.
        file: PathBuf,
        /// Base URL of an entry; if given, the guarantees are checked against the workers known to it.
        #[arg(long, value_name = "URL")]
        entry: Option<Box<str>>,
    },
    /// Print the document in the store, with the section revisions that `apply` uses to detect conflicts.
    Show {
        /// URL of the key-value service.
        #[arg(long, value_name = "URL")]
        store: Box<str>,
    },
    /// Print the sections that differ between a document and the store.
    Diff {
        /// Document in JSON.
        file: PathBuf,
        /// URL of the key-value service.
        #[arg(long, value_name = "URL")]
        store: Box<str>,
    },
    /// Write the sections edited since `show`, unless one of them was changed concurrently.
    Apply(ApplyArgs),
    /// Read a token from standard input and print its salted hash for the document.
    Token,
}

#[derive(Debug, Subcommand)]
pub(crate) enum JobCommand {
    /// Submit a job and print its id, or with `--wait` its result.
    Submit(Box<SubmitArgs>),
    /// Print the state of a job as JSON.
    Status {
        #[command(flatten)]
        caller: CallerArgs,
        /// Job id.
        id: Box<str>,
    },
    /// Print the result of a job.
    Result {
        #[command(flatten)]
        caller: CallerArgs,
        /// Job id.
        id: Box<str>,
        /// Maximum time to wait for the outcome, in seconds.
        #[arg(long, value_name = "SECONDS")]
        wait: Option<u64>,
    },
    /// Cancel a job and print its state as JSON.
    Cancel {
        #[command(flatten)]
        caller: CallerArgs,
        /// Job id.
        id: Box<str>,
    },
}

/// The entry to call and the credentials. The token is read from a file or from the environment variable
/// `LIMPETHOOK_TOKEN`.
#[derive(Debug, Args)]
pub(crate) struct CallerArgs {
    /// Base URL of an entry, such as `http://127.0.0.1:8080`.
    #[arg(long, value_name = "URL")]
    pub(crate) entry: Box<str>,
    /// Client account.
    #[arg(long, value_name = "ACCOUNT")]
    pub(crate) account: Box<str>,
    /// File with the token of the client account [default: the environment variable `LIMPETHOOK_TOKEN`]
    #[arg(long, value_name = "FILE")]
    pub(crate) token_file: Option<PathBuf>,
}

#[derive(Debug, Args)]
pub(crate) struct SubmitArgs {
    #[command(flatten)]
    pub(crate) caller: CallerArgs,
    /// Service to run the job.
    #[arg(long, value_name = "SERVICE")]
    pub(crate) service: Box<str>,
    /// Shape of the gang in JSON, such as `{"tasks": 4, "accelerators": 2}`; omit it for a job without a gang.
    #[arg(long, value_name = "JSON")]
    pub(crate) shape: Option<Box<str>>,
    /// Whether the job may run more than once [default: the setting of the service]
    #[arg(long, value_name = "BOOL")]
    pub(crate) idempotent: Option<bool>,
    /// The tasks of the job support checkpoints.
    #[arg(long)]
    pub(crate) stoppable: bool,
    /// Maximum time from submission to the end of the job, in milliseconds.
    #[arg(long, value_name = "MS")]
    pub(crate) timeout_ms: Option<u64>,
    /// Expected run time, in milliseconds.
    #[arg(long, value_name = "MS")]
    pub(crate) run_time_ms: Option<u64>,
    /// Idempotency key; a repeated submission with the same key attaches to the existing job.
    #[arg(long, value_name = "KEY")]
    pub(crate) idempotency_key: Option<Box<str>>,
    /// Wait for the outcome for at most this many seconds, and print the result.
    #[arg(long, value_name = "SECONDS")]
    pub(crate) wait: Option<u64>,
    /// File with the request body [default: standard input]
    pub(crate) body: Option<PathBuf>,
}

/// Arguments of `config apply`.
#[derive(Debug, Args)]
pub(crate) struct ApplyArgs {
    /// Document in JSON, edited from the output of `config show`; without the key `base`, all sections count as new.
    pub(crate) file: PathBuf,
    /// URL of the key-value service.
    #[arg(long, value_name = "URL")]
    pub(crate) store: Box<str>,
    /// Saved output of `config show` on which the document is based, if the document has no key `base`.
    #[arg(long, value_name = "FILE")]
    pub(crate) base: Option<PathBuf>,
    /// Apply only these sections, such as `accounts/faro` [default: all]
    #[arg(long, value_name = "SECTION")]
    pub(crate) section: Vec<Box<str>>,
    /// Base URL of an entry; if given, the guarantees are checked against the workers known to it.
    #[arg(long, value_name = "URL")]
    pub(crate) entry: Option<Box<str>>,
}
