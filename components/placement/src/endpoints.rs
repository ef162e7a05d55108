//! The slots of endpoints.

use board::{Fleet, Membership};
use model::{AgentId, EndpointId, RegionId, ServiceId};

/// Slots in use, by position in the serving endpoints.
pub(crate) struct Slots {
    used: Vec<u32>,
}

impl Slots {
    /// Counts the slots that gangs use.
    pub(crate) fn count(fleet: &Fleet, membership: &Membership) -> Self {
        let mut slots = Self {
            used: vec![0; membership.serving.len()],
        };
        let planned = fleet.planned.values().map(|gang| &gang.endpoint);
        let running = fleet.running.values().map(|gang| &gang.endpoint);
        for endpoint in planned.chain(running) {
            slots.take(membership, endpoint);
        }
        slots
    }

    /// Counts a slot that a known gang uses.
    pub(crate) fn take(&mut self, membership: &Membership, endpoint: &EndpointId) {
        if let Some(at) = membership.serving.get_index_of(endpoint) {
            self.used[at] += 1;
        }
    }

    /// Returns whether an endpoint of the service has a slot that no gang uses.
    pub(crate) fn available(&self, membership: &Membership, service: &ServiceId) -> bool {
        let mut endpoints = membership.serving.values().zip(&self.used);
        endpoints.any(|(endpoint, used)| endpoint.service == *service && *used < endpoint.slots)
    }

    /// Takes a slot of the service, in the region of the gang if there is one, where most slots are free.
    pub(crate) fn choose(
        &mut self,
        membership: &Membership,
        service: &ServiceId,
        region: Option<&RegionId>,
    ) -> Option<(EndpointId, AgentId)> {
        let endpoints = membership.serving.values().zip(&self.used).enumerate();
        let (at, _, endpoint) = endpoints
            .filter(|(_, (endpoint, _))| endpoint.service == *service)
            .map(|(at, (endpoint, used))| (at, endpoint.slots.saturating_sub(*used), endpoint))
            .filter(|(_, free, _)| *free > 0)
            .max_by_key(|(_, free, endpoint)| (region == Some(&endpoint.place.region), *free))?;
        self.used[at] += 1;
        Some((endpoint.id.clone(), endpoint.agent.clone()))
    }

    /// Gives a slot back.
    pub(crate) fn release(&mut self, membership: &Membership, endpoint: &EndpointId) {
        if let Some(at) = membership.serving.get_index_of(endpoint) {
            self.used[at] = self.used[at].saturating_sub(1);
        }
    }
}
