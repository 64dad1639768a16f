//! The gRPC service that this node offers to other entry VMs.

use std::sync::Arc;

use tonic::Request;
use tonic::Response;
use tonic::Status;
use wire::BeatMessage;
use wire::BeatReply;
use wire::CancelReply;
use wire::CancelRequest;
use wire::ClaimReply;
use wire::ClaimRequest;
use wire::IndexObject;
use wire::IndexReply;
use wire::IndexRequest;
use wire::PullReply;
use wire::PullRequest;
use wire::ScatterRequest;
use wire::peer_server::Peer;

use crate::home::call_home;
use crate::home::decode_request;
use crate::home::encode_result;
use crate::node::Node;
use crate::scatter::ResultStream;
use crate::scatter::serve_scatter;

/// Implements the peer protocol.
#[derive(Debug)]
pub struct PeerService {
    /// State of this VM.
    pub node: Arc<Node>,
}

#[tonic::async_trait]
impl Peer for PeerService {
    type ScatterStream = ResultStream;

    async fn beat(&self, request: Request<BeatMessage>) -> Result<Response<BeatReply>, Status> {
        Ok(Response::new(self.node.merge_beat(request.get_ref())))
    }

    async fn scatter(
        &self,
        request: Request<ScatterRequest>,
    ) -> Result<Response<ResultStream>, Status> {
        serve_scatter(&self.node, request.into_inner()).map(Response::new)
    }

    async fn cancel(
        &self,
        request: Request<CancelRequest>,
    ) -> Result<Response<CancelReply>, Status> {
        for attempt in request.into_inner().attempts {
            self.node.cancel_attempt(attempt);
        }
        Ok(Response::new(CancelReply {}))
    }

    async fn pull(&self, request: Request<PullRequest>) -> Result<Response<PullReply>, Status> {
        let update = self.node.update_since(request.get_ref().since);
        let update = update.map(|update| serde_json::to_vec(&update)).transpose();
        let update = update.map_err(|error| Status::internal(error.to_string()))?;
        Ok(Response::new(PullReply {
            update: update.unwrap_or_default().into(),
        }))
    }

    async fn indexes(
        &self,
        request: Request<IndexRequest>,
    ) -> Result<Response<IndexReply>, Status> {
        let indexes = self.node.indexes_after(request.get_ref().after).into_iter();
        let objects = indexes.map(|(version, index)| {
            let state =
                serde_json::to_vec(&*index).map_err(|error| Status::internal(error.to_string()))?;
            Ok(IndexObject {
                version,
                state: state.into(),
            })
        });
        Ok(Response::new(IndexReply {
            objects: objects.collect::<Result<_, Status>>()?,
        }))
    }

    async fn claim(&self, request: Request<ClaimRequest>) -> Result<Response<ClaimReply>, Status> {
        let request = decode_request(request.into_inner());
        let request = request.ok_or_else(|| Status::invalid_argument("the claim is not valid"))?;
        let result = call_home(&self.node, request).await;
        Ok(Response::new(encode_result(result)))
    }
}
