//! Generates traces.
//!
//! Usage: `generate [directory] [seed] [tens of workers]`. Without arguments it writes the committed traces
//! `traces/guild.jsonl` and `traces/plotshare.jsonl`.

use std::error::Error;
use std::path::Path;

use replay::{Deployment, Scale, generate};

const SEED: u64 = 20_261_204;
/// Number of jobs of a scaled trace, as at the target size of 2,500 jobs a day.
const SCALED_JOBS: u32 = 2_500;
const SCALED_HOURS: u32 = 24;
/// Most jobs of a scaled trace run for hours and end after the last submission, so queues form only at a load above 1.
const SCALED_LOAD: f64 = 1.6;

fn main() -> Result<(), Box<dyn Error>> {
    let mut args = std::env::args().skip(1);
    let directory = args.next().unwrap_or_else(|| "traces".into());
    let seed = args.next().map_or(Ok(SEED), |text| text.parse())?;
    let tens_of_workers = args.next().map_or(Ok(1), |text| text.parse::<u32>())?;
    let mut scale = Scale::default();
    if tens_of_workers > 1 {
        scale.tens_of_workers = tens_of_workers;
        scale.jobs = SCALED_JOBS;
        scale.hours = SCALED_HOURS;
        scale.load = SCALED_LOAD;
    }
    for deployment in [Deployment::Guild, Deployment::Plotshare] {
        let trace = generate(deployment, seed, &scale);
        let path = Path::new(&directory).join(&*trace.file);
        std::fs::write(&path, trace.to_text())?;
        println!("{}: {} events", path.display(), trace.lines.len());
    }
    Ok(())
}
