//! A log in memory and short ways to publish to it.

use ed25519_dalek::SigningKey;
use hibiscusvale_core::config::{
    ChangeBody, CheckpointKey, ClassChange, ClassTarget, ConfigFold, ConfigState, Intake, LogBounds,
    PublisherKeys, Record, SignedChange,
};
use hibiscusvale_core::ids::{ChangeId, ClassName, Offset, PartnerId};
use hibiscusvale_core::units::Millis;

/// A partner with its key.
#[derive(Clone, Debug)]
pub struct Publisher {
    pub id: PartnerId,
    pub key: SigningKey,
}

impl Publisher {
    pub fn new(name: &str, seed: u8) -> Self {
        Self { id: name.parse().expect("a partner"), key: SigningKey::from_bytes(&[seed; 32]) }
    }

    /// A signed change made from `made_from`.
    pub fn change(&self, change_id: u128, made_from: Option<u64>, changes: Vec<ClassChange>) -> SignedChange {
        let body = ChangeBody {
            made_from: made_from.map(Offset),
            author: "salma".parse().expect("an author"),
            made_at_unix_ms: 1,
            changes,
        };
        body.sign(&self.id, ChangeId(change_id), &self.key)
    }

    /// A record that sets the plain target of one class.
    pub fn publish(&self, change_id: u128, made_from: Option<u64>, name: &str, target_ms: u64) -> Vec<u8> {
        Record::Change(self.change(change_id, made_from, vec![set(name, target_ms)])).encode()
    }
}

pub fn nadifa() -> Publisher {
    Publisher::new("nadifa", 1)
}

pub fn registry() -> Publisher {
    Publisher::new("registry", 2)
}

pub fn class(name: &str) -> ClassName {
    name.parse().expect("a class")
}

pub fn set(name: &str, target_ms: u64) -> ClassChange {
    ClassChange::Publish { class: class(name), target: ClassTarget::plain(Millis(target_ms)) }
}

pub fn checkpoint_key() -> CheckpointKey {
    CheckpointKey::derive(b"the key that daemons share")
}

pub fn keys() -> PublisherKeys {
    [nadifa(), registry()].map(|publisher| (publisher.id, publisher.key.verifying_key())).into()
}

/// A daemon that asked its peers already and found none.
pub fn daemon() -> ConfigFold {
    let mut fold = ConfigFold::new(keys(), checkpoint_key());
    fold.allow_genesis();
    fold
}

/// The plain target of a class, if it is in force.
pub fn target_ms(state: &ConfigState, publisher: &Publisher, name: &str) -> Option<u64> {
    use hibiscusvale_core::config::TargetKind;
    match state.class(&publisher.id, &class(name))?.kind {
        TargetKind::Plain { response_ms } => Some(response_ms.0),
        TargetKind::Language { .. } => None,
    }
}

/// The platform's log: records from `start` on.
#[derive(Clone, Debug, Default)]
pub struct FakeLog {
    pub start: u64,
    pub records: Vec<Vec<u8>>,
}

impl FakeLog {
    pub fn append(&mut self, record: Vec<u8>) -> u64 {
        self.records.push(record);
        self.next() - 1
    }

    pub fn next(&self) -> u64 {
        self.start + self.records.len() as u64
    }

    /// Lets the records before `start` expire.
    pub fn expire_to(&mut self, start: u64) {
        let start = start.clamp(self.start, self.next());
        let expired = usize::try_from(start - self.start).expect("small");
        self.records.drain(..expired);
        self.start = start;
    }

    pub fn get(&self, offset: Offset) -> Option<&[u8]> {
        let index = offset.0.checked_sub(self.start)?;
        self.records.get(usize::try_from(index).ok()?).map(Vec::as_slice)
    }

    pub fn bounds(&self) -> LogBounds {
        LogBounds { start_offset: Offset(self.start), next_offset: Offset(self.next()) }
    }

    /// Reads at most `limit` records from where `fold` wants them, as a daemon does.
    pub fn read_into(&self, fold: &mut ConfigFold, limit: usize) -> Vec<Intake> {
        fold.observe_log(self.bounds());
        let mut intakes = Vec::new();
        for _ in 0..limit {
            let offset = fold.wanted();
            let Some(bytes) = self.get(offset) else {
                break;
            };
            intakes.push(fold.take(offset, bytes));
        }
        intakes
    }

    /// Reads all there is.
    pub fn read_all(&self, fold: &mut ConfigFold) -> Vec<Intake> {
        self.read_into(fold, self.records.len() + 1)
    }
}
