//! Which gateways serve requests for one that reaches no server.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use base::RegionName;
use base::ZoneName;
use gateway::Helpers;
use gateway::Peer;
use gateway::Place;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

/// A fleet with zones `near` and `far` in one region and `abroad` in another one, seen from zone `near`.
struct Rig {
    regions: HashMap<ZoneName, RegionName>,
    peers: Vec<Peer>,
    helpers: Helpers,
    rng: Pcg64Mcg,
    now: Instant,
}

impl Rig {
    fn new(size: usize) -> Rig {
        let zones = [("near", "home"), ("far", "home"), ("abroad", "else")];
        let name = |zone: &str, at: usize| format!("{zone}-{at:02}");
        let create = |zone: &str, at: usize| Peer {
            node: name(zone, at).into(),
            zone: zone.into(),
            addr: "10.0.0.1:7740".parse().unwrap(),
            cores: 0.2,
        };
        let in_zone =
            |(zone, _): &(&str, &str)| (0..size).map(|at| create(zone, at)).collect::<Vec<_>>();
        let to_region = |(zone, region): (&str, &str)| (zone.into(), region.into());
        Rig {
            regions: zones.into_iter().map(to_region).collect(),
            peers: zones.iter().flat_map(in_zone).collect(),
            helpers: Helpers::default(),
            rng: Pcg64Mcg::new(3),
            now: Instant::now(),
        }
    }

    /// Chooses a helper, where the gateways whose names start with `cut` have no links.
    fn choose(&mut self, cut: &str) -> Option<String> {
        let (zone, region) = ("near".into(), "home".into());
        let place = Place {
            zone: &zone,
            region: &region,
            regions: &self.regions,
        };
        let is_linked = |peer: &Peer| !peer.node.starts_with(cut);
        let helper =
            self.helpers
                .choose(&self.peers, place, is_linked, &[], self.now, &mut self.rng);
        helper.map(|peer| peer.node.to_string())
    }

    fn skip(&mut self, zone: &str, count: usize) {
        for at in 0..count {
            self.helpers
                .record_unreachable(&format!("{zone}-{at:02}").into(), self.now);
        }
    }
}

macro_rules! helpers_are_sought_further_away {
    ($($name:ident: $gone:literal, $cut:literal => $zones:expr,)+) => {
        /// Guards against a gateway that asks only those of its zone which are gone or have no links, and against one that
        /// leaves its zone though enough there can help.
        #[rstest]
        $(#[case::$name($gone, $cut, &$zones)])+
        fn helpers_are_sought_further_away(
            #[case] gone: usize,
            #[case] cut: &str,
            #[case] zones: &[&str],
            #[values(6, 60)] size: usize,
        ) {
            let mut rig = Rig::new(size);
            rig.skip("near", gone * size / 6);
            for _ in 0..200 {
                let helper = rig.choose(cut).expect("no gateway helps");
                assert!(zones.iter().any(|zone| helper.starts_with(zone)), "{helper}");
            }
        }
    };
}

helpers_are_sought_further_away! {
    none_gone: 0, "none" => ["near"],
    third_gone: 2, "none" => ["near"],
    two_thirds_gone: 4, "none" => ["near", "far"],
    all_gone: 6, "none" => ["far"],
    rest_without_links: 3, "near" => ["far"],
}

/// Guards against a gateway that is never asked again after it was gone, and against requests that keep trying one that is
/// gone for good.
#[test]
fn unreachable_gateway_is_tried_ever_more_rarely() {
    let mut rig = Rig::new(1);
    rig.peers.truncate(1);
    let mut tries = 0;
    for _ in 0..120 {
        rig.now += Duration::from_secs(1);
        if rig.choose("none").is_some() {
            tries += 1;
            // Many requests find it gone at the same time.
            (0..50).for_each(|_| rig.skip("near", 1));
        }
    }
    assert!((5..=8).contains(&tries), "{tries}");
    rig.now += Duration::from_secs(33);
    assert_eq!(rig.choose("none").as_deref(), Some("near-00"));
    rig.helpers.record_reached(&"near-00".into());
    rig.skip("near", 1);
    rig.now += Duration::from_secs(3);
    assert!(rig.choose("none").is_some());
}
