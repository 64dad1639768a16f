//! Command-line flags.

use std::net::SocketAddr;
use std::path::PathBuf;

use compact_str::CompactString;

xflags::xflags! {
    /// Query tier over many shards: one answer to a caller from many servers, with its true coverage.
    ///
    /// New here? Run `limpetwick demo`. Result codes in messages are explained in docs/codes.md.
    ///
    /// Exit codes: 0 done, 1 failed, 2 wrong flags, settings or declarations; publish adds 3 to 5.
    cmd limpetwick {
        /// Prints this help.
        ///
        /// Example: limpetwick help
        cmd help {}

        /// Runs an entry VM until SIGTERM, then finishes the requests in progress and exits with 0.
        ///
        /// Set RUST_LOG=warn to leave out the line that is logged for each answer.
        ///
        /// Example: limpetwick serve --settings examples/entry.toml
        cmd serve {
            /// Settings file; docs/settings.md lists its keys.
            required --settings path: PathBuf
        }

        /// Checks declarations without a platform and prints every error with file, line and key.
        ///
        /// Exit codes: 0 all are valid, 2 there are errors or no files.
        ///
        /// Example: limpetwick check examples/skiasis
        cmd check {
            /// Declaration files, or directories with one TOML file per service.
            repeated files: PathBuf
        }

        /// Puts the declarations of a directory into force, and waits until every VM has them.
        ///
        /// Files that are published but absent from the directory stay in force.
        ///
        /// Exit codes: 0 in force everywhere, 2 invalid files, 3 accepted but not known to be in force everywhere,
        /// 4 refused and nothing changed, 5 unknown (publish again to settle it).
        ///
        /// Example: limpetwick publish examples/skiasis --platform 127.0.0.1:9000 --entry 127.0.0.1:8080
        cmd publish {
            /// Directory with one TOML file per service.
            required dir: PathBuf
            /// Address of the platform's object API.
            required --platform addr: SocketAddr
            /// Entry VM that is asked where the revision is in force; without it the exit code is 3 at best.
            optional --entry addr: SocketAddr
            /// Published file to remove, by its name without the directory; may be repeated.
            repeated --remove file: CompactString
            /// Revision that the files were based on; a file that another publish changed since is refused.
            optional --base revision: u64
            /// Shows what would change, and publishes nothing.
            optional --dry-run
            /// Seconds to wait until the revision is in force everywhere; 30 when absent.
            optional --wait seconds: u64
        }

        /// Shows what an entry VM knows: revisions by zone, upstreams that drain or are suspected, answers by result
        /// code, and latencies by service.
        ///
        /// Example: limpetwick status --entry 127.0.0.1:8080
        cmd status {
            /// Entry VM to ask, by its address for callers.
            required --entry addr: SocketAddr
            /// Prints the JSON of the API.
            optional --json
        }

        /// Prints how an answer came about: snapshot, coverage, missing shards, attempts and time.
        ///
        /// Callers get the record with `"explain": true`; entry VMs log it for each answer.
        ///
        /// Example: grep 25c4daa37d0f9595ccab83b2ca34df5c entry.log | limpetwick explain
        cmd explain {
            /// File with one answer, record or log line; standard input when absent.
            optional file: PathBuf
        }

        /// Shows what the logs of gateways say about one request, and what they logged before it.
        ///
        /// Exit codes: 0 found, 2 no line names the request or a file cannot be read.
        ///
        /// Example: limpetwick trace f1e6513fa9742ff7 front-lug-a-3.log front-lug-a-4.log
        cmd trace {
            /// Id that the caller sent with the request.
            required id: String
            /// Log of a gateway; give it once for each.
            repeated files: PathBuf
        }

        /// Prints the OpenAPI description of the API for callers and operators.
        ///
        /// Example: limpetwick openapi > docs/openapi.json
        cmd openapi {}

        /// Runs the whole path on embedded stand-ins and shows what answers say when things fail.
        ///
        /// It needs no settings and no network beyond loopback, and ends by itself.
        ///
        /// Example: limpetwick demo
        cmd demo {
            /// Prints one JSON object per answer.
            optional --json
        }

        /// Stand-ins of the platform and the upstreams for trials, and the benchmark.
        cmd lab {
            /// Serves the stand-in of the platform until SIGTERM; its objects are lost when it ends.
            ///
            /// Example: limpetwick lab platform --listen 127.0.0.1:9000
            cmd platform {
                /// Address to serve on.
                required --listen addr: SocketAddr
                /// Age of the list of VMs, in milliseconds; 0 when absent.
                optional --lag-ms millis: u64
            }

            /// Serves stand-ins of the upstreams of an example deployment, and registers its indexes with the platform.
            ///
            /// Example: limpetwick lab upstreams skiasis --platform 127.0.0.1:9000 --control 127.0.0.1:9001
            cmd upstreams {
                /// Deployment: brunner-vaucher or skiasis.
                required deployment: String
                /// Address of the platform.
                required --platform addr: SocketAddr
                /// Address of the control port, which switches faults; a free loopback port when absent.
                optional --control addr: SocketAddr
                /// Seed of all random choices; 1 when absent.
                optional --connections connections: u32
                /// Seed of all random choices.
                optional --seed seed: u64
            }

            /// Registers an entry VM in the platform's list, as a real platform does by itself.
            ///
            /// Example: limpetwick lab vm --settings examples/entry.toml
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

            /// Writes an HTML page over the journal of measured runs: worth by day and commit.
            ///
            /// Example: limpetwick lab journal --dir journal --out journal.html
            cmd journal {
                /// Directory with one JSON file per run.
                required --dir path: PathBuf
                /// File of the page.
                required --out path: PathBuf
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
            ///
            /// Example: limpetwick lab bench --quick
            cmd bench {
                /// Seed of all random choices; 1 when absent.
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

impl Limpetwick {
    /// Returns the help of all commands, which the generated parser prints for `--help` only.
    pub fn help_text() -> &'static str {
        Self::HELP_
    }
}
