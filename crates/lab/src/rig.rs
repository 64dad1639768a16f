//! A test rig: a whole deployment in one process over loopback, with several entry VMs and stand-ins of the platform
//! and the upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use base::Vm;
use base::VmRole;
use base::VmState;
use compact_str::format_compact;
use decl::Catalogue;
use decl::CatalogueEntry;
use decl::Declaration;
use decl::parse_declaration;
use entry::Entry;
use entry::Settings;
use entry::start_entry;
use snafu::Snafu;
use store::Client;
use store::ClientOptions;
use store::PutResult;

use crate::deploy::Deployment;
use crate::examples::list_declarations;
use crate::platform::Platform;
use crate::platform::serve_platform;
use crate::upstreams::FleetOptions;
use crate::upstreams::UpstreamFleet;

/// Time for which a stopping entry VM still serves requests after its readiness check starts to fail.
const NOTICE_TIME: Duration = Duration::from_millis(100);

/// Longest wait until every entry VM is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// The rig or one of its parts failed.
#[derive(Debug, Snafu)]
#[snafu(display("lab: {reason}"))]
pub struct RigError {
    reason: String,
}

impl RigError {
    /// Creates an error with the given reason, such as the error of a part.
    pub fn new(reason: impl ToString) -> RigError {
        RigError {
            reason: reason.to_string(),
        }
    }
}

/// A running deployment in this process.
#[derive(Debug)]
pub struct Rig {
    /// The deployment, with the addresses that were bound.
    pub deployment: Deployment,
    /// Stand-in of the platform.
    pub platform: Platform,
    /// Stand-ins of the upstreams.
    pub fleet: UpstreamFleet,
    /// Entry VMs.
    pub entries: Vec<Entry>,
    /// Client that writes to the platform as the data owners do.
    pub store: Client,
}

impl Rig {
    /// Starts a deployment with `nodes` entry VMs spread over its zones, and publishes its example declarations.
    pub async fn start(deployment: Deployment, nodes: u32, seed: u64) -> Result<Rig, RigError> {
        Rig::start_edited(deployment, nodes, seed, |_| ()).await
    }

    /// Starts a deployment like [`Rig::start`], but applies `edit` to each example declaration first.
    pub async fn start_edited(
        mut deployment: Deployment,
        nodes: u32,
        seed: u64,
        edit: impl Fn(&mut Declaration),
    ) -> Result<Rig, RigError> {
        let platform = serve_platform(loopback(), Duration::ZERO)
            .await
            .map_err(RigError::new)?;
        let options = FleetOptions {
            seed,
            delays: Default::default(),
            control: loopback(),
        };
        let fleet = UpstreamFleet::start(&mut deployment, options)
            .await
            .map_err(RigError::new)?;
        let store = Client::new(ClientOptions::new(platform.addr(), seed));
        register_indexes(&store, &deployment).await?;
        publish_examples(&store, &deployment.name, edit).await?;
        let mut rig = Rig {
            deployment,
            platform,
            fleet,
            entries: Vec::new(),
            store,
        };
        for number in 0..nodes {
            rig.start_entry(number, seed).await?;
        }
        rig.wait_until_ready().await?;
        Ok(rig)
    }

    /// Starts another entry VM.
    pub async fn start_entry(&mut self, number: u32, seed: u64) -> Result<(), RigError> {
        self.start_entry_with_seeds(number, seed, Vec::new()).await
    }

    /// Starts another entry VM with the given seed peers.
    pub async fn start_entry_with_seeds(
        &mut self,
        number: u32,
        seed: u64,
        seeds: Vec<SocketAddr>,
    ) -> Result<(), RigError> {
        let zones = &self.deployment.zones;
        let zone = zones[number as usize % zones.len()].clone();
        let node = format_compact!("{zone}-{}", number as usize / zones.len() + 1);
        let settings = Settings {
            node: node.clone(),
            zone: zone.clone(),
            region: self.deployment.region.clone(),
            listen: loopback(),
            peer: loopback(),
            platform: self.platform.addr(),
            seeds,
            max_body_bytes: 1 << 20,
            max_queries: 512,
            notice_time: NOTICE_TIME,
            statsd: None,
        };
        let region = settings.region.clone();
        let entry = start_entry(settings, seed.wrapping_add(u64::from(number) + 1))
            .await
            .map_err(RigError::new)?;
        self.platform.put_vm(Vm {
            id: node,
            role: VmRole::Entry,
            addr: entry.peer_addr(),
            zone,
            region,
            state: VmState::Live,
        });
        self.entries.push(entry);
        Ok(())
    }

    /// Waits until every entry VM is ready and has every index.
    pub async fn wait_until_ready(&self) -> Result<(), RigError> {
        let indexes = self.deployment.indexes.len();
        let ready = async {
            for entry in &self.entries {
                while entry.node().check_readiness().is_err()
                    || entry.node().index_count() < indexes
                {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            }
        };
        tokio::time::timeout(READY_TIMEOUT, ready)
            .await
            .map_err(|_| RigError::new("an entry VM did not become ready"))
    }

    /// Stops the entry VMs and the stand-ins.
    pub async fn stop(self) -> Result<(), RigError> {
        for entry in self.entries {
            entry.stop().await.map_err(RigError::new)?;
        }
        self.platform.close().await.map_err(RigError::new)
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Writes the indexes of a deployment to the platform, as its data owners do.
pub async fn register_indexes(store: &Client, deployment: &Deployment) -> Result<(), RigError> {
    for index in &deployment.indexes {
        write_object(store, "index", &index.state.index, &index.state).await?;
    }
    Ok(())
}

/// Publishes the example declarations of a deployment after applying `edit` to each.
async fn publish_examples(
    store: &Client,
    deployment: &str,
    edit: impl Fn(&mut Declaration),
) -> Result<(), RigError> {
    let mut catalogue = Catalogue {
        revision: 1,
        publish: "example".into(),
        ..Catalogue::default()
    };
    for (file, text) in list_declarations(deployment) {
        let mut declaration: Declaration =
            parse_declaration(file, text).map_err(|errors| RigError::new(&errors[0]))?;
        edit(&mut declaration);
        let entry = CatalogueEntry {
            file: file.into(),
            changed: 1,
            declaration,
        };
        catalogue
            .entries
            .insert(entry.declaration.service.clone(), entry);
    }
    write_object(store, "config", "catalogue", &catalogue).await
}

/// Writes an object unconditionally, by retrying with the current version after a conflict.
pub async fn write_object<T: serde::Serialize>(
    store: &Client,
    kind: &str,
    name: &str,
    value: &T,
) -> Result<(), RigError> {
    let mut version = 0;
    loop {
        match store.put_if(kind, name, version, value).await {
            PutResult::Applied(_) => return Ok(()),
            PutResult::Conflict(current) => version = current,
            PutResult::Refused(error) | PutResult::Unknown(error) => {
                return Err(RigError::new(error));
            }
        }
    }
}
