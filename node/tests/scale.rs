//! A reduced scale run: a small fleet with all fleet-wide parts enabled, measured by role.

use birchswitch_standin::process::{block_on, node_binary};
use birchswitch_standin::rig::scale::{check, head, play, row, Size};
use std::time::Duration;

const SEED: u64 = 1;

#[test]
fn a_small_fleet_is_measured_by_role() {
    let size = Size { nodes: 12, servers: 20, limits: 4, accounts: 2 };
    check(&[size]).expect("a size that can be played");
    let binary = node_binary().expect("this program's path");
    let step =
        block_on(play(size, binary, Duration::from_secs(5), SEED)).expect("a runtime").expect("a fleet");
    println!("{}{}", head(), row(SEED, &step));
    for role in
        ["holder of limits", "holder of tuner", "holder of verdict", "holder of wallet", "node", "voter"]
    {
        // Every voter may also hold another role, which leaves no process that is only a voter.
        let Some((processes, cost)) = step.roles.get(role) else {
            assert!(role == "voter", "{role}: {:?}", step.roles.keys());
            continue;
        };
        assert!(*processes > 0 && cost.cpu_percent > 0.0 && cost.memory_kb > 1000.0, "{role}: {cost:?}");
        assert!(
            cost.datagrams > 1.0 && cost.datagram_bytes > 20.0 && cost.stream_bytes > 1.0,
            "{role}: {cost:?}"
        );
    }
    let of = |role: &str| step.roles[role].1;
    // In a void run live nodes were declared dead, and a new holder has not answered all others for long.
    if step.void.is_none() {
        assert!(
            of("holder of limits").stream_bytes > of("node").stream_bytes,
            "the holder of the limits answers all others"
        );
    }
}
