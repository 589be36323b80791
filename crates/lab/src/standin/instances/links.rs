//! Which instances of a group reach each other and the store.

use std::collections::BTreeSet;

/// The links between the instances of a group.
#[derive(Clone, Debug, Default)]
pub struct Links {
    /// Instance that reaches no other instance and not the store.
    pub isolated: Option<String>,
    /// Pairs of instances that do not reach each other, each pair in the order of the names.
    separated: BTreeSet<[String; 2]>,
}

impl Links {
    /// Separates two instances, or connects them again.
    pub fn set_separated(&mut self, name: &str, other: &str, is_separated: bool) {
        let pair = pair(name, other);
        match is_separated {
            true => self.separated.insert(pair),
            false => self.separated.remove(&pair),
        };
    }

    /// Whether this instance reaches no other instance and not the store.
    pub fn is_isolated(&self, name: &str) -> bool {
        self.isolated.as_deref() == Some(name)
    }

    /// Whether an instance reaches another one.
    pub fn connect(&self, name: &str, other: &str) -> bool {
        let is_isolated = self.is_isolated(name) || self.is_isolated(other);
        name == other || !is_isolated && !self.separated.contains(&pair(name, other))
    }
}

fn pair(name: &str, other: &str) -> [String; 2] {
    let (first, second) = if name < other { (name, other) } else { (other, name) };
    [first.to_owned(), second.to_owned()]
}
