//! Usage of the request slots of endpoints. Each gang uses one slot.

use board::{Fleet, Membership};
use model::{AgentId, EndpointId, RegionId, ServiceId};

/// Slots in use, by index of the serving endpoint.
pub(crate) struct EndpointSlots {
    used: Vec<u32>,
}

impl EndpointSlots {
    /// Counts the slots that planned and running gangs use.
    pub(crate) fn count(fleet: &Fleet, membership: &Membership) -> Self {
        let mut slots = Self {
            used: vec![0; membership.serving.len()],
        };
        let planned = fleet.planned.values().map(|gang| &gang.endpoint);
        let running = fleet.running.values().map(|gang| &gang.endpoint);
        for endpoint in planned.chain(running) {
            slots.occupy(membership, endpoint);
        }
        slots
    }

    /// Counts a slot that a gang already uses, even beyond the slots of the endpoint.
    pub(crate) fn occupy(&mut self, membership: &Membership, endpoint: &EndpointId) {
        if let Some(index) = membership.serving.get_index_of(endpoint) {
            self.used[index] += 1;
        }
    }

    /// Returns whether an endpoint of the service has a slot that no gang uses.
    pub(crate) fn available(&self, membership: &Membership, service: &ServiceId) -> bool {
        let mut endpoints = membership.serving.values().zip(&self.used);
        endpoints.any(|(endpoint, used)| endpoint.service == *service && *used < endpoint.slots)
    }

    /// Allocates a slot at the endpoint of the service with the most free slots, preferring the region of the gang.
    pub(crate) fn allocate(
        &mut self,
        membership: &Membership,
        service: &ServiceId,
        region: Option<&RegionId>,
    ) -> Option<(EndpointId, AgentId)> {
        let endpoints = membership.serving.values().zip(&self.used).enumerate();
        let (index, _, endpoint) = endpoints
            .filter(|(_, (endpoint, _))| endpoint.service == *service)
            .map(|(index, (endpoint, used))| {
                (index, endpoint.slots.saturating_sub(*used), endpoint)
            })
            .filter(|(_, free, _)| *free > 0)
            .max_by_key(|(_, free, endpoint)| (region == Some(&endpoint.location.region), *free))?;
        self.used[index] += 1;
        Some((endpoint.id.clone(), endpoint.agent.clone()))
    }

    pub(crate) fn release(&mut self, membership: &Membership, endpoint: &EndpointId) {
        if let Some(index) = membership.serving.get_index_of(endpoint) {
            self.used[index] = self.used[index].saturating_sub(1);
        }
    }
}
