//! Assignment of jobs that one daemon has to do: rendezvous hashing over the live daemons.
//!
//! Each daemon is scored for each job with a hash over the daemon's and the job's name, and the highest score
//! owns the job. All daemons with the same view agree without messages. When a daemon fails, only its own
//! jobs move, spread over all others. Daemons with different views may both claim a job, or neither;
//! operations that must not run twice are guarded by the platform's log or by the server's own check instead.

use crate::ids::{BackendServerId, DataCentreId, HostId, RegionId};
use crate::membership::{Member, MemberState, MembersView};

/// Hash of a job's name, for [`owner_of`].
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct JobHash(pub u64);

/// Hashes the name of a job or host.
pub fn hash_name(name: &str) -> u64 {
    let hash = blake3::hash(name.as_bytes());
    hash.as_bytes().first_chunk().map_or(0, |bytes| u64::from_le_bytes(*bytes))
}

impl JobHash {
    /// Hashes a job name such as `claims/17`. The name starts with the kind of job, so that kinds do not
    /// collide.
    pub fn of(name: &str) -> Self {
        Self(hash_name(name))
    }

    /// Hash of the job of monitoring a backend server.
    pub fn for_server(server: &BackendServerId) -> Self {
        Self(hash_name(server.as_str()).rotate_left(1))
    }
}

/// The splitmix64 finalizer, which diffuses each input bit over the whole word.
fn mix(value: u64) -> u64 {
    let mut mixed = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

fn score(job: JobHash, host_hash: u64) -> u64 {
    mix(mix(job.0) ^ host_hash)
}

/// The host among `hosts` that owns a job. It gives no mutual exclusion.
pub fn owner_among(job: JobHash, hosts: &[HostId]) -> Option<&HostId> {
    hosts.iter().max_by_key(|host| {
        let host_hash = hash_name(host.as_str());
        (score(job, host_hash), host_hash)
    })
}

fn highest_scoring<'view, Members>(job: JobHash, members: Members) -> Option<&'view Member>
where
    Members: Iterator<Item = &'view Member>,
{
    members
        .filter(|member| member.is_eligible())
        .max_by_key(|member| (score(job, member.host_hash), member.host_hash))
}

/// The daemon that monitors a backend server. It is in the server's data centre, so that a partition between
/// data centres leaves each server with a reachable watcher. `None` if that data centre has no live daemon.
pub fn watcher_of(
    server: &BackendServerId,
    data_centre: &DataCentreId,
    view: &MembersView,
) -> Option<HostId> {
    highest_scoring(JobHash::for_server(server), view.in_data_centre(data_centre).iter())
        .map(|member| member.host.clone())
}

/// The daemon that monitors a backend server. If the server's data centre has lost all its daemons, one of
/// the region takes over, because otherwise the server's slots would not be granted at all. It does not while
/// the data centre is merely unreachable: its own daemons continue, and two watchers would overcommit the
/// server.
pub fn watcher_with_fallback(
    server: &BackendServerId,
    data_centre: &DataCentreId,
    region: &RegionId,
    view: &MembersView,
) -> Option<HostId> {
    let own = view.in_data_centre(data_centre);
    if own.iter().any(|member| member.is_eligible() || member.state == MemberState::Unreachable) {
        return watcher_of(server, data_centre, view);
    }
    let region = view.all().filter(|member| member.region == *region);
    highest_scoring(JobHash::for_server(server), region).map(|member| member.host.clone())
}

/// The daemon that owns a job which exists once in the whole system.
pub fn owner_of(job: JobHash, view: &MembersView) -> Option<HostId> {
    highest_scoring(job, view.all()).map(|member| member.host.clone())
}

/// The `count` daemons of a data centre that own a job, highest score first.
pub fn owners_in(job: JobHash, data_centre: &DataCentreId, count: usize, view: &MembersView) -> Vec<HostId> {
    let mut scored: Vec<(u64, &Member)> = view
        .in_data_centre(data_centre)
        .iter()
        .filter(|member| member.is_eligible())
        .map(|member| (score(job, member.host_hash), member))
        .collect();
    scored.sort_unstable_by_key(|(score, _)| std::cmp::Reverse(*score));
    scored.into_iter().take(count).map(|(_, member)| member.host.clone()).collect()
}

/// Whether this daemon monitors `server`, by [`watcher_with_fallback`]. A daemon whose heartbeats are not received does
/// not, since its peers have reassigned the server.
pub fn is_watched_here(
    server: &BackendServerId,
    data_centre: &DataCentreId,
    region: &RegionId,
    view: &MembersView,
) -> bool {
    view.is_heard && watcher_with_fallback(server, data_centre, region, view) == view.own_host
}
