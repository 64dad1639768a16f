//! gRPC clients of other entry VMs.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use tonic::transport::Channel;
use tonic::transport::Endpoint;
use wire::peer_client::PeerClient;

/// Time limit for opening a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Largest number of cached connections; the least recently used one is closed first.
///
/// Heartbeats go to random peers, so without a limit every node would end up connected to every other node.
const MAX_CHANNELS: usize = 64;

/// Cache of connections to other entry VMs, which are opened on first use.
#[derive(Debug, Default)]
pub struct PeerClients {
    channels: Mutex<HashMap<SocketAddr, (Channel, Instant)>>,
}

impl PeerClients {
    /// Returns a client of a peer; its calls fail with status `Unavailable` if the peer cannot be reached.
    pub fn client(&self, addr: SocketAddr) -> PeerClient<Channel> {
        let now = Instant::now();
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((channel, last_used)) = channels.get_mut(&addr) {
            *last_used = now;
            return PeerClient::new(channel.clone());
        }
        if channels.len() >= MAX_CHANNELS {
            let oldest = channels
                .iter()
                .min_by_key(|(_, (_, last_used))| *last_used)
                .map(|(addr, _)| *addr);
            oldest.and_then(|addr| channels.remove(&addr));
        }
        let endpoint =
            Endpoint::from_shared(format!("http://{addr}")).expect("an address makes a valid URI");
        let channel = endpoint
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .connect_lazy();
        channels.insert(addr, (channel.clone(), now));
        PeerClient::new(channel)
    }
}
