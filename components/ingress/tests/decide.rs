//! Decisions on what connections may hold and which are closed.

use std::time::Duration;

use ingress::decide::{
    CONNECTION_BYTES, Capacity, Phase, Reason, RequestLimits, Reservation, Usage, View, body_part,
    is_head_too_large, overdue, reserve, victim,
};

const CAPACITY: Capacity = Capacity {
    connections: 100,
    bytes: 1_000_000,
    jobs: 0,
};

fn view(key: u64, phase: Phase, held: usize, in_phase_ms: u64) -> View {
    View {
        key,
        phase,
        held,
        in_phase: Duration::from_millis(in_phase_ms),
        idle: Duration::ZERO,
        closing: false,
    }
}

/// Guards against a budget that leaves a process no memory for its work, or no descriptors for its own connections.
#[test]
fn of_machine_leaves_room() {
    let entry = Capacity::of_machine(160 << 20, 4_100);
    assert_eq!(entry.bytes, 32 << 20);
    assert_eq!(entry.connections, 3_900);
    assert_eq!(Capacity::of_machine(64 << 20, 450).connections, 250);
    assert!(Capacity::of_machine(0, 0).connections > 0);
}

/// Guards against a budget in which a single request within the documented limits has no room.
#[test]
fn reserve_grants_single_largest_request() {
    for memory_mb in [64, 128, 160] {
        let capacity = Capacity::of_machine(memory_mb << 20, 4_100);
        let announcement = 4 << 20;
        let granted = reserve(capacity, Usage::default(), announcement);
        assert_eq!(granted, Reservation::Granted);
    }
}

/// Guards against a budget that is exceeded by more than the closed connections still hold.
#[test]
fn reserve_bounds_memory_of_closed_connections() {
    let usage = |held, closing| Usage {
        held,
        closing,
        jobs: 0,
    };
    let decide = |usage| reserve(CAPACITY, usage, 100_000);
    assert_eq!(decide(usage(900_000, 0)), Reservation::Granted);
    assert_eq!(decide(usage(900_001, 0)), Reservation::NeedsRoom);
    assert_eq!(decide(usage(1_000_000, 100_000)), Reservation::Granted);
    assert_eq!(decide(usage(1_400_001, 1_400_001)), Reservation::Refused);
    assert_eq!(
        reserve(CAPACITY, usage(0, 0), CAPACITY.bytes + 1),
        Reservation::Refused
    );
}

/// Guards against a connection that is closed while its complete request may run, and against one of a process of the
/// deployment that is closed for strangers.
#[test]
fn victim_spares_served_requests_and_peers() {
    let views = [
        view(1, Phase::Serving, 900_000, 60_000),
        view(2, Phase::Peer, 900_000, 60_000),
        view(3, Phase::Body, 20_000, 1),
    ];
    assert_eq!(victim(views.into_iter()), Some(3));
    assert_eq!(victim(views[..2].iter().copied()), None);
    let closing = View {
        closing: true,
        ..views[2]
    };
    assert_eq!(victim([closing].into_iter()), None);
}

/// Guards against ordinary callers that lose their connections to a crowd of unfinished bodies.
#[test]
fn victim_holds_most_for_longest() {
    let views = [
        view(1, Phase::Waiting, CONNECTION_BYTES, 10_000),
        view(2, Phase::Body, CONNECTION_BYTES + 2_000, 20),
        view(3, Phase::Body, CONNECTION_BYTES + 262_144, 500),
        view(4, Phase::Body, CONNECTION_BYTES + 262_144, 700),
    ];
    assert_eq!(victim(views.into_iter()), Some(4));
    assert_eq!(victim(views[..2].iter().copied()), Some(1));
}

/// Guards against a new caller that is closed for connections which have been open without a request for longer.
#[test]
fn victim_of_equal_size_is_oldest() {
    let views = (1..=50).map(|key| view(key, Phase::Waiting, CONNECTION_BYTES, 1_000 - key));
    assert_eq!(victim(views), Some(1));
}

/// Guards against a client that keeps its connection by a byte now and then.
#[test]
fn overdue_counts_from_start() {
    let limits = RequestLimits::default();
    let trickled_head = view(1, Phase::Head, CONNECTION_BYTES, 4_100);
    assert_eq!(overdue(&trickled_head, &limits), Some(Reason::HeadTimeout));
    let trickled_body = view(1, Phase::Body, CONNECTION_BYTES, 61_100);
    assert_eq!(overdue(&trickled_body, &limits), Some(Reason::BodyTimeout));
}

