//! Command line of the limpetwick query tier.

#[allow(
    missing_docs,
    reason = "The macro documents the flags in the help text."
)]
mod flags;

use std::io;
use std::io::Write;
use std::process::ExitCode;
use std::time::Duration;

use base::Vm;
use base::VmRole;
use base::VmState;
use bytes::Bytes;
use entry::Settings;
use entry::describe_api;
use entry::load_settings;
use entry::start_entry;
use http_body_util::Full;
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::rt::TokioExecutor;
use lab::bench;
use lab::deploy::build_example;
use lab::examples::parse_declarations;
use lab::load_generator;
use lab::model::Fault;
use lab::platform::serve_platform;
use lab::rig::register_indexes;
use lab::upstreams::FleetOptions;
use lab::upstreams::UpstreamFleet;
use limpetwick::check::check_files;
use limpetwick::explain::explain_file;
use limpetwick::publish::PublishArgs;
use limpetwick::publish::run_publish;
use limpetwick::status::show_status;
use limpetwick::trace::trace_request;
use store::Client;
use store::ClientOptions;

use crate::flags::LabCmd;
use crate::flags::Limpetwick;
use crate::flags::LimpetwickCmd;

/// Exit code of a failed command.
const EXIT_FAILED: u8 = 1;

/// Exit code of invalid flags or settings.
const EXIT_USAGE: u8 = 2;

/// Default time limit for a publish to be in force everywhere.
const DEFAULT_PUBLISH_WAIT: Duration = Duration::from_secs(30);

fn main() -> ExitCode {
    let flags = Limpetwick::from_env_or_exit();
    let level = match flags.subcommand {
        LimpetwickCmd::Serve(_) => "info",
        _ => "warn",
    };
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or(level)).init();
    match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime.block_on(run_command(flags)),
        Err(error) => fail(EXIT_FAILED, error),
    }
}

async fn run_command(flags: Limpetwick) -> ExitCode {
    let mut out = io::stdout().lock();
    match flags.subcommand {
        LimpetwickCmd::Help(_) => report_result(write!(out, "{}", Limpetwick::help_text())),
        LimpetwickCmd::Serve(args) => run_entry(args).await,
        LimpetwickCmd::Check(args) => to_exit_code(check_files(&args.files, &mut out)),
        LimpetwickCmd::Publish(args) => {
            to_exit_code(run_publish(build_publish_args(args), &mut out).await)
        }
        LimpetwickCmd::Status(args) => {
            to_exit_code(show_status(args.entry, args.json, &mut out).await)
        }
        LimpetwickCmd::Explain(args) => to_exit_code(explain_file(args.file.as_deref(), &mut out)),
        LimpetwickCmd::Trace(args) => to_exit_code(trace_request(&args.id, &args.files, &mut out)),
        LimpetwickCmd::Openapi(_) => print_openapi(&mut out),
        LimpetwickCmd::Demo(args) => report_result(lab::demo::run_demo(args.json).await),
        LimpetwickCmd::Lab(lab) => match lab.subcommand {
            LabCmd::Platform(args) => run_platform(args).await,
            LabCmd::Upstreams(args) => run_upstreams(args).await,
            LabCmd::Vm(args) => register_vm(args).await,
            LabCmd::Scenario(args) => run_scenarios(args, &mut out),
            LabCmd::Journal(args) => to_exit_code(write_journal(args, &mut out)),
            LabCmd::Model(args) => run_model(args),
            LabCmd::Slopes(args) => run_slopes(args, &mut out),
            LabCmd::Claims(args) => run_claims(args),
            LabCmd::Load(args) => run_load(args).await,
            LabCmd::Bench(args) => run_bench(args),
        },
    }
}

fn build_publish_args(args: flags::Publish) -> PublishArgs {
    PublishArgs {
        dir: args.dir,
        remove: args.remove,
        platform: args.platform,
        entry: args.entry,
        base: args.base,
        dry_run: args.dry_run,
        wait: args.wait.map_or(DEFAULT_PUBLISH_WAIT, Duration::from_secs),
        seed: rand::random(),
    }
}

