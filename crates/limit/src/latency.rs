//! A compact histogram of reply times in which old samples lose weight.

use std::time::Duration;

/// Buckets of the histogram; with [`EDGE_RATIO`] they span 100 µs to 8 s.
const BUCKETS: usize = 96;

/// Upper edge of the first bucket.
const FIRST_EDGE_US: f32 = 100.0;

/// Ratio of adjacent bucket edges, which bounds the relative error of a quantile.
const EDGE_RATIO: f32 = 1.125;

/// Samples after which every count is halved, so that old reply times lose weight.
const MAX_SAMPLES: u32 = 512;

/// Samples below which a quantile would be too noisy to use.
const MIN_SAMPLES: u32 = 32;

/// Reply times of one upstream in 200 bytes, because a node may keep thousands of histograms.
///
/// The `hdrhistogram` crate keeps old samples at full weight and needs about three times the memory even at one
/// significant digit.
#[derive(Debug, Clone)]
pub struct LatencyHistogram {
    counts: [u16; BUCKETS],
    total: u32,
}

impl Default for LatencyHistogram {
    fn default() -> LatencyHistogram {
        LatencyHistogram::new()
    }
}

impl LatencyHistogram {
    /// Creates an empty histogram.
    pub fn new() -> LatencyHistogram {
        LatencyHistogram {
            counts: [0; BUCKETS],
            total: 0,
        }
    }

    /// Adds a reply time.
    pub fn record(&mut self, time: Duration) {
        if self.total >= MAX_SAMPLES {
            self.halve();
        }
        self.counts[find_bucket(time)] += 1;
        self.total += 1;
    }

    /// Returns the upper edge of the bucket that contains the quantile, or `None` if there are too few samples.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        if self.total < MIN_SAMPLES {
            return None;
        }
        let rank = (quantile * f64::from(self.total)).ceil().max(1.0) as u32;
        let mut seen = 0;
        let bucket = self.counts.iter().position(|count| {
            seen += u32::from(*count);
            seen >= rank
        })?;
        Some(Duration::from_micros(
            (FIRST_EDGE_US * EDGE_RATIO.powi(bucket as i32)) as u64,
        ))
    }

    fn halve(&mut self) {
        self.total = 0;
        for count in &mut self.counts {
            *count /= 2;
            self.total += u32::from(*count);
        }
    }
}

fn find_bucket(time: Duration) -> usize {
    let ratio = time.as_micros() as f32 / FIRST_EDGE_US;
    if ratio <= 1.0 {
        return 0;
    }
    ((ratio.ln() / EDGE_RATIO.ln()).ceil() as usize).min(BUCKETS - 1)
}
