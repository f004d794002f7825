//! The settings that a node overrides.

use {
    super::{Setting, Value},
    serde::{Deserialize, Deserializer, Serialize, Serializer},
    std::collections::BTreeMap,
};

/// Values by setting. Most nodes override one to three settings, and there are tens of thousands
/// of nodes; a sorted list takes a fraction of the memory of a map.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Overrides(Vec<(Setting, Value)>);

impl Overrides {
    /// Returns the value of a setting.
    pub fn get(&self, setting: &Setting) -> Option<&Value> {
        let index = self.find(*setting).ok()?;
        self.0.get(index).map(|(_, value)| value)
    }

    /// Returns whether a setting is overridden.
    pub fn contains_key(&self, setting: &Setting) -> bool {
        self.find(*setting).is_ok()
    }

    /// Returns whether nothing is overridden.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the settings in their order, with their values.
    pub fn iter(&self) -> impl Iterator<Item = (&Setting, &Value)> {
        self.0.iter().map(|(setting, value)| (setting, value))
    }

    /// Sets a value in place of an earlier one.
    pub(super) fn insert(&mut self, setting: Setting, value: Value) {
        match self.find(setting) {
            Ok(index) => self.0[index].1 = value,
            Err(index) => {
                self.0.reserve_exact(1);
                self.0.insert(index, (setting, value));
            }
        }
    }

    /// Removes a value.
    pub(super) fn remove(&mut self, setting: &Setting) {
        if let Ok(index) = self.find(*setting) {
            self.0.remove(index);
        }
    }

    fn find(&self, setting: Setting) -> Result<usize, usize> {
        self.0.binary_search_by_key(&setting, |(known, _)| *known)
    }
}

impl Serialize for Overrides {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_map(self.iter())
    }
}

impl<'de> Deserialize<'de> for Overrides {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let settings = BTreeMap::<Setting, Value>::deserialize(deserializer)?;
        Ok(Self(settings.into_iter().collect()))
    }
}
