//! At which software version streams began, for callers that resume them at any daemon.
//!
//! What two versions write does not fit together, and servers do not check it. The daemon that passes on the first
//! event of a stream sends a record of its version to some other daemons, selected by a hash of the stream. A daemon
//! that does not know a stream asks the same daemons. A stream that none of them knows may still be resumed if only
//! one version has served since before it can have begun, and until it was resumed.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreId, HostId, ServiceId, SoftwareVersion};
use crate::quarantine::CallerIdentity;
use crate::units::{Micros, Millis, MonoTime};

/// How long a stream can be resumed after its first event, or after the first event since it was last resumed.
pub const STREAM_TTL_MS: Millis = Millis(60_000);

/// Age from which a server list is not current. Lists are confirmed several times within it.
const LIST_AGE_MAX_MS: Millis = Millis(5_000);

/// Identifies a stream among all daemons: a digest of its caller and of the attempt that brought its first event. The
/// same attempt id of another caller is another stream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// The key of the stream that `attempt` of `caller` began.
    pub fn of(caller: CallerIdentity<'_>, host: &str, attempt: &str) -> Self {
        let host = host.to_ascii_lowercase();
        let mut bytes = [0; size_of::<u64>()];
        caller.digest([host.as_bytes(), attempt.as_bytes()]).fill(&mut bytes);
        Self(u64::from_le_bytes(bytes))
    }
}

/// Service and software version that began a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamOrigin {
    /// The service.
    pub service: ServiceId,
    /// The version of the server that sent the first event.
    pub version: SoftwareVersion,
}

/// Record of a stream, as daemons send it to each other.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamRecord {
    /// The stream.
    pub key: StreamKey,
    /// Where it began; `None` if it turned out that this is not known.
    pub origin: Option<StreamOrigin>,
}

/// Largest number of other daemons at which all of them keep the record of each stream.
pub const ALL_KEEPERS_MAX: usize = 16;

/// The daemons among `daemons`, which are all others, that keep the record of a stream: up to `count` of the own data
/// centre, which are reached when it is cut off, and up to `count` of all, at which callers in other data centres find
/// it. Daemons of the same data centre that know the same daemons select the same ones.
pub fn keepers<'a, Daemons>(
    key: StreamKey,
    data_centre: &DataCentreId,
    daemons: Daemons,
    count: usize,
) -> Vec<&'a HostId>
where
    Daemons: Iterator<Item = (&'a HostId, &'a DataCentreId)> + Clone,
{
    if daemons.clone().nth(ALL_KEEPERS_MAX).is_none() {
        return daemons.map(|(host, _)| host).collect();
    }
    let local = daemons.clone().filter(|(_, other)| *other == data_centre);
    let mut keepers = first_by_weight(key, local.map(|(host, _)| host), count);
    for host in first_by_weight(key, daemons.map(|(host, _)| host), count) {
        if !keepers.contains(&host) {
            keepers.push(host);
        }
    }
    keepers
}

fn first_by_weight<'a, Hosts>(key: StreamKey, hosts: Hosts, count: usize) -> Vec<&'a HostId>
where
    Hosts: Iterator<Item = &'a HostId>,
{
    let mut first: Vec<(u64, &HostId)> = Vec::with_capacity(count + 1);
    for host in hosts {
        let mut hasher = DefaultHasher::new();
        (key, host.as_str()).hash(&mut hasher);
        let ranked = (hasher.finish(), host);
        let position = first.partition_point(|before| *before < ranked);
        if position < count {
            first.insert(position, ranked);
            first.truncate(count);
        }
    }
    first.into_iter().map(|(_, host)| host).collect()
}

/// What is known of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamLookup {
    /// It began at this origin.
    Known(StreamOrigin),
    /// Records of it contradict each other, or its server may have run other software than listed.
    Ambiguous,
    /// There is no record of it.
    Unknown,
}

#[derive(Clone, Copy, Debug)]
struct KnownStream {
    /// Index of its origin; `None` if the origin is ambiguous.
    origin: Option<u32>,
    recorded_us: MonoTime,
}

/// Records of streams, limited in number and by time.
#[derive(Clone, Debug)]
pub struct StreamVersions {
    capacity: usize,
    streams: HashMap<StreamKey, KnownStream>,
    /// Streams in the order of their records. A stream that was recorded again occurs twice.
    order: VecDeque<(MonoTime, StreamKey)>,
    /// Distinct origins, shared by the streams.
    origins: Vec<StreamOrigin>,
}

