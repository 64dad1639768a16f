//! Checking and publishing of directories with the stand-in of the platform over loopback.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use http_body_util::Full;
use hyper::Response;
use hyper::body::Bytes;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use rstest::rstest;

use lab::platform::Fault;
use lab::platform::FaultMode;
use lab::platform::serve_platform;

use limpetwick::check;
use limpetwick::check::check_files;
use limpetwick::publish;
use limpetwick::publish::PublishArgs;
use limpetwick::publish::run_publish;

const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Writes declaration files into a new directory for one test.
fn write_files(test: &str, files: &[(&str, &str)]) -> PathBuf {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).unwrap();
    for (name, text) in files {
        std::fs::write(dir.join(name), text).unwrap();
    }
    dir
}

fn declare(service: &str, deadline: &str) -> String {
    format!("service = \"{service}\"\nindex = \"i\"\nshards = \"all\"\ndeadline = \"{deadline}\"\n")
}

/// Guards against a check that stops at the first file with errors.
#[test]
fn test_check_prints_errors_of_all_files() {
    let (one_error, two_errors) = (declare("a", "0s"), declare("", "99s"));
    let dir = write_files("check", &[("a.toml", &one_error), ("b.toml", &two_errors)]);
    let files = ["a.toml", "b.toml", "c.toml"].map(|name| dir.join(name));
    let mut out = Vec::new();
    assert_eq!(check_files(&files, &mut out).unwrap(), check::EXIT_INVALID);
    let text = String::from_utf8(out).unwrap();
    let lines: Vec<&str> = text
        .lines()
        .map(|line| &line[line.rfind("/").map_or(0, |slash| slash + 1)..])
        .collect();
    let starts = [
        "a.toml:4: deadline",
        "b.toml:1: service",
        "b.toml:4: deadline",
        "c.toml:1: file",
        "check: 4",
    ];
    for (line, start) in std::iter::zip(&lines, starts) {
        assert!(line.starts_with(start), "{text}");
    }
    assert_eq!(lines.len(), starts.len(), "{text}");
}

/// Guards against a wrong path or pattern in a script that passes the check because no file matches.
#[test]
fn test_check_of_no_files_fails() {
    let dir = write_files("check-none", &[("readme.md", "")]);
    for files in [vec![], vec![dir]] {
        let mut out = Vec::new();
        assert_eq!(check_files(&files, &mut out).unwrap(), check::EXIT_INVALID);
    }
}

/// Guards against an error line for every attempt during an outage.
#[tokio::test]
async fn test_publish_prints_a_repeated_error_once() {
    let platform = serve_platform(LOOPBACK, Duration::ZERO).await.unwrap();
    platform.set_fault(Fault {
        mode: FaultMode::Down,
        times: Some(2),
        delay_ms: 0,
    });
    let args = PublishArgs {
        dir: write_files("outage", &[("a.toml", &declare("a", "1s"))]),
        remove: Vec::new(),
        platform: platform.addr(),
        entry: None,
        base: None,
        dry_run: false,
        wait: Duration::ZERO,
        seed: 7,
    };
    let mut out = Vec::new();
    run_publish(args, &mut out).await.unwrap();
    let text = String::from_utf8(out).unwrap();
    assert_eq!(text.matches("status 503").count(), 1, "{text}");
    assert!(text.contains("revision 1 accepted"), "{text}");
    platform.close().await.unwrap();
}

/// Guards against success of a publish from a wrong directory.
#[tokio::test]
async fn test_publish_of_no_files_fails() {
    let args = PublishArgs {
        dir: write_files("publish-none", &[]),
        remove: Vec::new(),
        platform: LOOPBACK,
        entry: None,
        base: None,
        dry_run: false,
        wait: Duration::ZERO,
        seed: 7,
    };
    let mut out = Vec::new();
    let code = run_publish(args, &mut out).await.unwrap();
    assert_eq!(code, check::EXIT_INVALID);
    let text = String::from_utf8(out).unwrap();
    assert!(text.contains("contains no declaration files"), "{text}");
}

/// Serves a fixed status body.
async fn serve_status(body: &'static str) -> SocketAddr {
    let listener = tokio::net::TcpListener::bind(LOOPBACK).await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let reply = service_fn(move |_| async move {
                Ok::<_, std::convert::Infallible>(Response::new(Full::new(Bytes::from(body))))
            });
            let connection = hyper::server::conn::http1::Builder::new();
            tokio::spawn(connection.serve_connection(TokioIo::new(stream), reply));
        }
    });
    addr
}

const EVERYWHERE: &str = r#"{"zones":[{"zone":"a","vms":2,"revisions":[{"revision":1,"vms":2}]}]}"#;
const HALF: &str = r#"{"zones":[{"zone":"a","vms":2,"revisions":[{"revision":1,"vms":1}]}]}"#;

/// Guards against a wrong exit code, including after a lost reply to the update.
#[rstest]
#[case::in_force(
    "in-force",
    FaultMode::None,
    Some(EVERYWHERE),
    None,
    publish::EXIT_IN_FORCE
)]
#[case::reply_lost(
    "lost",
    FaultMode::LoseReplies,
    Some(EVERYWHERE),
    None,
    publish::EXIT_IN_FORCE
)]
#[case::not_everywhere(
    "half",
    FaultMode::None,
    Some(HALF),
    None,
    publish::EXIT_NOT_EVERYWHERE
)]
#[case::not_checked("no-entry", FaultMode::None, None, None, publish::EXIT_NOT_EVERYWHERE)]
#[case::stale_base("stale", FaultMode::None, None, Some(9), publish::EXIT_REFUSED)]
#[tokio::test]
async fn test_publish_exit_codes(
    #[case] name: &str,
    #[case] mode: FaultMode,
    #[case] status: Option<&'static str>,
    #[case] base: Option<u64>,
    #[case] expected: u8,
) {
    let dir = write_files(name, &[("a.toml", &declare("a", "1s"))]);
    let platform = serve_platform(LOOPBACK, Duration::ZERO).await.unwrap();
    platform.set_fault(Fault {
        mode,
        times: Some(1),
        delay_ms: 0,
    });
    let mut args = PublishArgs {
        dir,
        remove: Vec::new(),
        platform: platform.addr(),
        entry: match status {
            Some(body) => Some(serve_status(body).await),
            None => None,
        },
        base,
        dry_run: true,
        // Long enough for a slow machine; the other cases need no wait.
        wait: if expected == publish::EXIT_IN_FORCE {
            Duration::from_secs(30)
        } else {
            Duration::ZERO
        },
        seed: 7,
    };
    let mut out = Vec::new();
    if base.is_none() {
        let code = run_publish(args.clone(), &mut out).await.unwrap();
        assert_eq!(code, publish::EXIT_IN_FORCE);
        let text = String::from_utf8_lossy(&out);
        assert!(text.contains("add a.toml: service a"), "{text}");
    }
    args.dry_run = false;
    let code = run_publish(args, &mut out).await.unwrap();
    assert_eq!(code, expected, "{}", String::from_utf8_lossy(&out));
    platform.close().await.unwrap();
}
