//! Model check of probe slots: three gateways probe an ejected engine while gateways stop, falsely consider others
//! stopped, and miss reports, and while the engine recovers. At most one probe is sent in each slot, and finally all
//! live gateways use the engine again.

use larchfall_health_gossip::EngineProcess;
use larchfall_health_gossip::counts::OutcomeCounts;
use larchfall_health_gossip::probe_slots::ProbeSlots;
use larchfall_policy::time::{Duration, Timestamp};
use stateright::{Checker, Model, Property};

const SLOT_LENGTH: Duration = Duration::from_millis(1_000);
const ENGINE: EngineProcess = EngineProcess { id: 7, started_ms: 0 };
const NAMES: [&str; 3] = ["n0", "n1", "n2"];

/// The rule by which a gateway decides that it may probe: the crate's probe slots, or a faulty variant.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Rule {
    Slots,
    /// Any gateway may probe at any time.
    NoSlots,
    /// In every slot, the first gateway by name among those that are considered live may probe.
    AlwaysTheFirst,
}

struct Fleet {
    rule: Rule,
    /// Number of the last slot.
    max_slot: u64,
    /// Maximum number of gateways that stop.
    max_stops: u8,
    /// Whether a gateway may falsely consider another gateway stopped.
    has_false_suspicions: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Gateway {
    live: bool,
    /// Gateways that this gateway considers live, including itself.
    considered_live: [bool; 3],
    slots: ProbeSlots,
    /// Whether this gateway has ejected the engine.
    ejected: bool,
    /// Whether this gateway has probed in the current slot.
    probed: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    slot: u64,
    gateways: Vec<Gateway>,
    /// Whether the engine answers probes.
    engine_healthy: bool,
    /// Gateways that have stopped.
    stops: u8,
    /// Probes of the unhealthy engine in the current slot.
    probes_in_slot: u8,
    /// Gateways that stopped in the current slot. After each stop another gateway may probe in the same slot.
    stops_in_slot: u8,
    /// Whether a slot had more than one probe of the unhealthy engine, not counting one more for each stopped gateway.
    too_many_probes: bool,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    NextSlot,
    /// A gateway probes the engine. The result reaches the gateways in `received_by`.
    Probe {
        gateway: usize,
        received_by: [bool; 3],
    },
    StopGateway(usize),
    /// All gateways learn which gateways are live.
    SyncMembership,
    /// A gateway considers a live gateway stopped.
    FalselySuspect {
        gateway: usize,
        other: usize,
    },
    RecoverEngine,
}

impl Fleet {
    fn now(&self, world: &World) -> Timestamp {
        Timestamp::from_micros(1_000_000_000) + SLOT_LENGTH * world.slot as f64
    }

