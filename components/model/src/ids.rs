//! Aliases for ids and counters.

/// Names a client account.
pub type AccountId = Box<str>;
/// Names an agent process.
pub type AgentId = Box<str>;
/// Counts the tries of one request, from 1.
pub type Attempt = u32;
/// Names a cell, the set of workers that one owner schedules.
pub type CellId = Box<str>;
/// Names a data centre.
pub type DataCentreId = Box<str>;
/// Names an endpoint.
pub type EndpointId = Box<str>;
/// Names an entry process.
pub type EntryId = Box<str>;
/// Counts the owners of a cell; a higher epoch fences lower ones.
pub type Epoch = u64;
/// Identifies one placement of a job.
pub type GangId = u128;
/// Identifies a job, equal to the id of its request.
pub type JobId = RequestId;
/// Names a rack within a data centre.
pub type RackId = Box<str>;
/// Names a region.
pub type RegionId = Box<str>;
/// Identifies a request.
pub type RequestId = u128;
/// A revision of the key-value service.
pub type Revision = u64;
/// Names a service.
pub type ServiceId = Box<str>;
/// Names a worker.
pub type WorkerId = Box<str>;
