//! Type aliases for ids and counters.

/// Name of a client account.
pub type AccountId = Box<str>;
/// Name of an agent process.
pub type AgentId = Box<str>;
/// Number of an attempt of a request; starts at 1.
pub type Attempt = u32;
/// Name of a cell, the set of workers that one owner schedules.
pub type CellId = Box<str>;
/// Name of a data centre.
pub type DataCentreId = Box<str>;
/// Name of an endpoint.
pub type EndpointId = Box<str>;
/// Name of an entry process.
pub type EntryId = Box<str>;
/// Number that increases with each owner of a cell; messages with a lower epoch are rejected (fencing).
pub type Epoch = u64;
/// Id of a gang, which runs one attempt of a job.
pub type GangId = u128;
/// Identifies one lifetime of a process: its start time in milliseconds since the Unix epoch.
pub type Incarnation = u64;
/// Id of a job, which is the id of its request.
pub type JobId = RequestId;
/// Name of a queue of job graphs.
pub type QueueId = Box<str>;
/// Name of a rack within a data centre.
pub type RackId = Box<str>;
/// Name of a region.
pub type RegionId = Box<str>;
/// Id of a request.
pub type RequestId = u128;
/// Revision of the key-value store.
pub type Revision = u64;
/// Number of a run of a task; the high bits are the epoch of the owner.
pub type RunNumber = u64;
/// Name of a service.
pub type ServiceId = Box<str>;
/// Name of a worker.
pub type WorkerId = Box<str>;
