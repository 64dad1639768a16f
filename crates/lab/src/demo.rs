//! A demonstration for new users: runs whole deployments on stand-ins, and shows the answers while parts of them fail.

use std::time::Duration;

use base::ShardMap;
use bytes::Bytes;
use http::Method;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

use crate::deploy::build_brunner_vaucher;
use crate::deploy::build_skiasis;
use crate::fault::Fault;
use crate::rig::Rig;
use crate::rig::RigError;
use crate::rig::write_object;

/// Entry VMs in each deployment of the demonstration.
const NODES: u32 = 6;

/// A fixed seed, so that the deployments are the same in every run.
const SEED: u64 = 7;

/// Queries before the first row, from which the entry VMs get their latency statistics.
const WARMUP_QUERIES: u32 = 40;

/// A demonstration on one deployment.
struct Demo {
    rig: Rig,
    http: Client<hyper_util::client::legacy::connect::HttpConnector, Full<Bytes>>,
    json: bool,
    call_count: usize,
}

/// Runs the demonstration on both example deployments; with `json`, prints a JSON object for each answer.
pub async fn run_demo(json: bool) -> Result<(), RigError> {
    let rig = Rig::start(build_brunner_vaucher(SEED), NODES, SEED).await?;
    let mut demo = Demo::new(rig, json);
    demo.show_latency_first().await?;
    demo.rig.stop().await?;
    let rig = Rig::start(build_skiasis(SEED), NODES, SEED).await?;
    let mut demo = Demo::new(rig, json);
    demo.show_coverage_first().await?;
    demo.rig.stop().await
}

impl Demo {
    fn new(rig: Rig, json: bool) -> Demo {
        Demo {
            rig,
            http: Client::builder(TokioExecutor::new()).build_http(),
            json,
            call_count: 0,
        }
    }

    /// Searches in funeral plans: answers must be fast, and may omit the slowest shards.
    async fn show_latency_first(&mut self) -> Result<(), RigError> {
        self.print_title(
            "Brunner-Vaucher: advisers search the 30 shards of plan-desk (latency first)",
        );
        self.warm_up("advisers").await?;
        self.show_query("all servers are healthy", "advisers")
            .await?;
        self.inject("plan-desk-00", Fault::Slow { factor: 40.0 })?;
        self.show_query("server plan-desk-00 is 40 times slower", "advisers")
            .await?;
        self.inject("plan-desk-01", Fault::Stop)?;
        self.show_query("server plan-desk-01 is also lost", "advisers")
            .await?;
        self.inject("plan-desk-00", Fault::Clear)?;
        self.inject("plan-desk-01", Fault::Clear)?;
        self.replace_version("plan-desk").await?;
        self.show_query("the index has moved to a new version", "advisers")
            .await?;
        self.print_line("A request that may not be repeated runs at most once:");
        self.show_repeated_key("instalments", "post-instalment")
            .await
    }

    /// Searches in blackout fabric: answers should be complete, and report the shards that are missing.
    async fn show_coverage_first(&mut self) -> Result<(), RigError> {
        self.print_title("Skiasis: workshops search the 30 shards of offcut-desk (coverage first)");
        self.warm_up("offcuts").await?;
        self.show_query("all servers are healthy", "offcuts")
            .await?;
        let stopped = self.find_replicas("offcut-desk", 3);
        for server in &stopped {
            self.inject(server, Fault::Stop)?;
        }
        self.show_query("all replicas of shard 3 are lost", "offcuts")
            .await?;
        for server in &stopped {
            self.inject(server, Fault::Clear)?;
        }
        self.show_query("the replicas are back", "offcuts").await
    }

    fn inject(&self, server: &str, fault: Fault) -> Result<(), RigError> {
        let found = self.rig.fleet.inject(server, fault);
        found
            .then_some(())
            .ok_or_else(|| RigError::new(format!("no server is named {server}")))
    }

    fn find_replicas(&self, index: &str, shard: u32) -> Vec<base::UpstreamId> {
        let state = self
            .rig
            .deployment
            .find_index(index)
            .map(|index| &index.state);
        let shard = state.and_then(|state| state.maps.last()?.shard(shard));
        shard
            .map(|shard| shard.replicas.clone())
            .unwrap_or_default()
    }

    async fn warm_up(&mut self, service: &str) -> Result<(), RigError> {
        for _ in 0..WARMUP_QUERIES {
            self.send_request(service, "search", None).await?;
        }
        Ok(())
    }