impl StreamVersions {
    /// Creates a table of at most `capacity` streams.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, streams: HashMap::new(), order: VecDeque::new(), origins: Vec::new() }
    }

    /// Number of streams.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Whether there is no stream.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Adds a record. One that contradicts an earlier record of the stream makes it ambiguous.
    pub fn record(&mut self, now_us: MonoTime, record: &StreamRecord) {
        self.drop_expired(now_us);
        let recorded = record.origin.as_ref().map(|origin| self.index_of(origin));
        let origin = match self.streams.get(&record.key) {
            Some(known) if known.origin != recorded => None,
            Some(_) | None => recorded,
        };
        self.streams.insert(record.key, KnownStream { origin, recorded_us: now_us });
        self.order.push_back((now_us, record.key));
        while self.order.len() > self.capacity {
            self.drop_oldest();
        }
    }

    /// What is known of a stream, and since when.
    pub fn find(&self, now_us: MonoTime, key: StreamKey) -> (StreamLookup, Option<MonoTime>) {
        let known = self.streams.get(&key).filter(|known| now_us < known.recorded_us + STREAM_TTL_MS);
        match known {
            Some(KnownStream { origin: Some(origin), recorded_us }) => {
                (StreamLookup::Known(self.origins[*origin as usize].clone()), Some(*recorded_us))
            }
            Some(KnownStream { origin: None, recorded_us }) => (StreamLookup::Ambiguous, Some(*recorded_us)),
            None => (StreamLookup::Unknown, None),
        }
    }

    /// The records of the streams that a service began.
    pub fn records_of<'a>(
        &'a self,
        now_us: MonoTime,
        service: &'a ServiceId,
    ) -> impl Iterator<Item = StreamRecord> + 'a {
        let recent = self.streams.iter().filter(move |(_, known)| now_us < known.recorded_us + STREAM_TTL_MS);
        recent.filter_map(move |(key, known)| {
            let origin = &self.origins[known.origin? as usize];
            (origin.service == *service).then(|| StreamRecord { key: *key, origin: Some(origin.clone()) })
        })
    }

    fn index_of(&mut self, origin: &StreamOrigin) -> u32 {
        let index = self.origins.iter().position(|known| known == origin).unwrap_or_else(|| {
            self.origins.push(origin.clone());
            self.origins.len() - 1
        });
        u32::try_from(index).unwrap_or(u32::MAX)
    }

    fn drop_expired(&mut self, now_us: MonoTime) {
        while self.order.front().is_some_and(|(recorded_us, _)| now_us >= *recorded_us + STREAM_TTL_MS) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((recorded_us, key)) = self.order.pop_front() else {
            return;
        };
        // A later record of the stream is still in the queue.
        if self.streams.get(&key).is_some_and(|known| known.recorded_us == recorded_us) {
            self.streams.remove(&key);
        }
    }
}

/// Software versions of a service that one daemon has seen.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SeenVersions {
    /// The versions that were listed within the lifetime of a stream.
    pub versions: Vec<SoftwareVersion>,
    /// Whether no other version can have been listed within that time.
    pub is_complete: bool,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LastListed {
    Now,
    Until(MonoTime),
}

impl LastListed {
    /// Whether a stream that began while it was listed can still be resumed.
    fn is_recent(self, now_us: MonoTime) -> bool {
        match self {
            Self::Now => true,
            Self::Until(until_us) => now_us < until_us + STREAM_TTL_MS,
        }
    }
}

/// Software versions that the server list has shown, by service.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    services: BTreeMap<ServiceId, BTreeMap<SoftwareVersion, LastListed>>,
    /// Since when the list has been current without a gap; `None` while it is not.
    current_since_us: Option<MonoTime>,
    /// When the age of the list was last observed.
    observed_us: Option<MonoTime>,
    /// Whether no stream can have begun before that.
    is_first: bool,
    /// Services whose versions before that are known.
    earlier_known: BTreeSet<ServiceId>,
}

impl VersionHistory {
    /// Creates an empty history; with `is_first`, no stream can have begun before it.
    pub fn new(is_first: bool) -> Self {
        Self { is_first, ..Self::default() }
    }

