//! Accepts connections. Each has a short task for its handshake, and is then handed to its peer's task.

use crate::handshake::{handshake, ConnectError};
use crate::mesh::Inner;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

/// Most connections that are in their handshake at a time.
const MAX_HANDSHAKES: usize = 64;
/// Wait after a failed `accept`.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections until the mesh stops.
pub(crate) async fn listen(mesh: Arc<Inner>, listener: TcpListener) {
    let handshakes = Arc::new(Semaphore::new(MAX_HANDSHAKES));
    loop {
        // Slow handshakes delay only connections beyond the limit, and for no longer than the handshake's timeout.
        let Ok(in_handshake) = handshakes.clone().acquire_owned().await else { return };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(_) => {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let mesh = mesh.clone();
        tokio::spawn(async move {
            let accepted = async {
                let permit = mesh
                    .connection_permits
                    .clone()
                    .try_acquire_owned()
                    .map_err(|_| ConnectError::TooManyConnections)?;
                handshake(stream, &mesh.hello, false, permit).await
            };
            match accepted.await {
                Ok(connection) => {
                    drop(in_handshake);
                    let peer = Inner::peer(&mesh, connection.process.id);
                    // Dropped if the peer's task already has several connections to look at.
                    let _ = peer.incoming.try_send(connection);
                }
                Err(why) => tracing::info!(target: "mesh", kind = "turned_away", why = %why),
            }
        });
    }
}
