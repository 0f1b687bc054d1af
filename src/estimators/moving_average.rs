//! An exponential moving average.

/// An exponential moving average of a positive quantity; 0 while nothing is known.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MovingAverage(f64);

impl MovingAverage {
    /// Creates an average with this value.
    pub(crate) fn of(value: f64) -> MovingAverage {
        MovingAverage(value)
    }

    /// The average; 0 while nothing is known.
    pub(crate) fn get(self) -> f64 {
        self.0
    }

    /// Adds a sample. The first sample becomes the average; later ones are weighted by `gain`, from 0 to 1.
    pub(crate) fn add(&mut self, sample: f64, gain: f64) {
        self.0 = if self.0 == 0.0 { sample } else { self.0 + gain * (sample - self.0) };
    }
}
