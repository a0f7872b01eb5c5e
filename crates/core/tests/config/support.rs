//! In-memory log and helpers to publish to it.

use ed25519_dalek::SigningKey;
use hibiscusvale_core::config::{
    ChangeBody, CheckpointKey, ClassChange, ClassTarget, ConfigFold, ConfigState, FoldOutcome, LogBounds,
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

    /// Creates a signed change based on version `made_from`.
    pub fn change(&self, change_id: u128, made_from: Option<u64>, changes: Vec<ClassChange>) -> SignedChange {
        let body = ChangeBody {
            made_from: made_from.map(Offset),
            author: "salma".parse().expect("an author"),
            made_at_unix_ms: 1,
            changes,
        };
        body.sign(&self.id, ChangeId(change_id), &self.key)
    }

    /// Creates a record that sets the plain target of one class.
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

/// A fold that may start from offset 0, like a daemon whose peers had no state.
pub fn daemon() -> ConfigFold {
    let mut fold = ConfigFold::new(keys(), checkpoint_key());
    fold.allow_genesis();
    fold
}

/// The plain target of a class in milliseconds, if it is in force.
pub fn target_ms(state: &ConfigState, publisher: &Publisher, name: &str) -> Option<u64> {
    use hibiscusvale_core::config::TargetKind;
    match state.class(&publisher.id, &class(name))?.kind {
        TargetKind::Plain { response_ms } => Some(response_ms.0),
        TargetKind::Language { .. } => None,
    }
}

/// In-memory stand-in for the platform's log, with records from `start` on.
#[derive(Clone, Debug, Default)]
pub struct InMemoryLog {
    pub start: u64,
    pub records: Vec<Vec<u8>>,
}

impl InMemoryLog {
    pub fn append(&mut self, record: Vec<u8>) -> u64 {
        self.records.push(record);
        self.next() - 1
    }

    pub fn next(&self) -> u64 {
        self.start + self.records.len() as u64
    }

    /// Expires the records before `start`.
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

    /// Reads at most `limit` records at the offsets that `fold` requests, as a daemon does.
    pub fn read_into(&self, fold: &mut ConfigFold, limit: usize) -> Vec<FoldOutcome> {
        fold.observe_log(self.bounds());
        let mut outcomes = Vec::new();
        for _ in 0..limit {
            let offset = fold.read_offset();
            let Some(bytes) = self.get(offset) else {
                break;
            };
            outcomes.push(fold.ingest(offset, bytes));
        }
        outcomes
    }

    /// Reads all available records.
    pub fn read_all(&self, fold: &mut ConfigFold) -> Vec<FoldOutcome> {
        self.read_into(fold, self.records.len() + 1)
    }
}
