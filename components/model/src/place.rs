//! Where a worker or a process stands.

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreId, RackId, RegionId};

/// A position in the hierarchy of regions, data centres and racks.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// The region.
    pub region: RegionId,
    /// The data centre within the region.
    pub data_centre: DataCentreId,
    /// The rack within the data centre.
    pub rack: RackId,
}
