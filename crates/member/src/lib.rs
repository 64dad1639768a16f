//! Membership of entry VMs and upstreams, and the roles derived from it.
