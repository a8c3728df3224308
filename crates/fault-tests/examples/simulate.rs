//! How fast deaths are found, how often a living gateway is buried, and what that costs, by size of the fleet and loss:
//! cargo run --release -p larchfall-fault-tests --example simulate [SIZE ...]

use hdrhistogram::Histogram;
use larchfall_fault_tests::fleet::{Fleet, Sight, ms, name};
use larchfall_membership::member_update::MemberState;
use larchfall_policy::time::Duration;

const KILLS: usize = 8;
const LOSSES: [f64; 3] = [0.0, 0.1, 0.3];

fn millis(times: &mut Histogram<u64>, duration: Duration) {
    times.record(duration.micros() / 1000).expect("within bounds");
}

fn main() {
    let sizes: Vec<usize> = std::env::args().skip(1).filter_map(|n| n.parse().ok()).collect();
    let sizes = if sizes.is_empty() { vec![10, 100, 300, 1000] } else { sizes };
    println!(
        "| fronts | loss | suspected first, ms (p50, p99) | held for dead first | all know | buried alive, a member and hour | letters a member and second | bytes |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for n in sizes {
        for loss in LOSSES {
            measure(n, loss);
        }
    }
}

fn measure(n: usize, loss: f64) {
    let mut fleet = Fleet::start(n, n as u64);
    assert!(fleet.until(ms(120_000), Fleet::agrees).is_some(), "{n} fronts find each other");
    fleet.loss = loss;
    fleet.run(ms(20_000));
    // In calm.
    let (letters, bytes, from) = (fleet.letters, fleet.bytes, fleet.now);
    let calm = ms(if n > 100 { 60_000 } else { 600_000 });
    fleet.run(calm);
    let member_seconds = n as f64 * fleet.now.since(from).secs();
    let (letters, bytes) = (fleet.letters - letters, fleet.bytes - bytes);
    let buried = fleet.buried_alive(from) as f64 / member_seconds * 3600.0;
    let mut times: [Histogram<u64>; 3] = std::array::from_fn(|_| Histogram::new(3).expect("three digits"));
    for kill in 0..KILLS.min(n / 2) {
        let of = n - 1 - kill;
        let from = fleet.now;
        fleet.kill(of);
        let know = |f: &Fleet| {
            let mut up = (0..n).filter(|i| f.nodes[*i].up);
            up.all(|i| f.held(i, of).is_none_or(|s| s == MemberState::Dead))
        };
        let all = fleet.until(ms(300_000), know).expect("a death is known in the end");
        let first = |to: MemberState| {
            let of_it = |s: &&Sight| s.at >= from && s.change.name == name(of) && s.change.to == to;
            fleet.sights.iter().find(of_it).map(|s| s.at.since(from))
        };
        [first(MemberState::Suspected), first(MemberState::Dead), Some(all)]
            .into_iter()
            .zip(&mut times)
            // One that was under suspicion as it died has no first sight of that later.
            .for_each(|(duration, times)| millis(times, duration.unwrap_or_default()));
    }
    let p = |t: &Histogram<u64>| format!("{}, {}", t.value_at_quantile(0.5), t.value_at_quantile(0.99));
    println!(
        "| {n} | {:.0}% | {} | {} | {} | {buried:.4} | {:.1} | {:.0} |",
        loss * 100.0,
        p(&times[0]),
        p(&times[1]),
        p(&times[2]),
        letters as f64 / member_seconds,
        bytes as f64 / member_seconds
    );
}
