//! Connections to other entry VMs.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use tonic::transport::Channel;
use tonic::transport::Endpoint;
use wire::peer_client::PeerClient;

/// Longest wait for a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Connections that are kept; the one that was unused for longest is closed first.
///
/// Heartbeats go to peers drawn at random, so that without a bound every node would hold a connection to every other.
const MAX_CHANNELS: usize = 64;

/// Connections to other entry VMs, opened on first use.
#[derive(Debug, Default)]
pub struct PeerClients {
    channels: Mutex<HashMap<SocketAddr, (Channel, Instant)>>,
}

impl PeerClients {
    /// Returns a client of a peer; calls fail as unavailable when it cannot be reached.
    pub fn client(&self, addr: SocketAddr) -> PeerClient<Channel> {
        let now = Instant::now();
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((channel, used)) = channels.get_mut(&addr) {
            *used = now;
            return PeerClient::new(channel.clone());
        }
        if channels.len() >= MAX_CHANNELS {
            let oldest = channels
                .iter()
                .min_by_key(|(_, (_, used))| *used)
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
