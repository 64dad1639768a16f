//! Checks of the example deployments.

use std::collections::BTreeSet;
use std::path::Path;

use decl::Declaration;
use decl::Prefer;
use lab::deploy::Deployment;
use lab::deploy::build_example;
use lab::examples::list_declarations;
use lab::examples::parse_declarations;
use rstest::rstest;

/// Parses the embedded declarations, and checks that they are exactly the files of the directory.
fn parse_all_declarations(name: &str) -> Vec<Declaration> {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name);
    let mut files: Vec<String> = std::fs::read_dir(dir)
        .unwrap()
        .map(|entry| entry.unwrap().file_name().into_string().unwrap())
        .collect();
    files.sort();
    let listed: Vec<&str> = list_declarations(name)
        .iter()
        .map(|(file, _)| *file)
        .collect();
    assert_eq!(listed, files);
    parse_declarations(name).unwrap()
}

fn build(name: &str) -> Deployment {
    build_example(name, 7).unwrap()
}

/// Guards against a declaration that does not parse, selects no shard, or names an index that is not deployed.
#[rstest]
#[case::latency_first("brunner-vaucher", &[("plan-desk", 10), ("family-portal", 15), ("archive-desk", 1), ("collections", 1)], Prefer::Latency, "post-instalment")]
#[case::coverage_first("skiasis", &[("offcut-desk", 10), ("order-board", 15), ("registry", 1), ("swatch-book", 1)], Prefer::Coverage, "rush-order")]
fn declarations_match_the_deployment(
    #[case] name: &str,
    #[case] services: &[(&str, usize)],
    #[case] prefer: Prefer,
    #[case] non_repeatable: &str,
) {
    let deployment = build(name);
    let declarations = parse_all_declarations(name);
    for &(index, count) in services {
        let shards = &deployment.find_index(index).unwrap().state.maps[0].shards;
        let matching: Vec<_> = declarations
            .iter()
            .filter(|entry| entry.index == index)
            .collect();
        assert_eq!(matching.len(), count, "{index}");
        for declaration in matching {
            let selected = shards
                .iter()
                .any(|shard| declaration.shards.contains(shard));
            assert!(selected, "{} selects no shard", declaration.service);
        }
    }
    let names: BTreeSet<_> = declarations.iter().map(|entry| &entry.service).collect();
    assert_eq!(names.len(), declarations.len());
    assert_eq!(
        names.len(),
        services.iter().map(|(_, count)| count).sum::<usize>()
    );
    assert!(
        declarations
            .iter()
            .all(|entry| entry.at_deadline.prefer == prefer)
    );
    let request = declarations
        .iter()
        .find_map(|entry| entry.request(non_repeatable))
        .unwrap();
    assert!(!request.repeatable);
}

/// Guards against replicas that share a zone, and servers without replicas, in every index of the table.
#[rstest]
#[case::brunner_vaucher("brunner-vaucher")]
#[case::skiasis("skiasis")]
fn replicas_are_in_distinct_zones(#[case] name: &str) {
    for index in build(name).indexes {
        let zone = |id: &base::UpstreamId| {
            let mut servers = index.servers.iter();
            servers
                .find(|server| server.id == *id)
                .unwrap()
                .zone
                .clone()
        };
        let shards = &index.state.maps[0].shards;
        assert_eq!(shards.len(), index.servers.len());
        for shard in shards {
            let zones: BTreeSet<_> = shard.replicas.iter().map(zone).collect();
            assert_eq!(zones.len(), 3, "{}/{}", index.state.index, shard.id);
        }
        for server in &index.servers {
            let replicas = shards
                .iter()
                .filter(|shard| shard.replicas.contains(&server.id))
                .count();
            let balanced = index.servers.len().is_multiple_of(3);
            assert!(
                if balanced {
                    replicas == 3
                } else {
                    replicas >= 1
                },
                "{} has {replicas} replicas",
                server.id
            );
        }
    }
}

/// Guards against a deployment that depends on anything but its seed.
#[rstest]
fn same_seed_gives_the_same_deployment() {
    let members = |seed| -> Vec<u64> {
        let deployment = build_example("skiasis", seed).unwrap();
        let shards = &deployment.indexes[0].state.maps[0].shards;
        shards.iter().map(|shard| shard.members).collect()
    };
    assert_eq!(members(1), members(1));
    assert_ne!(members(1), members(2));
}