    fn may_probe(&self, world: &World, i: usize) -> bool {
        let gateway = &world.gateways[i];
        let live =
            || NAMES.iter().enumerate().filter(|(j, _)| gateway.considered_live[*j]).map(|(_, name)| *name);
        match self.rule {
            Rule::Slots => gateway.slots.may_probe(NAMES[i], ENGINE, live(), self.now(world)),
            Rule::NoSlots => true,
            Rule::AlwaysTheFirst => live().min() == Some(NAMES[i]),
        }
    }
}

impl Model for Fleet {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let gateway = |_| Gateway {
            live: true,
            considered_live: [true; 3],
            slots: ProbeSlots::new(SLOT_LENGTH),
            ejected: true,
            probed: false,
        };
        let gateways = (0..3).map(gateway).collect();
        vec![World {
            slot: 0,
            gateways,
            engine_healthy: false,
            stops: 0,
            probes_in_slot: 0,
            stops_in_slot: 0,
            too_many_probes: false,
        }]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Step>) {
        if world.slot < self.max_slot {
            actions.push(Step::NextSlot);
        }
        for (i, gateway) in world.gateways.iter().enumerate().filter(|(_, gateway)| gateway.live) {
            // One probe of each gateway in a slot is enough, because further probes would have the same result.
            if gateway.ejected && !gateway.probed && self.may_probe(world, i) {
                for received_by in
                    [[false; 3], [true; 3], [true, false, false], [false, true, false], [false, false, true]]
                {
                    actions.push(Step::Probe { gateway: i, received_by });
                }
            }
            if world.stops < self.max_stops {
                actions.push(Step::StopGateway(i));
            }
            if self.has_false_suspicions {
                let others = (0..3).filter(|j| *j != i && gateway.considered_live[*j]);
                actions.extend(others.map(|other| Step::FalselySuspect { gateway: i, other }));
            }
        }
        actions.push(Step::SyncMembership);
        if !world.engine_healthy {
            actions.push(Step::RecoverEngine);
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut world = last.clone();
        match step {
            Step::NextSlot => {
                world.slot += 1;
                world.probes_in_slot = 0;
                world.stops_in_slot = 0;
                world.gateways.iter_mut().for_each(|gateway| gateway.probed = false);
            }
            Step::Probe { gateway: i, received_by } => {
                let new = if world.engine_healthy {
                    OutcomeCounts { answered: 1, ..OutcomeCounts::default() }
                } else {
                    OutcomeCounts { failed: 1, ..OutcomeCounts::default() }
                };
                let now = self.now(&world);
                world.gateways[i].probed = true;
                for (j, gateway) in world.gateways.iter_mut().enumerate() {
                    if j == i || received_by[j] && gateway.live {
                        gateway.slots.record(ENGINE, new, now);
                    }
                }
                // In this model one good answer restores the engine; outlier detection in a gateway requires several.
                world.gateways[i].ejected = !world.engine_healthy;
                if !world.engine_healthy {
                    world.probes_in_slot += 1;
                }
                world.too_many_probes |= world.probes_in_slot > 1 + world.stops_in_slot;
            }
            Step::StopGateway(i) => {
                world.gateways[i].live = false;
                world.stops += 1;
                world.stops_in_slot += 1;
            }
            Step::SyncMembership => {
                let live: Vec<bool> = world.gateways.iter().map(|gateway| gateway.live).collect();
                for gateway in &mut world.gateways {
                    gateway.considered_live = [live[0], live[1], live[2]];
                }
            }
            Step::FalselySuspect { gateway, other } => world.gateways[gateway].considered_live[other] = false,
            Step::RecoverEngine => world.engine_healthy = true,
        }
        (world != *last).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Fleet>> {
        vec![
            // Holds if no gateway falsely considers another gateway stopped.
            Property::always("at most one probe of an unhealthy engine in each slot", |_, world: &World| {
                !world.too_many_probes
            }),
            // From any state, if no more gateways stop, all views of the fleet agree and gateways probe whenever they
            // may.
            Property::always(
                "all live gateways finally restore the engine",
                |fleet: &Fleet, world: &World| {
                    let mut future = world.clone();
                    future.engine_healthy = true;
                    for slot in 0..24 {
                        future = fleet.next_state(&future, Step::SyncMembership).unwrap_or(future);
                        for i in 0..3 {
                            let gateway = &future.gateways[i];
                            if gateway.live && gateway.ejected && fleet.may_probe(&future, i) {
                                let probe = Step::Probe { gateway: i, received_by: [true; 3] };
                                future = fleet.next_state(&future, probe).unwrap_or(future);
                            }
                        }
                        let all_restored =
                            future.gateways.iter().all(|gateway| !gateway.live || !gateway.ejected);
                        if all_restored {
                            return slot < 24;
                        }
                        future = fleet.next_state(&future, Step::NextSlot).unwrap_or(future);
                    }
                    false
                },
            ),
        ]
    }
}

fn check(fleet: Fleet) -> (usize, Vec<&'static str>) {
    let checked = fleet.checker().spawn_bfs().join();
    let mut violated: Vec<&str> = checked.discoveries().into_keys().collect();
    violated.sort();
    (checked.unique_state_count(), violated)
}

#[test]
fn probe_slots_allow_one_probe_and_all_gateways_restore_the_engine() {
    let (states, violated) =
        check(Fleet { rule: Rule::Slots, max_slot: 5, max_stops: 2, has_false_suspicions: false });
    println!("{states} states");
    assert_eq!(violated, [""; 0]);
    assert!(states > 5_000, "{states}");
    // With differing views of the fleet, two gateways may probe in one slot, but all gateways still restore the engine.
    let (states, violated) =
        check(Fleet { rule: Rule::Slots, max_slot: 1, max_stops: 1, has_false_suspicions: true });
    println!("{states} states");
    assert_eq!(violated, ["at most one probe of an unhealthy engine in each slot"]);
}

#[test]
fn faulty_rules_are_detected() {
    let variant =
        |rule, max_stops| check(Fleet { rule, max_slot: 2, max_stops, has_false_suspicions: false }).1;
    assert_eq!(variant(Rule::NoSlots, 0), ["at most one probe of an unhealthy engine in each slot"]);
    // Only the first gateway restores the engine, because no other gateway may probe.
    assert_eq!(variant(Rule::AlwaysTheFirst, 1), ["all live gateways finally restore the engine"]);
}
