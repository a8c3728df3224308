//! What it costs a fleet to find out that an engine is dead, to try it, and to have it back; and what a lie costs:
//! cargo run --release -p larchfall-fault-tests --example gossip_simulation [SIZE ...]

use larchfall_fault_tests::simulation::health_gossip::{Seen, Setting, Sighted, Telling};
use larchfall_policy::time::Duration;

const TURN: Duration = Duration::from_millis(1_000);
const TELLINGS: [Telling; 4] = [Telling::Nothing, Telling::Verdicts, Telling::Counts, Telling::Turns(TURN)];

fn s(n: u64) -> Duration {
    Duration::from_millis(n * 1000)
}

fn main() {
    let sizes: Vec<usize> = std::env::args().skip(1).filter_map(|n| n.parse().ok()).collect();
    let sizes = if sizes.is_empty() { vec![10, 100, 300, 1000] } else { sizes };
    println!(
        "| fronts | told | loss | dispatches that met the dead engine, first 10 s | a second, the 20 s after | all have it back, s | by one liar left out, of all fronts' time | by a third of one zone |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for gateways in sizes {
        for (telling, loss) in TELLINGS.into_iter().map(|t| (t, 0.0)).chain([(Telling::Turns(TURN), 0.5)]) {
            let setting = Setting { gateways, telling, pace: 4.0, loss, liars: 0 };
            row(&setting);
        }
    }
}

fn row(setting: &Setting) {
    let mut fleet = Sighted::start(setting.clone(), 1);
    fleet.run(s(10));
    fleet.works = false;
    fleet.seen = Seen::default();
    fleet.run(s(10));
    let first = std::mem::take(&mut fleet.seen).met;
    fleet.run(s(20));
    let later = std::mem::take(&mut fleet.seen).met;
    fleet.works = true;
    let from = fleet.now;
    // All but one in a hundred: a gateway with next to no traffic tries nothing.
    while fleet.leave_out() > setting.gateways / 100 && fleet.now.since(from) < s(120) {
        fleet.run(Duration::from_millis(250));
    }
    let back = fleet.now.since(from).secs();
    let lied = |liars| {
        let mut fleet = Sighted::start(Setting { liars, ..setting.clone() }, 2);
        fleet.run(s(10));
        fleet.seen = Seen::default();
        fleet.run(s(20));
        fleet.seen.left_out.secs() / (20.0 * (setting.gateways - liars) as f64) * 100.0
    };
    println!(
        "| {} | {:?} | {:.0}% | {first} | {:.1} | {back:.1} | {:.2}% | {:.2}% |",
        setting.gateways,
        setting.telling,
        setting.loss * 100.0,
        later as f64 / 20.0,
        lied(1),
        lied((setting.gateways / 9).max(1))
    );
}
