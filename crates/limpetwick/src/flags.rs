//! Command-line flags.

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// Query tier over many shards.
    cmd limpetwick {
        /// Run an entry VM: limpetwick serve --settings entry.toml
        cmd serve {
            /// Settings file.
            required --settings path: PathBuf
        }

        /// Check declaration files without a platform: limpetwick check examples/skiasis/*.toml
        cmd check {
            /// Declaration files.
            repeated files: PathBuf
        }

        /// Put the declarations of a directory into force: limpetwick publish examples/skiasis --platform 127.0.0.1:9000
        cmd publish {
            /// Directory with one TOML file per service.
            required dir: PathBuf
            /// Address of the platform's object API.
            required --platform addr: SocketAddr
            /// Entry VM that is asked where the revision is in force.
            optional --entry addr: SocketAddr
            /// Revision that the files were based on; files changed since are refused.
            optional --base revision: u64
            /// Show what would change, and publish nothing.
            optional --dry-run
            /// Seconds to wait until the revision is in force everywhere.
            optional --wait seconds: u64
        }

        /// Show revisions, members, draining upstreams and latencies: limpetwick status --entry 127.0.0.1:8080
        cmd status {
            /// Entry VM to ask.
            required --entry addr: SocketAddr
        }

        /// Decode an explanation record from a file, or from standard input with `-`.
        cmd explain {
            /// File with an answer, an explanation record or a log line.
            required file: PathBuf
        }

        /// Run the whole path on embedded stand-ins and show what answers say when things fail.
        cmd demo {
            /// Print one JSON object per answer.
            optional --json
        }

        /// Stand-ins, load and experiments.
        cmd lab {
            /// Serve the stand-in of the platform.
            cmd platform {
                /// Address to serve on.
                required --listen addr: SocketAddr
                /// Age of the list of VMs, in milliseconds.
                optional --lag-ms millis: u64
            }

            /// Serve stand-ins of the upstreams of an example deployment, and register them with the platform.
            cmd upstreams {
                /// Deployment: brunner-vaucher or skiasis.
                required deployment: String
                /// Address of the platform.
                required --platform addr: SocketAddr
                /// Seed of all random choices.
                optional --seed seed: u64
            }
        }
    }
}
