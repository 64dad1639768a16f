//! Choice of the replica with the smallest expected reply time: a near one unless all near ones are slow, full or
//! stalled.

use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::RngExt;

use crate::Blocked;
use crate::Distance;
use crate::Gate;
use crate::GateKey;
use crate::Limits;

/// Assumed round-trip time to another zone of the region until one is measured.
const DEFAULT_REGION_RTT: Duration = Duration::from_millis(2);

/// Assumed round-trip time to another region until one is measured.
const DEFAULT_OTHER_REGION_RTT: Duration = Duration::from_millis(24);

/// Added to the estimate of a stalled server; longer than any server is expected to pause.
const STALL_PENALTY: Duration = Duration::from_secs(1);

/// Added to the estimate of a server, multiplied by its error rate.
///
/// Each attempt that is shed or fails costs a repeat, of which few are allowed.
const ERROR_PENALTY: Duration = Duration::from_millis(400);

/// Largest random fraction added to an estimate, so that equal servers share the load.
const JITTER: f32 = 0.2;

/// Weight of a new round-trip time in the moving average.
const RTT_WEIGHT: f32 = 0.1;

/// Multiple of the known round-trip time to which a new one is clipped.
const MAX_RTT_GROWTH: u32 = 2;

/// Added to that bound, so that a round-trip time known as zero can still grow.
const RTT_SLACK: Duration = Duration::from_millis(2);

/// Multiple of the expected reply time without any reply after which a server counts as stalled.
const STALL_FACTOR: u32 = 2;

impl Limits {
    /// Chooses the replica with the smallest expected reply time among `candidates`.
    ///
    /// `typical` is the typical reply time of a near server. A server without recent replies is expected to take that
    /// time plus the round trip to it, so that a far server is chosen only if the near ones are expected to be slower;
    /// see docs/decisions/0005-platform.md.
    ///
    /// # Errors
    ///
    /// Returns the reason that passes soonest when no candidate can be used now.
    pub fn pick_fastest(
        &self,
        candidates: impl Iterator<Item = GateKey>,
        typical: Duration,
        now: Instant,
        rng: &mut dyn Rng,
    ) -> Result<GateKey, Blocked> {
        let mut blocked = Blocked::Unknown;
        let mut best: Option<(f32, GateKey)> = None;
        for key in candidates {
            let Some(gate) = self.gates.get(key) else {
                continue;
            };
            if let Err(reason) = self.check(key, now) {
                blocked = blocked.min(reason);
                continue;
            }
            let jitter = 1.0 + JITTER * rng.random::<f32>();
            let extra_rtt = self.round_trips.extra(gate.distance());
            let cost = estimate_time(gate, extra_rtt, typical, now).as_secs_f32() * jitter;
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, key));
            }
        }
        best.map(|(_, key)| key).ok_or(blocked)
    }

    /// Returns the round-trip time to an upstream beyond that within the node's own zone.
    pub fn extra_rtt(&self, key: GateKey) -> Duration {
        self.gate(key).map_or(Duration::ZERO, |gate| {
            self.round_trips.extra(gate.distance())
        })
    }

    /// Records the time that opening a connection took, which is one round trip.
    pub fn record_rtt(&mut self, key: GateKey, time: Duration) {
        if let Some(gate) = self.gates.get(key) {
            let distance = gate.distance();
            self.round_trips.record(distance, time);
        }
    }

    /// Returns whether an upstream is in the node's own availability zone.
    pub fn is_same_zone(&self, key: GateKey) -> bool {
        self.gate(key)
            .is_some_and(|gate| gate.distance() == Distance::SameZone)
    }
}

/// Measured round-trip times by distance.
#[derive(Debug, Clone)]
pub(crate) struct RoundTrips {
    same_zone: Duration,
    same_region: Duration,
    other_region: Duration,
}

impl Default for RoundTrips {
    fn default() -> RoundTrips {
        RoundTrips {
            same_zone: Duration::ZERO,
            same_region: DEFAULT_REGION_RTT,
            other_region: DEFAULT_OTHER_REGION_RTT,
        }
    }
}

impl RoundTrips {
    /// Returns the round-trip time beyond that within the own zone.
    fn extra(&self, distance: Distance) -> Duration {
        match distance {
            Distance::SameZone => Duration::ZERO,
            Distance::SameRegion => self.same_region.saturating_sub(self.same_zone),
            Distance::OtherRegion => self.other_region.saturating_sub(self.same_zone),
        }
    }

    /// Updates the moving average; a far larger time is clipped, since it shows a lost packet or a full queue.
    fn record(&mut self, distance: Distance, time: Duration) {
        let known = match distance {
            Distance::SameZone => &mut self.same_zone,
            Distance::SameRegion => &mut self.same_region,
            Distance::OtherRegion => &mut self.other_region,
        };
        let bounded = time.min(*known * MAX_RTT_GROWTH + RTT_SLACK);
        *known = known.mul_f32(1.0 - RTT_WEIGHT) + bounded.mul_f32(RTT_WEIGHT);
    }
}

fn estimate_time(gate: &Gate, extra_rtt: Duration, typical: Duration, now: Instant) -> Duration {
    let expected = typical + extra_rtt;
    let mean = gate.reverting_mean(expected, now).unwrap_or(expected);
    let load = gate.in_flight() as f32 / gate.slots() as f32;
    let mut cost = mean.mul_f32(1.0 + load) + ERROR_PENALTY.mul_f32(gate.error_rate(now));
    if gate.is_stalled(expected * STALL_FACTOR, now) {
        cost += STALL_PENALTY;
    }
    cost
}
