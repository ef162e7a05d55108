//! Fencing: an agent's view of the epoch of its cell's owner.

use errors::{Error, ErrorKind, Result};
use model::Epoch;

/// The highest epoch that an agent has seen.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Fence {
    highest: Epoch,
}

/// How an epoch relates to the highest one seen before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The epoch is the one already adopted.
    Current,
    /// The epoch is new; the agent announces itself to its owner.
    Adopted,
}

impl Fence {
    /// Returns the highest epoch seen.
    pub fn highest(&self) -> Epoch {
        self.highest
    }

    /// Admits a message of the current owner, adopts a higher epoch, and refuses a lower one.
    pub fn admit(&mut self, epoch: Epoch) -> Result<Admission> {
        if epoch < self.highest {
            let message = format!(
                "epoch {epoch} is older than the adopted epoch {}",
                self.highest
            );
            return Err(Error::not_run(ErrorKind::StaleEpoch, message).report());
        }
        if epoch == self.highest {
            return Ok(Admission::Current);
        }
        self.highest = epoch;
        Ok(Admission::Adopted)
    }
}
