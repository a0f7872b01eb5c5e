//! Software versions of the listed engines, for the choice among engines of several versions.

use super::events::{ListedEngine, Role, VersionBinding};
use crate::ids::SoftwareVersion;

/// Software versions of the listed engines.
#[derive(Clone, Debug, Default)]
pub(super) struct ListedVersions {
    list: Vec<ListedVersion>,
}

#[derive(Clone, Debug)]
struct ListedVersion {
    version: SoftwareVersion,
    has_prefill_engine: bool,
    /// Whether an engine of this version is leaving.
    is_leaving: bool,
}

impl ListedVersions {
    pub(super) fn of(engines: &[ListedEngine]) -> Self {
        let mut list: Vec<ListedVersion> = Vec::new();
        for engine in engines {
            let known = list.iter().position(|known| known.version == engine.version);
            let index = known.unwrap_or_else(|| {
                let version = engine.version.clone();
                list.push(ListedVersion { version, has_prefill_engine: false, is_leaving: false });
                list.len() - 1
            });
            list[index].has_prefill_engine |= engine.role == Role::Prefill && !engine.leaving;
            list[index].is_leaving |= engine.leaving;
        }
        Self { list }
    }

    /// Groups of engines that do not share KV caches: those of each version, without versions that are probably being
    /// replaced; all engines if there is only one version.
    pub(super) fn groups(&self) -> impl Iterator<Item = VersionBinding> {
        let are_several = self.list.len() > 1;
        let staying = self.list.iter().filter(move |listed| are_several && !listed.is_leaving);
        let each = staying.map(|listed| VersionBinding::Only(listed.version.clone()));
        each.chain((!are_several).then_some(VersionBinding::Any))
    }

    /// Rank of a version among engines that are about equally filled; smaller values are better. Engines of a version
    /// without prefill engines have to prefill prompts themselves, which is slow. An answer that breaks off after the
    /// last engine of its version has left cannot go on, so versions of which engines leave come last.
    pub(super) fn rank(&self, version: &SoftwareVersion) -> VersionRank {
        match self.list.iter().find(|listed| listed.version == *version) {
            Some(listed) if listed.is_leaving => VersionRank::Leaving,
            Some(listed) if listed.has_prefill_engine => VersionRank::Complete,
            Some(_) | None => VersionRank::WithoutPrefill,
        }
    }
}

/// How well the engines of a version serve new requests.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum VersionRank {
    /// It has prefill engines.
    Complete,
    /// It has no prefill engine.
    WithoutPrefill,
    /// It is probably being replaced.
    Leaving,
}
