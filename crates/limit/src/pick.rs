//! The choice among replicas.

use std::time::Instant;

use rand::Rng;

use crate::Blocked;
use crate::Distance;
use crate::GateKey;
use crate::Limits;

impl Limits {
    /// Chooses the replica for one attempt among `candidates`.
    ///
    /// In the nearest zone, the one of two random candidates with the smaller expected reply time is taken. A replica
    /// in a farther zone is chosen when its expected time is smaller even with the round trip added: a queue in the own
    /// zone costs more than the way to another one.
    ///
    /// # Errors
    ///
    /// Returns the least lasting reason when no candidate may be sent to now.
    pub fn pick(
        &self,
        candidates: &[GateKey],
        now: Instant,
        rng: &mut dyn Rng,
    ) -> Result<GateKey, Blocked> {
        if !self.tuning.zones {
            return self.pick_within(candidates, None, now, rng);
        }
        let mut chosen = Err(Blocked::Unknown);
        for distance in [
            Distance::SameZone,
            Distance::SameRegion,
            Distance::OtherRegion,
        ] {
            let found = self.pick_within(candidates, Some(distance), now, rng);
            chosen = match (chosen, found) {
                (Ok(near), Ok(far)) if self.is_worth(near, far, now) => Ok(far),
                (Ok(near), _) => Ok(near),
                (Err(_), Ok(far)) => Ok(far),
                (Err(one), Err(other)) => Err(one.min(other)),
            };
        }
        chosen
    }

    fn is_worth(&self, near: GateKey, far: GateKey, now: Instant) -> bool {
        self.tuning.compare && self.distant_us(far, now) < self.distant_us(near, now)
    }

    /// Estimates the time of one more attempt with the way to its zone, which no reply has shown yet on an idle gate.
    fn distant_us(&self, key: GateKey, now: Instant) -> f32 {
        self.expected_us(key, now) + self.extra_rtt(key).as_micros() as f32
    }

    fn pick_within(
        &self,
        candidates: &[GateKey],
        distance: Option<Distance>,
        now: Instant,
        rng: &mut dyn Rng,
    ) -> Result<GateKey, Blocked> {
        let mut blocked = Blocked::Unknown;
        let mut free = 0;
        let mut chosen = [None, None];
        for &key in candidates {
            let Some(gate) = self.gates.get(key) else {
                continue;
            };
            if distance.is_some_and(|distance| distance != gate.distance) {
                continue;
            }
            match gate.check(&self.tuning, now) {
                Ok(()) => {
                    free += 1;
                    keep_sample(&mut chosen, key, free, rng);
                }
                Err(reason) => blocked = blocked.min(reason),
            }
        }
        match chosen {
            [None, _] => Err(blocked),
            [Some(key), None] => Ok(key),
            [Some(one), Some(other)] => Ok(self.pick_of_two(one, other, now, rng)),
        }
    }

    fn pick_of_two(
        &self,
        one: GateKey,
        other: GateKey,
        now: Instant,
        rng: &mut dyn Rng,
    ) -> GateKey {
        if self.tuning.compare {
            let (first, second) = (self.expected_us(one, now), self.expected_us(other, now));
            if first != second {
                return if first < second { one } else { other };
            }
        }
        if rng.next_u32() & 1 == 0 { one } else { other }
    }

    fn expected_us(&self, key: GateKey, now: Instant) -> f32 {
        self.gates[key].expected_us(now)
    }
}

/// Keeps a uniform sample of two of the keys seen so far; `seen` counts this one in.
fn keep_sample(chosen: &mut [Option<GateKey>; 2], key: GateKey, seen: u64, rng: &mut dyn Rng) {
    if seen <= 2 {
        chosen[seen as usize - 1] = Some(key);
        return;
    }
    let slot = rng.next_u64() % seen;
    if slot < 2 {
        chosen[slot as usize] = Some(key);
    }
}
