//! Messages between entry VMs, generated from proto/peer.proto.
