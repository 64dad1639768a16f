//! Claims for requests that run at most once.