async fn run_entry(args: flags::Serve) -> ExitCode {
    let settings = match read_settings(&args.settings) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    match start_entry(settings, rand::random()).await {
        Ok(entry) => {
            wait_for_signal().await;
            report_result(entry.stop().await)
        }
        Err(error) => fail(EXIT_FAILED, error),
    }
}

fn read_settings(path: &std::path::Path) -> Result<Settings, ExitCode> {
    load_settings(path).map_err(|errors| {
        for error in errors {
            eprintln!("settings: {error}");
        }
        ExitCode::from(EXIT_USAGE)
    })
}

fn print_openapi(out: &mut impl Write) -> ExitCode {
    match describe_api() {
        Ok(api) => {
            let version = env!("CARGO_PKG_VERSION")
                .parse()
                .expect("the version of the package is valid");
            report_result(api.openapi("limpetwick", version).write(out))
        }
        Err(error) => fail(EXIT_FAILED, error),
    }
}

async fn run_platform(args: flags::Platform) -> ExitCode {
    let lag = Duration::from_millis(args.lag_ms.unwrap_or(0));
    match serve_platform(args.listen, lag).await {
        Ok(platform) => {
            println!("the platform stand-in listens on {}", platform.addr());
            wait_for_signal().await;
            report_result(platform.close().await)
        }
        Err(error) => fail(EXIT_FAILED, error),
    }
}

async fn run_upstreams(args: flags::Upstreams) -> ExitCode {
    let seed = args.seed.unwrap_or(1);
    let Some(mut deployment) = build_example(&args.deployment, seed) else {
        return fail(
            EXIT_USAGE,
            format!("no example deployment is named {:?}", args.deployment),
        );
    };
    if let Some(connections) = args.connections {
        deployment.limit_connections(connections);
    }
    let control = args.control.unwrap_or(([127, 0, 0, 1], 0).into());
    let options = FleetOptions {
        seed,
        delays: Default::default(),
        control,
    };
    let fleet = match UpstreamFleet::start(&mut deployment, options).await {
        Ok(fleet) => fleet,
        Err(error) => return fail(EXIT_FAILED, error),
    };
    let store = Client::new(ClientOptions::new(args.platform, seed));
    if let Err(error) = register_indexes(&store, &deployment).await {
        return fail(EXIT_FAILED, error);
    }
    println!(
        "the upstream stand-ins of {} are registered; the control port listens on {}",
        deployment.name,
        fleet.control()
    );
    wait_for_signal().await;
    ExitCode::SUCCESS
}

async fn register_vm(args: flags::Vm) -> ExitCode {
    let settings = match read_settings(&args.settings) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let vm = Vm {
        id: settings.node.clone(),
        role: VmRole::Entry,
        addr: settings.peer,
        zone: settings.zone,
        region: settings.region,
        state: if args.leaving {
            VmState::Leaving
        } else {
            VmState::Live
        },
    };
    let body =
        serde_json::to_vec(&vm).expect("a VM has only string keys, so it serializes to JSON");
    let uri = format!("http://{}/vms/{}", settings.platform, settings.node);
    let request = http::Request::put(uri)
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)));
    let client = HttpClient::builder(TokioExecutor::new()).build_http();
    match request {
        Ok(request) => match client.request(request).await {
            Ok(response) if response.status().is_success() => ExitCode::SUCCESS,
            Ok(response) => fail(
                EXIT_FAILED,
                format!("the platform replied {}", response.status()),
            ),
            Err(error) => fail(EXIT_FAILED, error),
        },
        Err(error) => fail(EXIT_FAILED, error),
    }
}

fn run_scenarios(args: flags::Scenario, out: &mut impl io::Write) -> ExitCode {
    let seed = args.seed.unwrap_or(1);
    let passed = lab::scenario::run_directory(&args.dir, seed, args.trace, out);
    to_exit_code(passed.map(|passed| if passed { 0 } else { EXIT_FAILED }))
}

