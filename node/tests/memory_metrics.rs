//! What operators see of a node's memory.

use birchswitch_standin::scripted::*;
use serde_json::json;

#[tokio::test]
async fn metrics_tell_limit_resident_size_and_level() {
    let discovery = Peer::new().await;
    let config = json!({
        "name": "n", "listen": "127.0.0.1:0", "ops": "127.0.0.1:0", "discovery": discovery.address().to_string(),
        "seed": "1f", "limits": {"memory_mb": 64, "sockets": 256}, "settings": settings(),
    });
    let mut node = Node::with_config(config, &[]).await;
    let operators = node.ops_address().await;
    let metrics = call(operators, "METRICS").await;
    let value = |name: &str| -> f64 {
        let line = metrics.lines().find_map(|line| line.strip_prefix(name));
        line.and_then(|value| value.trim().parse().ok()).unwrap_or_else(|| panic!("{name}: {metrics}"))
    };
    assert_eq!(value("app_memory_bytes{of=\"limit\"}"), f64::from(64 << 20));
    assert_eq!(value("app_memory_bytes{of=\"request_bodies\"}"), 0.0);
    assert_eq!(value("app_memory_level{at=\"now\"}"), 0.0);
    let (resident, allocated) =
        (value("app_memory_bytes{of=\"resident\"}"), value("app_memory_bytes{of=\"allocated\"}"));
    assert!(resident > allocated && allocated > 0.0, "{metrics}");
}
