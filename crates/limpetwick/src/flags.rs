//! Command-line flags.

use std::net::SocketAddr;
use std::path::PathBuf;

use compact_str::CompactString;

xflags::xflags! {
    /// Query tier over many shards.
    cmd limpetwick {
        /// Runs an entry VM.
        ///
        /// Example: limpetwick serve --settings entry.toml
        cmd serve {
            /// Settings file.
            required --settings path: PathBuf
        }

        /// Checks declaration files without a platform.
        ///
        /// Example: limpetwick check examples/skiasis/*.toml
        cmd check {
            /// Declaration files.
            repeated files: PathBuf
        }

        /// Puts the declarations of a directory into force.
        ///
        /// Example: limpetwick publish examples/skiasis --platform 127.0.0.1:9000 --entry 127.0.0.1:8080
        cmd publish {
            /// Directory with one TOML file per service.
            required dir: PathBuf
            /// Address of the platform's object API.
            required --platform addr: SocketAddr
            /// Entry VM that is asked where the revision is in force.
            optional --entry addr: SocketAddr
            /// Published file to remove.
            repeated --remove file: CompactString
            /// Revision that the files were based on; files changed since are refused.
            optional --base revision: u64
            /// Shows what would change, and publishes nothing.
            optional --dry-run
            /// Seconds to wait until the revision is in force everywhere; 30 when absent.
            optional --wait seconds: u64
        }

        /// Shows revisions, members, draining upstreams and latencies.
        ///
        /// Example: limpetwick status --entry 127.0.0.1:8080
        cmd status {
            /// Entry VM to ask.
            required --entry addr: SocketAddr
            /// Prints the JSON of the API.
            optional --json
        }

        /// Decodes an explanation record.
        ///
        /// Example: limpetwick explain answer.json
        cmd explain {
            /// File with an answer or an explanation record; standard input when it is `-`.
            required file: PathBuf
        }

        /// Prints the OpenAPI description of the API for callers and operators.
        cmd openapi {}

        /// Runs the whole path on embedded stand-ins and shows what answers say when things fail.
        cmd demo {
            /// Prints one JSON object per answer.
            optional --json
        }

        /// Stand-ins, load and experiments.
        cmd lab {
            /// Serves the stand-in of the platform.
            cmd platform {
                /// Address to serve on.
                required --listen addr: SocketAddr
                /// Age of the list of VMs, in milliseconds.
                optional --lag-ms millis: u64
            }

            /// Serves stand-ins of the upstreams of an example deployment, and registers its indexes with the platform.
            cmd upstreams {
                /// Deployment: brunner-vaucher or skiasis.
                required deployment: String
                /// Address of the platform.
                required --platform addr: SocketAddr
                /// Address of the control port, which switches faults.
                optional --control addr: SocketAddr
                /// Seed of all random choices.
                optional --seed seed: u64
            }

            /// Registers an entry VM in the platform's list, as a real platform does by itself.
            cmd vm {
                /// Settings file of the entry VM.
                required --settings path: PathBuf
                /// Marks the VM as leaving.
                optional --leaving
            }

            /// Runs the scenarios of a directory in virtual time.
            cmd scenario {
                /// Directory with one TOML file per scenario.
                required dir: PathBuf
                /// Seed of all random choices.
                optional --seed seed: u64
                /// Shows the events of scenarios that fail.
                optional --trace
            }

            /// Explores the claim protocol and the acceptance of configurations exhaustively.
            cmd model {
                /// Fault to seed into the specification, which then has to be found.
                optional --fault name: String
            }

            /// Measures what membership costs, by the number of entry VMs, in virtual time.
            cmd slopes {
                /// Entry VMs; 590, 300, 150, 60 and 15 when absent.
                repeated sizes: usize
                /// Seed of all random choices.
                optional --seed seed: u64
            }

            /// Measures what claims cost in writes to the platform, by the number of requests, in virtual time.
            cmd claims {
                /// Virtual seconds for each rate; 20 when absent.
                optional --seconds seconds: u64
            }

            /// Sends requests to entry VMs at a fixed rate and checks every answer.
            cmd load {
                /// Deployment whose declarations are used: brunner-vaucher or skiasis.
                required deployment: String
                /// Entry VM to send to; give it once for each.
                repeated --entry addr: SocketAddr
                /// Requests a second; 100 when absent.
                optional --rate rate: f64
                /// Seconds to send for; 10 when absent.
                optional --seconds seconds: u64
                /// Seed of all random choices.
                optional --seed seed: u64
            }

            /// Compares the full policy with plain baselines in virtual time.
            cmd bench {
                /// Seed of all random choices.
                optional --seed seed: u64
                /// Runs fewer queries.
                optional --quick
                /// File for the figures in JSON.
                optional --json file: PathBuf
                /// File for the report as one HTML page.
                optional --html file: PathBuf
            }
        }
    }
}
