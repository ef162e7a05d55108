//! Routing of requests without a shape: the better of two random endpoints, in the local region first.

use std::sync::Arc;
use std::sync::atomic::AtomicI64;
use std::sync::atomic::Ordering::Relaxed;

use board::{Board, Membership, Routes, ServiceRoutes, Target};
use fastrand::Rng;
use indexmap::IndexMap;
use model::{Endpoint, EndpointId, Serving};

/// Rebuilds the routes from the membership section; the counts of requests in flight are preserved.
///
/// Draining endpoints are in another map of the membership section and so get no route.
pub fn refresh_routes(board: &Board, local_region: &str) {
    let old = board.routes.load();
    let routes = build_routes(&board.membership.load(), &old, local_region);
    board.routes.publish(routes);
}

fn build_routes(membership: &Membership, old: &Routes, local_region: &str) -> Routes {
    let targets = old.services.values();
    let targets = targets.flat_map(|routes| routes.local.iter().chain(&routes.remote));
    let known: IndexMap<&str, &Target> = targets.map(|t| (&*t.endpoint.id, t)).collect();
    let mut routes = Routes::default();
    for endpoint in membership.serving.values() {
        let target = target_for(endpoint, known.get(&*endpoint.id).copied());
        let service = routes.services.entry(endpoint.service.clone()).or_default();
        if *endpoint.location.region == *local_region {
            service.local.push(target);
        } else {
            service.remote.push(target);
        }
    }
    routes
}

fn target_for(endpoint: &Arc<Endpoint<Serving>>, known: Option<&Target>) -> Target {
    let in_flight = known.map_or_else(Arc::default, |target| Arc::clone(&target.in_flight));
    let unchanged = known
        .filter(|target| target.endpoint.state.last_heartbeat == endpoint.state.last_heartbeat);
    Target {
        endpoint: Arc::clone(endpoint),
        in_flight_at_heartbeat: unchanged.map_or_else(
            || in_flight.load(Relaxed),
            |target| target.in_flight_at_heartbeat,
        ),
        in_flight,
    }
}

/// The endpoint chosen for one attempt of a request; dropping it removes the attempt from the count in flight there.
#[derive(Debug)]
pub struct Route {
    /// The endpoint.
    pub endpoint: Arc<Endpoint<Serving>>,
    in_flight: Arc<AtomicI64>,
}

impl Drop for Route {
    fn drop(&mut self) {
        self.in_flight.fetch_sub(1, Relaxed);
    }
}

/// Chooses an endpoint of the service that has not been tried yet; returns `None` if all have.
///
/// Free endpoints of the local region come first, then free endpoints of other regions. If all appear full, endpoints
/// of the local region are chosen anyway, because their agents have newer state and queue a bounded number of requests.
pub fn choose_endpoint(
    routes: &Routes,
    service: &str,
    tried: &[EndpointId],
    rng: &mut Rng,
) -> Option<Route> {
    let ServiceRoutes { local, remote } = routes.services.get(service)?;
    let untried = |target: &Target| !tried.contains(&target.endpoint.id);
    let free = |target: &Target| free_slots(target) > 0 && untried(target);
    let target = choose_target(local, free, rng)
        .or_else(|| choose_target(remote, free, rng))
        .or_else(|| choose_target(local, untried, rng))
        .or_else(|| choose_target(remote, untried, rng))?;
    target.in_flight.fetch_add(1, Relaxed);
    Some(Route {
        endpoint: Arc::clone(&target.endpoint),
        in_flight: Arc::clone(&target.in_flight),
    })
}

/// Returns the free slots of the last heartbeat minus the requests sent since it was read.
///
/// Requests in flight at the heartbeat already occupy slots, so subtracting them would count them twice.
fn free_slots(target: &Target) -> i64 {
    let sent_since = target.in_flight.load(Relaxed) - target.in_flight_at_heartbeat;
    let free = i64::from(target.endpoint.state.free) - sent_since;
    free.min(i64::from(target.endpoint.slots))
}

fn choose_target<'t>(
    targets: &'t [Target],
    eligible: impl Fn(&Target) -> bool,
    rng: &mut Rng,
) -> Option<&'t Target> {
    let first = find_eligible(targets, None, &eligible, rng)?;
    let Some(second) = find_eligible(targets, Some(first), &eligible, rng) else {
        return Some(&targets[first]);
    };
    let better = if free_slots(&targets[second]) > free_slots(&targets[first]) {
        second
    } else {
        first
    };
    Some(&targets[better])
}

/// Searches from a random position, which usually checks one endpoint and at worst checks each once.
fn find_eligible(
    targets: &[Target],
    except: Option<usize>,
    eligible: impl Fn(&Target) -> bool,
    rng: &mut Rng,
) -> Option<usize> {
    if targets.is_empty() {
        return None;
    }
    let start = rng.usize(..targets.len());
    let indexes = (start..targets.len()).chain(0..start);
    let mut others = indexes.filter(|index| Some(*index) != except);
    others.find(|index| eligible(&targets[*index]))
}
