//! Values of settings, each with its unit.

use {
    derive_more::Display,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc},
};

/// A value with its unit, written as `{"<unit>": <value>}` in JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Value {
    /// Text, such as a URL or one of a list of words.
    Text(Arc<str>),
    /// A number of tokens.
    Tokens(u64),
    /// A duration in seconds.
    Seconds(u64),
    /// A share in percent.
    Percent(u64),
    /// A relative weight.
    Weight(u64),
    /// A priority class; 0 is served first.
    Class(u64),
    /// A plain number.
    Count(u64),
    /// On or off.
    Flag(bool),
    /// Names of nodes.
    Names(Vec<Arc<str>>),
    /// SHA-256 hashes in lower-case hexadecimal.
    Hashes(Vec<Arc<str>>),
    /// Pairs of name and value.
    Labels(BTreeMap<Arc<str>, Arc<str>>),
    /// Any other JSON value. It is kept so that a change with a malformed value can be decoded and
    /// all its mistakes reported together.
    #[serde(untagged)]
    Other(serde_json::Value),
}

/// The unit of a [`Value`].
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display(rename_all = "snake_case")]
pub enum Unit {
    /// See [`Value::Text`].
    Text,
    /// See [`Value::Tokens`].
    Tokens,
    /// See [`Value::Seconds`].
    Seconds,
    /// See [`Value::Percent`].
    Percent,
    /// See [`Value::Weight`].
    Weight,
    /// See [`Value::Class`].
    Class,
    /// See [`Value::Count`].
    Count,
    /// See [`Value::Flag`].
    Flag,
    /// See [`Value::Names`].
    Names,
    /// See [`Value::Hashes`].
    Hashes,
    /// See [`Value::Labels`].
    Labels,
}

impl Value {
    /// Returns the unit, or `None` for a value of unknown form.
    pub fn unit(&self) -> Option<Unit> {
        match self {
            Self::Text(_) => Some(Unit::Text),
            Self::Tokens(_) => Some(Unit::Tokens),
            Self::Seconds(_) => Some(Unit::Seconds),
            Self::Percent(_) => Some(Unit::Percent),
            Self::Weight(_) => Some(Unit::Weight),
            Self::Class(_) => Some(Unit::Class),
            Self::Count(_) => Some(Unit::Count),
            Self::Flag(_) => Some(Unit::Flag),
            Self::Names(_) => Some(Unit::Names),
            Self::Hashes(_) => Some(Unit::Hashes),
            Self::Labels(_) => Some(Unit::Labels),
            Self::Other(_) => None,
        }
    }

    /// Returns the number of a numeric value; `None` for other values.
    pub fn number(&self) -> Option<u64> {
        match self {
            Self::Tokens(number)
            | Self::Seconds(number)
            | Self::Percent(number)
            | Self::Weight(number)
            | Self::Class(number)
            | Self::Count(number) => Some(*number),
            _ => None,
        }
    }

    /// Returns the text of a text value; `None` for other values.
    pub fn text(&self) -> Option<&Arc<str>> {
        match self {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }

    /// Returns the members of a list value; empty for other values.
    pub fn members(&self) -> &[Arc<str>] {
        match self {
            Self::Names(members) | Self::Hashes(members) => members,
            _ => &[],
        }
    }

    /// Returns whether this is a flag that is on.
    pub fn is_on(&self) -> bool {
        matches!(self, Self::Flag(true))
    }

    /// Returns the pairs of a labels value; `None` for other values.
    pub fn labels(&self) -> Option<&BTreeMap<Arc<str>, Arc<str>>> {
        match self {
            Self::Labels(labels) => Some(labels),
            _ => None,
        }
    }
}
