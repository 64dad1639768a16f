//! Tests which route a request matches.

use std::collections::HashMap;
use std::time::Duration;

use gateway::RequestLimits;
use gateway::Route;
use gateway::RouteTable;
use gateway::Target;
use rstest::rstest;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        target: Target::Services(vec![("s".into(), 1.0)]),
        repeatable: true,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        max_runs: 1,
        rank: 0,
    }
}

fn create_table() -> RouteTable {
    let routes = vec![
        route("short", "one.example", "/a/"),
        route("long", "one.example", "/a/b/"),
        route("other", "two.example", "/a/"),
        route("root", "two.example", "/"),
    ];
    let request_limits = RequestLimits {
        max_head_bytes: 16_384,
        max_body_bytes: 262_144,
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    RouteTable::new(1, routes, HashMap::new(), request_limits)
}

macro_rules! route_lookup {
    ($($name:ident: $host:literal, $path:literal => $expected:expr,)+) => {
        /// Guards against requests that are sent to the service of another route.
        #[rstest]
        $(#[case::$name($host, $path, $expected)])+
        fn route_lookup(#[case] host: &str, #[case] path: &str, #[case] expected: Option<&str>) {
            let found = create_table().find_route(host, path);
            assert_eq!(found.as_ref().map(|route| route.name.as_str()), expected);
        }
    };
}

route_lookup! {
    longest_prefix: "one.example", "/a/b/c" => Some("long"),
    shorter_prefix: "one.example", "/a/c" => Some("short"),
    prefix_is_whole_segments: "one.example", "/ab/" => None,
    prefix_without_trailing_slash: "one.example", "/a" => None,
    host_in_upper_case: "ONE.example", "/a/" => Some("short"),
    host_with_port: "one.example:80", "/a/" => Some("short"),
    other_host: "two.example", "/a/b/c" => Some("other"),
    root: "two.example", "/x" => Some("root"),
    unknown_host: "three.example", "/a/" => None,
}
