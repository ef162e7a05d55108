//! Location of a worker or a process.

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreId, RackId, RegionId};

/// A location in the hierarchy of regions, data centres and racks.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Location {
    /// Region.
    pub region: RegionId,
    /// Data centre within the region.
    pub data_centre: DataCentreId,
    /// Rack within the data centre.
    pub rack: RackId,
}
