//! Rows of halted rollouts in the table service.

use {
    super::{Planner, Rollout},
    crate::{
        fault::{Fault, Kind},
        id::{ModelId, Version},
        table::{Row, Transaction},
    },
    serde::{Deserialize, Serialize},
};

/// Prefix of the keys of halted rollouts.
pub const HALT_PREFIX: &str = "placement/halt/";

/// Row `placement/halt/{model}`: the rollout of a version was halted and must not begin again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Halt {
    /// Model whose rollout was halted.
    pub model: ModelId,
    /// Version that replicas had before the rollout; further replicas load it.
    pub from: u64,
    /// Version whose rollout was halted.
    pub to: u64,
    /// Version of the configuration that asked for `to`. Only a newer one can end the halt: what a
    /// host with an older configuration asks for is not an operator's decision to end it.
    pub config: Version,
}

impl Halt {
    /// Decodes a row.
    ///
    /// # Errors
    /// [`Kind::Internal`] when the value is not a halt.
    pub fn decode(row: &Row) -> Result<Self, Fault> {
        serde_json::from_str(&row.value).map_err(|error| {
            let message = format!("row {} is not a halt: {error}", row.key);
            Fault::new(Kind::Internal, message)
        })
    }

    /// Returns the key of the row of a model.
    pub fn key(model: &str) -> String {
        format!("{HALT_PREFIX}{model}")
    }

    /// Returns the transaction that records the halt while the lease row is unchanged.
    pub fn record(&self, lease: &Row) -> Transaction {
        let mut transaction = Transaction::default();
        transaction.require(lease.key.clone(), lease.version);
        let value = serde_json::to_string(self).unwrap_or_default();
        transaction.put(Self::key(&self.model), value);
        transaction
    }

    /// Returns the transaction that removes the halt while the lease row is unchanged.
    pub fn remove(&self, lease: &Row) -> Transaction {
        let mut transaction = Transaction::default();
        transaction.require(lease.key.clone(), lease.version);
        transaction.delete(Self::key(&self.model));
        transaction
    }

    /// Returns whether an operator has ended the halt: a newer configuration asks for another
    /// version, or no longer for the model.
    pub fn is_over(&self, config: Version, wanted: Option<u64>) -> bool {
        config > self.config && wanted != Some(self.to)
    }
}

impl Planner {
    /// Returns the halted rollouts. `config` is the version of the configuration that the demands
    /// come from.
    pub fn halts(&self, config: Version) -> Vec<Halt> {
        let halted = self.rollouts.iter().filter(|(_, r)| r.is_halted());
        halted
            .map(|(model, rollout)| Halt {
                model: model.clone(),
                from: rollout.from,
                to: rollout.to,
                config,
            })
            .collect()
    }

    /// Restores a halt that this or an earlier lease holder recorded.
    pub fn restore_halt(&mut self, halt: &Halt) {
        let rollout = Rollout::halted(halt.from, halt.to);
        self.rollouts.insert(halt.model.clone(), rollout);
    }
}
