//! A histogram of durations. Histograms add up exactly, so the controller can merge the edges' windows without
//! getting every sample.

/// Ratio of neighbouring buckets: a quantile is within 4 % of the true one.
const STEP: f64 = 1.08;
const BUCKETS: u8 = 180;

messages! {
    #[derive(Default)]
    pub struct Histogram {
        /// (bucket, count), ordered by bucket.
        #[n(0)] pub counts: Vec<(u8, u32)>,
        #[n(1)] pub sum: u64,
    }
}

fn bucket(ms: u64) -> u8 {
    ((ms.max(1) as f64).ln() / STEP.ln()).round().min(f64::from(BUCKETS)) as u8
}

fn bucket_value(b: u8) -> f64 {
    STEP.powi(i32::from(b))
}

impl Histogram {
    pub fn add(&mut self, ms: u64) {
        self.sum += ms;
        self.add_count(bucket(ms), 1);
    }

    fn add_count(&mut self, bucket: u8, count: u32) {
        match self.counts.binary_search_by_key(&bucket, |(stored, _)| *stored) {
            Ok(i) => self.counts[i].1 += count,
            Err(i) => self.counts.insert(i, (bucket, count)),
        }
    }

    pub fn merge(&mut self, other: &Histogram) {
        self.sum += other.sum;
        for (bucket, count) in &other.counts {
            self.add_count(*bucket, *count);
        }
    }

    pub fn count(&self) -> u64 {
        self.counts.iter().map(|(_, n)| u64::from(*n)).sum()
    }

    pub fn mean(&self) -> Option<f64> {
        let count = self.count();
        (count > 0).then(|| self.sum as f64 / count as f64)
    }

    pub fn quantile(&self, quantile: f64) -> Option<f64> {
        let total = self.count();
        let rank = ((total as f64 * quantile).ceil() as u64).max(1);
        let mut counted = 0;
        self.counts
            .iter()
            .find(|(_, count)| {
                counted += u64::from(*count);
                counted >= rank
            })
            .map(|(b, _)| bucket_value(*b))
    }

    /// Returns the number of samples above `ms`.
    pub fn count_over(&self, ms: f64) -> u64 {
        self.counts.iter().filter(|(b, _)| bucket_value(*b) > ms).map(|(_, n)| u64::from(*n)).sum()
    }
}

#[cfg(test)]
mod tests;
