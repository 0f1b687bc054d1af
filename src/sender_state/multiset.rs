//! A set that counts how often it holds each of its elements.

use std::collections::BTreeMap;

/// A set that counts how often it holds each of its elements.
#[derive(Debug)]
pub(crate) struct Multiset<T>(BTreeMap<T, usize>);

impl<T> Default for Multiset<T> {
    fn default() -> Self {
        Multiset(BTreeMap::new())
    }
}

impl<T: Copy + Ord> Multiset<T> {
    /// Number of different elements.
    pub(crate) fn distinct(&self) -> usize {
        self.0.len()
    }

    /// How often the set holds an element.
    pub(crate) fn count(&self, element: T) -> usize {
        self.0.get(&element).copied().unwrap_or(0)
    }

    /// The different elements in ascending order, each with its count.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (T, usize)> {
        self.0.iter().map(|(element, count)| (*element, *count))
    }

    /// Adds an element once.
    pub(crate) fn insert(&mut self, element: T) {
        *self.0.entry(element).or_default() += 1;
    }

    /// Removes an element once, and returns how often the set still holds it.
    pub(crate) fn remove(&mut self, element: T) -> usize {
        let left = self.count(element).saturating_sub(1);
        if left == 0 {
            self.0.remove(&element);
        } else {
            self.0.insert(element, left);
        }
        left
    }
}