/// Guards against time-outs that a client within the documented limits meets.
#[test]
fn overdue_spares_documented_times() {
    let limits = RequestLimits::default();
    let head = view(1, Phase::Head, CONNECTION_BYTES, 3_000);
    assert_eq!(overdue(&head, &limits), None);
    for phase in [Phase::Waiting, Phase::Body] {
        let idle = View {
            idle: Duration::from_secs(15),
            ..view(1, phase, CONNECTION_BYTES, 15_000)
        };
        assert_eq!(overdue(&idle, &limits), None);
        let longer = View {
            idle: Duration::from_millis(16_100),
            ..idle
        };
        assert!(overdue(&longer, &limits).is_some());
    }
    for phase in [Phase::Serving, Phase::Peer] {
        assert_eq!(overdue(&view(1, phase, 0, 600_000), &limits), None);
    }
}

/// Guards against a head within the limit that counts as too large because the body arrived with it.
#[test]
fn head_limit_ignores_body_in_same_read() {
    let limits = RequestLimits::default();
    assert!(!is_head_too_large(0, &limits));
    assert!(!is_head_too_large(limits.head_bytes, &limits));
    assert!(is_head_too_large(limits.head_bytes + 1, &limits));
}

/// Guards against memory that is reserved for a declared length, and against chunks of one byte that cost a reservation each.
#[test]
fn body_part_follows_bytes() {
    let limit = 262_144;
    assert!(body_part(0, limit) <= 8_192);
    let (mut capacity, mut reservations) = (0, 0);
    for read in 0..limit {
        if read == capacity {
            capacity += body_part(read, limit);
            reservations += 1;
        }
        assert!(capacity > read && capacity - read <= 16_384);
    }
    assert_eq!(capacity, limit);
    assert!(reservations < 20, "{reservations} reservations");
}

/// Guards against an answer that is cut for others while it is being read, and against clients that keep answers by not reading.
#[test]
fn victim_spares_answers_that_are_read() {
    let reading = view(1, Phase::Responding, 900_000, 60_000);
    let waiting = view(2, Phase::Waiting, CONNECTION_BYTES, 1);
    assert_eq!(victim([reading, waiting].into_iter()), Some(2));
    let stalled = View {
        idle: Duration::from_secs(3),
        ..reading
    };
    assert_eq!(victim([stalled, waiting].into_iter()), Some(1));
    let limits = RequestLimits::default();
    assert_eq!(overdue(&stalled, &limits), None);
    let abandoned = View {
        idle: Duration::from_millis(16_100),
        ..reading
    };
    assert_eq!(overdue(&abandoned, &limits), Some(Reason::ResponseTimeout));
}

/// Guards against an announcement of the largest size that is closed before the bodies of a crowd which came earlier.
#[test]
fn victim_spares_large_announcement_beside_crowd() {
    let announcement = view(1, Phase::Body, 4 << 20, 100);
    let crowd = (2..50).map(|key| view(key, Phase::Body, 270_000, 300));
    let victim = victim(std::iter::once(announcement).chain(crowd));
    assert!(victim.is_some_and(|key| key != 1), "{victim:?}");
}

/// Guards against requests and a job that is larger than the room for jobs, which together exceed the memory.
#[test]
fn reserve_leaves_room_to_large_jobs() {
    let capacity = Capacity::of_machine(64 << 20, 450);
    let usage = |held, jobs| Usage {
        held,
        closing: 0,
        jobs,
    };
    let half = capacity.bytes / 2;
    let decide = |usage| reserve(capacity, usage, half);
    assert_eq!(decide(usage(half, capacity.jobs / 2)), Reservation::Granted);
    assert_ne!(decide(usage(half, capacity.jobs)), Reservation::Granted);
    let overdraft = capacity.jobs + 2 * capacity.bytes;
    assert_eq!(decide(usage(0, overdraft)), Reservation::Refused);
    let granted = reserve(capacity, usage(0, overdraft), capacity.bytes / 4);
    assert_eq!(granted, Reservation::Granted);
}