fn write_journal(args: flags::Journal, out: &mut impl io::Write) -> io::Result<u8> {
    let page = lab::journal::render_journal(&args.dir).map_err(io::Error::other)?;
    let path = args.out.display();
    std::fs::write(&args.out, page)
        .map_err(|error| io::Error::new(error.kind(), format!("{path}: {error}")))?;
    writeln!(out, "wrote {path}")?;
    Ok(0)
}

fn run_model(args: flags::Model) -> ExitCode {
    let fault = args.fault.as_deref().map(Fault::parse);
    if let Some(None) = fault {
        let names: Vec<&str> = Fault::ALL.iter().map(|fault| fault.name()).collect();
        return fail(
            EXIT_USAGE,
            format!("unknown fault; known faults are: {}", names.join(", ")),
        );
    }
    let fault = fault.flatten();
    let report = lab::model::run(fault);
    println!("{report}");
    // If a seeded fault is not found, the specification is too weak.
    let expected = report.holds() == fault.is_none();
    ExitCode::from(if expected { 0 } else { EXIT_FAILED })
}

fn run_slopes(args: flags::Slopes, out: &mut impl io::Write) -> ExitCode {
    let mut options = lab::SlopeOptions::default();
    if !args.sizes.is_empty() {
        options.sizes = args.sizes;
    }
    options.seed = args.seed.unwrap_or(options.seed);
    report_result(lab::measure_slopes(&options, out))
}

fn run_claims(args: flags::Claims) -> ExitCode {
    let seconds = args.seconds.unwrap_or(20);
    println!(
        "capacity of the ledgers: {} claims",
        lab::model_cost::count_max_claims()
    );
    for offered in [10, 50, 100, 300, 1_000, 3_000] {
        println!("{}", lab::model_cost::measure_claims(offered, seconds));
    }
    ExitCode::SUCCESS
}

async fn run_load(args: flags::Load) -> ExitCode {
    let services = match parse_declarations(&args.deployment) {
        Ok(services) if !services.is_empty() => services,
        Ok(_) => {
            return fail(
                EXIT_USAGE,
                format!("no example is named {:?}", args.deployment),
            );
        }
        Err(errors) => return fail(EXIT_USAGE, &errors[0]),
    };
    let options = load_generator::Options {
        targets: args.entry,
        services,
        rate: args.rate.unwrap_or(100.0),
        duration: Duration::from_secs(args.seconds.unwrap_or(10)),
        seed: args.seed.unwrap_or(1),
    };
    match load_generator::run_load(&options).await {
        Ok(report) => {
            println!("{report}");
            ExitCode::from(if report.violations() == 0 {
                0
            } else {
                EXIT_FAILED
            })
        }
        Err(error) => fail(EXIT_FAILED, error),
    }
}

fn run_bench(args: flags::Bench) -> ExitCode {
    let options = bench::Options {
        seed: args.seed.unwrap_or(1),
        quick: args.quick,
        json: args.json,
        html: args.html,
    };
    match bench::run(&options) {
        Ok(report) => {
            println!("{report}");
            ExitCode::SUCCESS
        }
        Err(error) => fail(EXIT_FAILED, error),
    }
}

/// Waits for SIGTERM or SIGINT.
async fn wait_for_signal() {
    use tokio::signal::unix::SignalKind;
    use tokio::signal::unix::signal;

    let mut term = signal(SignalKind::terminate()).expect("the runtime handles signals");
    tokio::select! {
        _ = term.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}

fn to_exit_code(result: io::Result<u8>) -> ExitCode {
    match result {
        Ok(code) => ExitCode::from(code),
        Err(error) => fail(EXIT_FAILED, error),
    }
}

fn report_result<T, E: std::fmt::Display>(result: Result<T, E>) -> ExitCode {
    match result {
        Ok(_) => ExitCode::SUCCESS,
        Err(error) => fail(EXIT_FAILED, error),
    }
}

fn fail(code: u8, error: impl std::fmt::Display) -> ExitCode {
    eprintln!("limpetwick: {error}");
    ExitCode::from(code)
}
