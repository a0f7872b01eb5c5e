//! Runs decisions in a loop so that a tool can measure the cost of each; see `scripts/decision-cost`.
//! Arguments: `place REPLICAS PARTNERS COUNT`, `grant PARTNERS COUNT` or `hear DAEMONS ENGINES COUNT`.
#![allow(clippy::pedantic, reason = "shares the fakes of the tests")]

#[path = "../tests/sched/cost.rs"]
mod cost;
#[path = "../tests/relay/cost.rs"]
mod relay_cost;

fn main() {
    let arguments = std::env::args().skip(1).collect::<Vec<_>>();
    let number = |index: usize| arguments[index].parse::<u32>().expect("a number");
    match arguments[0].as_str() {
        "place" => {
            let mut placement = cost::PlacementBench::new(number(1), number(2) as usize);
            (0..number(3)).for_each(|_| placement.step());
        }
        "hear" => {
            let mut hearing = relay_cost::PeerUpdates::new(number(1) as usize, number(2) as usize);
            (0..number(3)).for_each(|_| hearing.step());
        }
        _ => {
            let mut grants = cost::GrantBench::new(number(1) as usize);
            (0..number(2)).for_each(|_| grants.step());
        }
    }
}
