//! Choice of a replica by distance and by the power of two choices.

use std::time::Instant;

use rand::Rng;

use crate::Blocked;
use crate::Distance;
use crate::GateKey;
use crate::Limits;

impl Limits {
    /// Chooses the replica for one attempt among `candidates`.
    ///
    /// Of two random candidates in the nearest zone, the one with the smaller expected reply time is chosen. A replica
    /// in a farther zone is chosen if its expected time is smaller even including the round trip: a queue in the own
    /// zone costs more than the round trip to another zone.
    ///
    /// # Errors
    ///
    /// Returns the reason that passes soonest when no candidate can be used now.
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
                (Ok(near), Ok(far)) if self.prefers_far(near, far, now) => Ok(far),
                (Ok(near), _) => Ok(near),
                (Err(_), Ok(far)) => Ok(far),
                (Err(one), Err(other)) => Err(one.min(other)),
            };
        }
        chosen
    }

    fn prefers_far(&self, near: GateKey, far: GateKey, now: Instant) -> bool {
        self.tuning.compare
            && self.expected_us_with_rtt(far, now) < self.expected_us_with_rtt(near, now)
    }

    /// Estimates the time of one more attempt plus the round trip, which an idle gate's reply times don't show yet.
    fn expected_us_with_rtt(&self, key: GateKey, now: Instant) -> f32 {
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
            match self.check(key, now) {
                Ok(()) => {
                    free += 1;
                    update_sample(&mut chosen, key, free, rng);
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

/// Keeps a uniform sample of two keys by reservoir sampling; `seen` is the number of keys so far, including `key`.
fn update_sample(chosen: &mut [Option<GateKey>; 2], key: GateKey, seen: u64, rng: &mut dyn Rng) {
    if seen <= 2 {
        chosen[seen as usize - 1] = Some(key);
        return;
    }
    let index = rng.next_u64() % seen;
    if index < 2 {
        chosen[index as usize] = Some(key);
    }
}