    /// Applies a list: the versions of each service, with repetitions.
    pub fn adopt<'a, Listed>(&mut self, now_us: MonoTime, listed: Listed)
    where
        Listed: Iterator<Item = (&'a str, &'a SoftwareVersion)>,
    {
        for versions in self.services.values_mut() {
            versions.retain(|_, last| last.is_recent(now_us));
            for last in versions.values_mut().filter(|last| **last == LastListed::Now) {
                *last = LastListed::Until(now_us);
            }
        }
        for (service, version) in listed {
            // A service whose name is too long has no routes.
            let Ok(service) = service.parse() else { continue };
            self.services.entry(service).or_default().insert(version.clone(), LastListed::Now);
        }
    }

    /// Observes how old the list is. While it is not current, and while this daemon does not run, versions may come and
    /// go unseen.
    pub fn observe(&mut self, now_us: MonoTime, list_age_us: Option<Micros>) {
        let has_paused = self.observed_us.is_some_and(|before_us| now_us >= before_us + LIST_AGE_MAX_MS);
        self.observed_us = Some(now_us);
        let is_old = list_age_us.is_none_or(|age_us| age_us >= Micros::from(LIST_AGE_MAX_MS));
        let was_current = self.current_since_us.is_some();
        if has_paused || (is_old && was_current) {
            self.is_first = false;
            self.earlier_known.clear();
        }
        if has_paused || is_old {
            self.current_since_us = None;
        } else {
            self.current_since_us.get_or_insert(now_us);
        }
    }

    /// Adds the versions of a service that were listed before now, as another daemon has saved them.
    pub fn adopt_earlier(&mut self, now_us: MonoTime, service: &ServiceId, earlier: &[SoftwareVersion]) {
        let versions = self.services.entry(service.clone()).or_default();
        for version in earlier {
            versions.entry(version.clone()).or_insert(LastListed::Until(now_us));
        }
        if self.current_since_us.is_some() {
            self.earlier_known.insert(service.clone());
        }
    }

    /// Whether the versions of a service are known for the whole lifetime of a stream.
    pub fn is_complete(&self, now_us: MonoTime, service: &ServiceId) -> bool {
        self.current_since_us.is_some_and(|since_us| {
            self.is_first || self.earlier_known.contains(service) || now_us >= since_us + STREAM_TTL_MS
        })
    }

    /// The versions of a service that were listed within the lifetime of a stream.
    pub fn seen(&self, now_us: MonoTime, service: &ServiceId) -> SeenVersions {
        let versions = self.services.get(service).into_iter().flatten();
        let recent = versions.filter(|(_, last)| last.is_recent(now_us)).map(|(version, _)| version.clone());
        SeenVersions { versions: recent.collect(), is_complete: self.is_complete(now_us, service) }
    }

    /// The services with several versions.
    pub fn services_with_several(&self, now_us: MonoTime) -> BTreeSet<ServiceId> {
        let several = self
            .services
            .iter()
            .filter(|(_, versions)| versions.values().filter(|last| last.is_recent(now_us)).nth(1).is_some());
        several.map(|(service, _)| service.clone()).collect()
    }

    /// All services and their versions.
    pub fn all_seen(&self, now_us: MonoTime) -> impl Iterator<Item = (&ServiceId, SeenVersions)> {
        self.services.keys().map(move |service| (service, self.seen(now_us, service)))
    }
}

/// What confirms that no version has come unseen before a caller resumed a stream. What a daemon has seen itself ends at the
/// last confirmation of its list, and the stream may have begun, and broken off, after that.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Confirmation {
    /// All other daemons have replied since then: the one that began the stream has seen its version.
    AllDaemons,
    /// The saved versions were read since then: a version is saved before its first stream begins.
    Saved,
}

/// The only version at which a stream of a service can have begun, by what several daemons have seen; `None` if there
/// were several, or if some may be missing.
pub fn only_version<'a, Seen>(confirmation: Option<Confirmation>, seen: Seen) -> Option<SoftwareVersion>
where
    Seen: Iterator<Item = &'a SeenVersions> + Clone,
{
    confirmation?;
    if !seen.clone().any(|seen| seen.is_complete) {
        return None;
    }
    let mut versions = seen.flat_map(|seen| &seen.versions);
    let first = versions.next()?;
    versions.all(|version| version == first).then(|| first.clone())
}
