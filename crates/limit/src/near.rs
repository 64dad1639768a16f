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

/// Round trip to another zone of the region.
pub(crate) const REGION_TRIP: Duration = Duration::from_millis(2);

/// Round trip to another region.
pub(crate) const FAR_TRIP: Duration = Duration::from_millis(24);

/// Added to the estimate of a server that stands still: longer than any server is expected to pause.
const STALL: Duration = Duration::from_secs(1);

/// Added to the estimate of a server that sheds or fails every attempt: each one costs a repeat, of which few are allowed.
const TROUBLE: Duration = Duration::from_millis(400);

/// Largest random part of an estimate, so that equal servers are used in turn.
const JITTER: f32 = 0.2;

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
    pub fn pick_near(
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
            let cost = estimate(gate, usual, now).as_secs_f32() * jitter;
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, key));
            }
        }
        best.map(|(_, key)| key).ok_or(blocked)
    }

    /// Returns the time that the way to an upstream and back adds to a reply.
    pub fn trip(&self, key: GateKey) -> Duration {
        self.gate(key).map_or(Duration::ZERO, find_trip)
    }

    /// Tells whether an upstream is in the node's own availability zone.
    pub fn is_near(&self, key: GateKey) -> bool {
        self.gate(key)
            .is_some_and(|gate| gate.distance() == Distance::Zone)
    }
}

fn find_trip(gate: &Gate) -> Duration {
    match gate.distance() {
        Distance::Zone => Duration::ZERO,
        Distance::Region => REGION_TRIP,
        Distance::Far => FAR_TRIP,
    }
}

fn estimate(gate: &Gate, usual: Duration, now: Instant) -> Duration {
    let expected = usual + find_trip(gate);
    let mean = gate.fading_mean(expected, now).unwrap_or(expected);
    let load = gate.in_flight() as f32 / gate.slots() as f32;
    let mut cost = mean.mul_f32(1.0 + load) + TROUBLE.mul_f32(gate.trouble(now));
    if gate.is_stalled(expected * STALL_FACTOR, now) {
        cost += STALL;
    }
    cost
}
