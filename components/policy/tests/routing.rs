//! Tests of the choice of an endpoint.

use std::sync::Arc;
use std::time::{Duration, Instant};

use board::{Board, Membership};
use fastrand::Rng;
use model::{Endpoint, Location, Serving};
use policy::routing::{Route, choose_endpoint, refresh_routes};

fn endpoint(id: &str, region: &str, free: u32, heard: Instant) -> Endpoint<Serving> {
    let location = Location {
        region: region.into(),
        data_centre: "d".into(),
        rack: "r".into(),
    };
    Endpoint {
        id: id.into(),
        agent: id.into(),
        agent_addr: ([127, 0, 0, 1], 1).into(),
        incarnation: 1,
        service: "prism".into(),
        location,
        slots: 8,
        state: Serving {
            free,
            last_heartbeat: heard,
        },
    }
}

fn publish(board: &Board, endpoints: &[(&str, &str, u32)], heard: Instant) {
    let serving = endpoints.iter().map(|(id, region, free)| {
        let endpoint = endpoint(id, region, *free, heard);
        (endpoint.id.clone(), Arc::new(endpoint))
    });
    board.membership.publish(Membership {
        serving: serving.collect(),
        ..Membership::default()
    });
    refresh_routes(board, "caribe");
}

fn choose(board: &Board, tried: &[&str], rng: &mut Rng) -> Option<Route> {
    let tried: Vec<_> = tried.iter().map(|id| Box::from(*id)).collect();
    choose_endpoint(&board.routes.load(), "prism", &tried, rng)
}

/// Guards against requests that cross the region link while the local region has a free slot.
#[test]
fn choose_endpoint_fills_local_region_first() {
    let (board, now, mut rng) = (Board::default(), Instant::now(), Rng::with_seed(7));
    publish(
        &board,
        &[
            ("near", "caribe", 3),
            ("full", "caribe", 0),
            ("far", "pacifico", 2),
        ],
        now,
    );
    let routes: Vec<_> = (0..6)
        .map(|_| choose(&board, &[], &mut rng).unwrap())
        .collect();
    let ids: Vec<_> = routes.iter().map(|route| &*route.endpoint.id).collect();
    assert_eq!(ids[..5], ["near", "near", "near", "far", "far"]);
    assert_ne!(
        ids[5], "far",
        "if all are full, the agents of the local region queue"
    );
    drop(routes);
    assert_eq!(&*choose(&board, &[], &mut rng).unwrap().endpoint.id, "near");
}

/// Guards against a retry at an endpoint that refused, and against retries without end.
#[test]
fn choose_endpoint_skips_tried() {
    let (board, now, mut rng) = (Board::default(), Instant::now(), Rng::with_seed(7));
    publish(
        &board,
        &[
            ("a", "caribe", 8),
            ("b", "caribe", 1),
            ("far", "pacifico", 8),
        ],
        now,
    );
    assert_eq!(&*choose(&board, &["a"], &mut rng).unwrap().endpoint.id, "b");
    assert_eq!(
        &*choose(&board, &["a", "b"], &mut rng).unwrap().endpoint.id,
        "far"
    );
    assert!(choose(&board, &["a", "b", "far"], &mut rng).is_none());
    assert!(choose_endpoint(&board.routes.load(), "other", &[], &mut rng).is_none());
}

/// Guards against new requests for a draining endpoint.
#[test]
fn choose_endpoint_skips_draining() {
    let (board, now, mut rng) = (Board::default(), Instant::now(), Rng::with_seed(7));
    publish(&board, &[("a", "caribe", 8), ("b", "caribe", 1)], now);
    board.membership.update(|membership| {
        let endpoint = membership.serving.shift_remove("a").unwrap();
        let draining = Endpoint::clone(&endpoint).drain(now);
        membership.draining.insert("a".into(), Arc::new(draining));
    });
    refresh_routes(&board, "caribe");
    let chosen = (0..20).map(|_| choose(&board, &[], &mut rng).unwrap());
    assert!(chosen.into_iter().all(|route| &*route.endpoint.id == "b"));
}

/// Guards against slots that are counted twice: as occupied in the heartbeat and as in flight from this process.
#[test]
fn refresh_routes_counts_slots_once() {
    let (board, now, mut rng) = (Board::default(), Instant::now(), Rng::with_seed(7));
    let later = now + Duration::from_secs(1);
    publish(
        &board,
        &[("near", "caribe", 8), ("far", "pacifico", 8)],
        now,
    );
    let held: Vec<_> = (0..5)
        .map(|_| choose(&board, &[], &mut rng).unwrap())
        .collect();
    publish(
        &board,
        &[("near", "caribe", 3), ("far", "pacifico", 8)],
        later,
    );
    refresh_routes(&board, "caribe");
    let rest: Vec<_> = (0..4)
        .map(|_| choose(&board, &[], &mut rng).unwrap())
        .collect();
    let ids: Vec<_> = rest.iter().map(|route| &*route.endpoint.id).collect();
    assert_eq!(ids, ["near", "near", "near", "far"]);
    drop((held, rest));
}

/// Guards against a choice that ignores the load. With two endpoints both are drawn, so the busier one is never chosen.
#[test]
fn choose_endpoint_takes_better_of_two() {
    let (board, now, mut rng) = (Board::default(), Instant::now(), Rng::with_seed(7));
    publish(&board, &[("a", "caribe", 2), ("b", "caribe", 8)], now);
    for _ in 0..50 {
        assert_eq!(&*choose(&board, &[], &mut rng).unwrap().endpoint.id, "b");
    }
}
