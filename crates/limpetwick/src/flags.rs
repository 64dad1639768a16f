//! Command-line flags.

use std::net::SocketAddr;
use std::path::PathBuf;

use compact_str::CompactString;

xflags::xflags! {
    /// Query tier over many shards: combines the replies of many servers into one answer and reports its coverage.
    ///
    /// Run `limpetwick demo` for an introduction. docs/codes.md explains the result codes in messages.
    ///
    /// Exit codes: 0 success, 1 failure, 2 invalid flags, settings or declarations; publish also uses 3 to 5.
    cmd limpetwick {
        /// Prints this help.
        ///
        /// Example: limpetwick help
        cmd help {}

        /// Runs an entry VM until SIGTERM, then finishes the requests in progress and exits with 0.
        ///
        /// Set RUST_LOG=warn to disable the log line for each answer.
        ///
        /// Example: limpetwick serve --settings examples/entry.toml
        cmd serve {
            /// Settings file; docs/settings.md lists its keys.
            required --settings path: PathBuf
        }

        /// Validates declarations without a platform and prints every error with file, line and key.
        ///
        /// Exit codes: 0 all files are valid, 2 there are errors or no files.
        ///
        /// Example: limpetwick check examples/skiasis
        cmd check {
            /// Declaration files, or directories with one TOML file per service.
            repeated files: PathBuf
        }

        /// Publishes the declarations of a directory and waits until they are in force on every VM.
        ///
        /// Published files that are missing from the directory stay in force.
        ///
        /// Exit codes: 0 in force everywhere, 2 invalid files, 3 accepted but not known to be in force everywhere,
        /// 4 refused and nothing changed, 5 unknown (publish again to find out).
        ///
        /// Example: limpetwick publish examples/skiasis --platform 127.0.0.1:9000 --entry 127.0.0.1:8080
        cmd publish {
            /// Directory with one TOML file per service.
            required dir: PathBuf
            /// Address of the platform's object API.
            required --platform addr: SocketAddr
            /// Entry VM whose status shows where the revision is in force; without it the exit code is 3 at best.
            optional --entry addr: SocketAddr
            /// Name of a published file to remove, without the directory; may be repeated.
            repeated --remove file: CompactString
            /// Revision on which the files are based; the publish is refused if another one has changed the same files since.
            optional --base revision: u64
            /// Prints the changes without publishing them.
            optional --dry-run
            /// Maximum number of seconds until the revision is in force everywhere; 30 by default.
            optional --wait seconds: u64
        }

        /// Prints the status of an entry VM: revisions by zone, draining and suspected upstreams, answers by result
        /// code, and latencies by service.
        ///
        /// Example: limpetwick status --entry 127.0.0.1:8080
        cmd status {
            /// Address of the entry VM for callers.
            required --entry addr: SocketAddr
            /// Prints the response of the API as JSON.
            optional --json
        }

        /// Prints the explanation record of an answer: snapshot, coverage, missing shards, attempts and time.
        ///
        /// An answer contains the record if the request has `"explain": true`; entry VMs log it for each answer.
        ///
        /// Example: grep 25c4daa37d0f9595ccab83b2ca34df5c entry.log | limpetwick explain
        cmd explain {
            /// File with one answer, record or log line; standard input by default.
            optional file: PathBuf
        }

        /// Prints the lines of one request from the logs of gateways, with explanations and the context before it.
        ///
        /// Exit codes: 0 found, 2 no line has the ID of the request or a file cannot be read.
        ///
        /// Example: limpetwick trace f1e6513fa9742ff7 front-lug-a-3.log front-lug-a-4.log
        cmd trace {
            /// ID that the caller sent with the request.
            required id: String
            /// Log file of a gateway; may be repeated.
            repeated files: PathBuf
        }

        /// Prints the OpenAPI description of the API for callers and operators.
        ///
        /// Example: limpetwick openapi > docs/openapi.json
        cmd openapi {}

        /// Runs a whole deployment on embedded stand-ins and shows the answers during failures.
        ///
        /// It needs no settings, uses only the loopback network, and terminates on its own.
        ///
        /// Example: limpetwick demo
        cmd demo {
            /// Prints one JSON object per answer.
            optional --json
        }

        /// Stand-ins of the platform and the upstreams for experiments, and the benchmark.
        cmd lab {
            /// Runs the stand-in of the platform until SIGTERM; its objects are kept in memory only.
            ///
            /// Example: limpetwick lab platform --listen 127.0.0.1:9000
            cmd platform {
                /// Address to listen on.
                required --listen addr: SocketAddr
                /// Age of the VM list that the platform returns, in milliseconds; 0 by default.
                optional --lag-ms millis: u64
            }

            /// Runs stand-ins of the upstreams of an example deployment, and registers its indexes with the platform.
            ///
            /// Example: limpetwick lab upstreams skiasis --platform 127.0.0.1:9000 --control 127.0.0.1:9001
            cmd upstreams {
                /// Deployment: brunner-vaucher or skiasis.
                required deployment: String
                /// Address of the platform.
                required --platform addr: SocketAddr
                /// Address of the control port, which injects faults; a free loopback port by default.
                optional --control addr: SocketAddr
                /// Maximum number of connections of each upstream from all VMs together.
                optional --connections connections: u32
                /// Seed of all random choices; 1 by default.
                optional --seed seed: u64
            }

            /// Registers an entry VM in the platform's list, which a real platform does automatically.
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
                /// Prints the events of failed scenarios.
                optional --trace
            }

            /// Writes an HTML page from the journal of measured runs: worth by day and commit.
            ///
            /// Example: limpetwick lab journal --dir journal --out journal.html
            cmd journal {
                /// Directory with one JSON file per run.
                required --dir path: PathBuf
                /// Output file.
                required --out path: PathBuf
            }

            /// Runs exhaustive model checks of the claim protocol and of configuration acceptance.
            cmd model {
                /// Fault to seed into the specification; the command fails if it is not found.
                optional --fault name: String
            }

            /// Measures the cost of membership by the number of entry VMs, in virtual time.
            cmd slopes {
                /// Numbers of entry VMs; 590, 300, 150, 60 and 15 by default.
                repeated sizes: usize
                /// Seed of all random choices.
                optional --seed seed: u64
            }

            /// Measures the platform writes caused by claims, by request rate, in virtual time.
            cmd claims {
                /// Virtual seconds for each rate; 20 by default.
                optional --seconds seconds: u64
            }

            /// Sends requests to entry VMs at a fixed rate and checks every answer.
            cmd load {
                /// Deployment whose declarations are used: brunner-vaucher or skiasis.
                required deployment: String
                /// Address of an entry VM; may be repeated.
                repeated --entry addr: SocketAddr
                /// Requests per second; 100 by default.
                optional --rate rate: f64
                /// Duration in seconds; 10 by default.
                optional --seconds seconds: u64
                /// Seed of all random choices.
                optional --seed seed: u64
            }

            /// Compares the full policy with plain baselines in virtual time.
            ///
            /// Example: limpetwick lab bench --quick
            cmd bench {
                /// Seed of all random choices; 1 by default.
                optional --seed seed: u64
                /// Runs fewer queries.
                optional --quick
                /// Output file for the results as JSON.
                optional --json file: PathBuf
                /// Output file for the report as an HTML page.
                optional --html file: PathBuf
            }
        }
    }
}

impl Limpetwick {
    /// Returns the help text of all commands, which the generated parser prints only for `--help`.
    pub fn help_text() -> &'static str {
        Self::HELP_
    }
}
