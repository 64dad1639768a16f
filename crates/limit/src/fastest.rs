//! The choice of a replica that stays near unless the near ones are slow, full or silent.

use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::RngExt;

use crate::Blocked;
use crate::Distance;
use crate::Gate;
use crate::GateKey;
use crate::Limits;

/// Round trip to another zone of the region, before one was seen.
const REGION_TRIP: Duration = Duration::from_millis(2);

/// Round trip to another region, before one was seen.
const FAR_TRIP: Duration = Duration::from_millis(24);

/// Added to the estimate of a server that stands still: longer than any server is expected to pause.
const STALL: Duration = Duration::from_secs(1);

/// Added to the estimate of a server that sheds or fails every attempt: each one costs a repeat, of which few are allowed.
const TROUBLE: Duration = Duration::from_millis(400);

/// Largest random part of an estimate, so that equal servers are used in turn.
const JITTER: f32 = 0.2;

/// Weight of a new round trip.
const TRIP_WEIGHT: f32 = 0.1;

/// Multiple of the known round trip above which a new one counts no further.
const TRIP_GROWTH: u32 = 2;

/// Added to that bound, so that a trip can be learned that was taken for none.
const MIN_TRIP: Duration = Duration::from_millis(2);

/// Usual reply times without any sign of life after which a server counts as standing still.
const STALL_FACTOR: u32 = 2;

impl Limits {
    /// Chooses the replica with the smallest expected reply time among `candidates`.
    ///
    /// `usual` is the usual reply time of a near server. A server without recent replies is expected to take that time
    /// and the way to it, so that a far server is chosen only when the near ones are expected to be slower than that;
    /// see docs/decisions/0005-platform.md.
    ///
    /// # Errors
    ///
    /// Returns the least lasting reason when no candidate may be sent to now.
    pub fn pick_fastest(
        &self,
        candidates: impl Iterator<Item = GateKey>,
        usual: Duration,
        now: Instant,
        rng: &mut dyn Rng,
    ) -> Result<GateKey, Blocked> {
        let mut blocked = Blocked::Unknown;
        let mut best: Option<(f32, GateKey)> = None;
        for key in candidates {
            let Some(gate) = self.gates.get(key) else {
                continue;
            };
            if let Err(reason) = gate.check(&self.tuning, now) {
                blocked = blocked.min(reason);
                continue;
            }
            let jitter = 1.0 + JITTER * rng.random::<f32>();
            let trip = self.trips.of(gate.distance());
            let cost = estimate(gate, trip, usual, now).as_secs_f32() * jitter;
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, key));
            }
        }
        best.map(|(_, key)| key).ok_or(blocked)
    }

    /// Returns the time that the way to an upstream and back adds to a reply.
    pub fn extra_rtt(&self, key: GateKey) -> Duration {
        self.gate(key)
            .map_or(Duration::ZERO, |gate| self.trips.of(gate.distance()))
    }

    /// Takes in how long the opening of a connection took, which is one round trip.
    pub fn record_rtt(&mut self, key: GateKey, time: Duration) {
        if let Some(gate) = self.gates.get(key) {
            let distance = gate.distance();
            self.trips.note(distance, time);
        }
    }

    /// Tells whether an upstream is in the node's own availability zone.
    pub fn is_same_zone(&self, key: GateKey) -> bool {
        self.gate(key)
            .is_some_and(|gate| gate.distance() == Distance::SameZone)
    }
}

/// Round trips as they were seen, by distance.
#[derive(Debug, Clone)]
pub(crate) struct RoundTrips {
    zone: Duration,
    region: Duration,
    far: Duration,
}

impl Default for RoundTrips {
    fn default() -> RoundTrips {
        RoundTrips {
            zone: Duration::ZERO,
            region: REGION_TRIP,
            far: FAR_TRIP,
        }
    }
}

impl RoundTrips {
    /// Returns what the way adds to that within the own zone.
    fn of(&self, distance: Distance) -> Duration {
        match distance {
            Distance::SameZone => Duration::ZERO,
            Distance::SameRegion => self.region.saturating_sub(self.zone),
            Distance::OtherRegion => self.far.saturating_sub(self.zone),
        }
    }

    /// Moves towards a new time; a time that is far above what is known is a lost packet or a full queue.
    fn note(&mut self, distance: Distance, time: Duration) {
        let known = match distance {
            Distance::SameZone => &mut self.zone,
            Distance::SameRegion => &mut self.region,
            Distance::OtherRegion => &mut self.far,
        };
        let bounded = time.min(*known * TRIP_GROWTH + MIN_TRIP);
        *known = known.mul_f32(1.0 - TRIP_WEIGHT) + bounded.mul_f32(TRIP_WEIGHT);
    }
}

fn estimate(gate: &Gate, trip: Duration, usual: Duration, now: Instant) -> Duration {
    let expected = usual + trip;
    let mean = gate.fading_mean(expected, now).unwrap_or(expected);
    let load = gate.in_flight() as f32 / gate.slots() as f32;
    let mut cost = mean.mul_f32(1.0 + load) + TROUBLE.mul_f32(gate.trouble(now));
    if gate.is_stalled(expected * STALL_FACTOR, now) {
        cost += STALL;
    }
    cost
}
