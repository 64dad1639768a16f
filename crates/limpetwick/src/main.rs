//! Command line of the limpetwick query tier.

mod flags;

use std::process::ExitCode;
use std::time::Duration;

use entry::load_settings;
use entry::start_entry;
use lab::deploy::build_example;
use lab::platform::serve_platform;
use lab::rig::register_indexes;
use lab::upstreams::Fleet;
use lab::upstreams::Options;
use store::Client;
use store::ClientOptions;

use crate::flags::LabCmd;
use crate::flags::Limpetwick;
use crate::flags::LimpetwickCmd;

/// Exit code of a failed command.
const EXIT_FAILED: u8 = 1;

/// Exit code of wrong flags or settings.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let flags = Limpetwick::from_env_or_exit();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return fail(EXIT_FAILED, error),
    };
    runtime.block_on(run(flags))
}

async fn run(flags: Limpetwick) -> ExitCode {
    match flags.subcommand {
        LimpetwickCmd::Serve(args) => serve(args).await,
        LimpetwickCmd::Demo(args) => report(lab::demo::run_demo(args.json).await),
        LimpetwickCmd::Lab(lab) => match lab.subcommand {
            LabCmd::Platform(args) => platform(args).await,
            LabCmd::Upstreams(args) => upstreams(args).await,
        },
        _ => todo!(),
    }
}

async fn serve(args: flags::Serve) -> ExitCode {
    let settings = match load_settings(&args.settings) {
        Ok(settings) => settings,
        Err(errors) => {
            for error in errors {
                eprintln!("settings: {error}");
            }
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let seed = rand::random();
    match start_entry(settings, seed).await {
        Ok(entry) => {
            wait_for_stop().await;
            report(entry.stop().await)
        }
        Err(error) => fail(EXIT_FAILED, error),
    }
}

async fn platform(args: flags::Platform) -> ExitCode {
    let lag = Duration::from_millis(args.lag_ms.unwrap_or(0));
    match serve_platform(args.listen, lag).await {
        Ok(platform) => {
            println!("platform stand-in on {}", platform.addr());
            wait_for_stop().await;
            report(platform.close().await)
        }
        Err(error) => fail(EXIT_FAILED, error),
    }
}

async fn upstreams(args: flags::Upstreams) -> ExitCode {
    let seed = args.seed.unwrap_or(1);
    let Some(mut deployment) = build_example(&args.deployment, seed) else {
        return fail(
            EXIT_USAGE,
            format!("no example deployment is named {:?}", args.deployment),
        );
    };
    let options = Options {
        seed,
        delays: Default::default(),
        control: ([127, 0, 0, 1], 0).into(),
    };
    let fleet = match Fleet::start(&mut deployment, options).await {
        Ok(fleet) => fleet,
        Err(error) => return fail(EXIT_FAILED, error),
    };
    let store = Client::new(ClientOptions::new(args.platform, seed));
    if let Err(error) = register_indexes(&store, &deployment).await {
        return fail(EXIT_FAILED, error);
    }
    println!(
        "upstream stand-ins of {}, control on {}",
        deployment.name,
        fleet.control()
    );
    wait_for_stop().await;
    ExitCode::SUCCESS
}

/// Waits for SIGTERM or an interrupt.
async fn wait_for_stop() {
    use tokio::signal::unix::SignalKind;
    use tokio::signal::unix::signal;

    let mut term = signal(SignalKind::terminate()).expect("a runtime with signal handling");
    tokio::select! {
        _ = term.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}

fn report<T, E: std::fmt::Display>(result: Result<T, E>) -> ExitCode {
    match result {
        Ok(_) => ExitCode::SUCCESS,
        Err(error) => fail(EXIT_FAILED, error),
    }
}

fn fail(code: u8, error: impl std::fmt::Display) -> ExitCode {
    eprintln!("limpetwick: {error}");
    ExitCode::from(code)
}
