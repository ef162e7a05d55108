//! Fencing: an agent refuses messages from superseded owners of its cell.

use errors::{Error, ErrorKind, Result};
use model::Epoch;

/// The highest epoch that an agent has seen.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Fence {
    highest: Epoch,
}

/// How an accepted epoch relates to the highest one seen before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EpochOrder {
    /// The epoch equals the highest one seen.
    Current,
    /// The epoch is higher; the agent announces itself to its owner.
    Newer,
}

impl Fence {
    /// Returns the highest epoch seen.
    pub fn highest(&self) -> Epoch {
        self.highest
    }

    /// Accepts the highest epoch seen, records a higher one, and refuses a lower one.
    pub fn admit(&mut self, epoch: Epoch) -> Result<EpochOrder> {
        if epoch < self.highest {
            let message = format!(
                "epoch {epoch} is older than the current epoch {}",
                self.highest
            );
            return Err(Error::not_run(ErrorKind::StaleEpoch, message).report());
        }
        if epoch == self.highest {
            return Ok(EpochOrder::Current);
        }
        self.highest = epoch;
        Ok(EpochOrder::Newer)
    }
}
