//! The asynchronous runtime of an entry VM.