    /// Replaces the version of an index: adds a new one to the servers and then to the platform, and retires the old.
    async fn replace_version(&mut self, index: &str) -> Result<(), RigError> {
        let indexes = &mut self.rig.deployment.indexes;
        let Some(index) = indexes.iter_mut().find(|entry| entry.state.index == index) else {
            return Ok(());
        };
        let Some(map) = index.state.maps.last_mut() else {
            return Ok(());
        };
        let old = map.versions.last().copied().unwrap_or(0);
        map.versions.push(old + 1);
        let map: ShardMap = map.clone();
        let state = index.state.clone();
        for server in &state.upstreams {
            self.inject(&server.id, Fault::Hold { map: map.clone() })?;
        }
        write_object(&self.rig.store, "index", &state.index, &state).await?;
        tokio::time::sleep(Duration::from_millis(200)).await;
        for server in &state.upstreams {
            self.inject(&server.id, Fault::Retire { version: old })?;
        }
        Ok(())
    }

    async fn show_query(&mut self, situation: &str, service: &str) -> Result<(), RigError> {
        let answer = self.send_request(service, "search", None).await?;
        self.print_answer(situation, service, "search", &answer);
        Ok(())
    }

    async fn show_repeated_key(&mut self, service: &str, request: &str) -> Result<(), RigError> {
        let key = format!("demo-{SEED}");
        let first = self.send_request(service, request, Some(&key)).await?;
        self.print_answer("first call", service, request, &first);
        let second = self.send_request(service, request, Some(&key)).await?;
        self.print_answer("same key, through another VM", service, request, &second);
        let runs = self
            .rig
            .fleet
            .runs()
            .get(key.as_str())
            .copied()
            .unwrap_or(0);
        self.print_line(&format!("the servers ran it {runs} time(s)"));
        Ok(())
    }

    /// Sends a request to the next entry VM, in round-robin order like a load balancer.
    async fn send_request(
        &mut self,
        service: &str,
        request: &str,
        key: Option<&str>,
    ) -> Result<Value, RigError> {
        let entry = &self.rig.entries[self.call_count % self.rig.entries.len()];
        self.call_count += 1;
        let uri = format!(
            "http://{}/v1/services/{service}/requests/{request}",
            entry.addr()
        );
        let mut builder = Request::builder()
            .method(Method::POST)
            .uri(uri)
            .header(http::header::CONTENT_TYPE, "application/json");
        if let Some(key) = key {
            builder = builder.header("idempotency-key", key);
        }
        let body = r#"{"body":{"text":"oak"},"explain":true}"#;
        let request = builder
            .body(Full::new(Bytes::from_static(body.as_bytes())))
            .map_err(RigError::new)?;
        let response = self.http.request(request).await.map_err(RigError::new)?;
        let body = response
            .into_body()
            .collect()
            .await
            .map_err(RigError::new)?
            .to_bytes();
        serde_json::from_slice(&body).map_err(RigError::new)
    }

    fn print_title(&self, text: &str) {
        if self.json {
            return;
        }
        println!("\n{text}\n");
        println!(
            "{:<40} {:<9} {:>4}  {:>8} {:>14}  {:>8}  {:>8} {:>6}  missing shards",
            "situation", "outcome", "code", "shards", "members", "snapshot", "attempts", "ms"
        );
    }

    fn print_line(&self, text: &str) {
        if !self.json {
            println!("  {text}");
        }
    }

    fn print_answer(&self, situation: &str, service: &str, request: &str, answer: &Value) {
        if self.json {
            println!(
                "{}",
                serde_json::json!({
                    "situation": situation, "service": service, "request": request, "answer": answer,
                })
            );
            return;
        }
        let coverage = &answer["coverage"];
        let explanation = &answer["explanation"];
        let snapshot = &explanation["snapshot"];
        let version = snapshot["version"]
            .as_u64()
            .map_or("-".to_owned(), |version| {
                format!("v{version}/m{}", snapshot["map"])
            });
        println!(
            "{situation:<40} {:<9} {:>4}  {:>8} {:>14}  {version:>8}  {:>8} {:>6}  {}",
            answer["outcome"].as_str().unwrap_or("-"),
            answer["code"].to_string(),
            format!("{}/{}", coverage["answered"], coverage["shards"]),
            format!("{}/{}", coverage["covered"], coverage["members"]),
            explanation["attempts"].to_string(),
            explanation["elapsed_ms"].to_string(),
            if answer["replayed"] == true {
                "none; the result of the first call".to_owned()
            } else {
                describe_missing(&coverage["missing"])
            },
        );
    }
}

fn describe_missing(missing: &Value) -> String {
    let shards = missing.as_array().map(Vec::as_slice).unwrap_or_default();
    let entries: Vec<String> = shards
        .iter()
        .map(|shard| {
            format!(
                "{} ({})",
                shard["shard"],
                shard["reason"].as_str().unwrap_or("-")
            )
        })
        .collect();
    if entries.is_empty() {
        "none".into()
    } else {
        entries.join(", ")
    }
}
