//! Records of the platform's list, and what a read of it brings.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::statements::StatementOrder;
use crate::ids::BackendServerId;
use crate::servers::{BackendServer, ListedState};

/// State of one server from a version of the list on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerRecord {
    /// The first version of the list that covers it.
    pub version: u64,
    /// Place of the statement that it holds; of a removal, of the last one before it. `None` if the writer states none.
    pub statement: Option<StatementOrder>,
    /// What the list shows from then on.
    pub entry: ServerEntry,
}

/// What the list shows of a server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ServerEntry {
    /// It is listed.
    Listed(Arc<BackendServer>),
    /// It is not listed.
    Removed {
        /// Its name.
        id: BackendServerId,
        /// Whether it had stated that it leaves, so that its entry has not merely expired.
        has_left: bool,
    },
}

impl ServerEntry {
    /// Name of the server.
    pub fn id(&self) -> &BackendServerId {
        match self {
            Self::Listed(server) => &server.id,
            Self::Removed { id, .. } => id,
        }
    }

    /// Whether the server has stated that it leaves.
    pub(super) fn is_leaving(&self) -> bool {
        match self {
            Self::Listed(server) => server.listed == ListedState::Leaving,
            Self::Removed { has_left, .. } => *has_left,
        }
    }

    /// Whether it shows the server as it is `known`.
    pub(super) fn is_same(&self, known: Option<&Arc<BackendServer>>) -> bool {
        match (self, known) {
            (Self::Listed(server), Some(known)) => server.is_same_entry(known),
            (Self::Removed { .. }, None) => true,
            (Self::Listed(_), None) | (Self::Removed { .. }, Some(_)) => false,
        }
    }
}

/// Result of a read of the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListRead {
    /// The read covers all records up to this version.
    pub version: u64,
    /// What it brought.
    pub contents: ReadContents,
}

/// Records that a read brought. Removals have `has_left` unset, since a record does not tell what was before it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReadContents {
    /// The newest record of each listed server. The pages of a list are read one after another, so that a later one may show
    /// more than the version covers.
    Whole {
        /// The records.
        records: Vec<ServerRecord>,
        /// Version of the list when its last page was read.
        end: u64,
    },
    /// All records after the version that was asked for, oldest first.
    Later(Vec<ServerRecord>),
}
