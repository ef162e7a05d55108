//! Writes generated traces: `generate [directory] [seed] [tens of workers]`.
//!
//! Without arguments it writes the committed `traces/guild.jsonl` and `traces/plotshare.jsonl`.

use std::error::Error;
use std::path::Path;

use replay::{Deployment, Scale, generate};

const SEED: u64 = 20_261_204;
/// Jobs a day and hours of a scaled trace, as at the target size.
const SCALED_JOBS: u32 = 2_500;
const SCALED_HOURS: u32 = 24;
/// Most of these jobs run for hours and past the last submission, so queues form only at a load above 1.
const SCALED_LOAD: f64 = 1.6;

fn main() -> Result<(), Box<dyn Error>> {
    let mut args = std::env::args().skip(1);
    let directory = args.next().unwrap_or_else(|| "traces".into());
    let seed = args.next().map_or(Ok(SEED), |text| text.parse())?;
    let tens = args.next().map_or(Ok(1), |text| text.parse::<u32>())?;
    let mut scale = Scale::default();
    if tens > 1 {
        scale.tens_of_workers = tens;
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
