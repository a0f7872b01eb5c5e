//! Who does what has to be done by one daemon: rendezvous hashing over the live daemons.
//!
//! Each daemon scores each job with a hash of its own name and the job's; the highest score has the job. All
//! daemons with the same view agree without a message, and when a daemon goes only its own jobs move,
//! spread over all that remain. Two daemons with different views may both think the job theirs, or neither:
//! what may not be done twice is guarded by the platform's log or by the server's own check, never by this.

use crate::ids::{BackendServerId, DataCentreId, HostId, RegionId};
use crate::membership::{Member, MemberState, MembersView};

/// Hash of a job's name, for [`owner_of`].
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct JobHash(pub u64);

/// Hashes a name of a job or host.
pub fn hash_name(name: &str) -> u64 {
    let hash = blake3::hash(name.as_bytes());
    hash.as_bytes().first_chunk().map_or(0, |bytes| u64::from_le_bytes(*bytes))
}

impl JobHash {
    /// A job by its name, such as `claims/17`. The name says the kind first, so that kinds do not collide.
    pub fn of(name: &str) -> Self {
        Self(hash_name(name))
    }

    /// The job of watching a backend server.
    pub fn watching(server: &BackendServerId) -> Self {
        Self(hash_name(server.as_str()).rotate_left(1))
    }
}

/// The finalizer of the splitmix64 generator: spreads each input bit over the whole word.
fn mix(value: u64) -> u64 {
    let mut mixed = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

fn score(job: JobHash, host_hash: u64) -> u64 {
    mix(mix(job.0) ^ host_hash)
}

/// The host among `hosts` that does a job; of no use for what may not be done twice.
pub fn owner_among(job: JobHash, hosts: &[HostId]) -> Option<&HostId> {
    hosts.iter().max_by_key(|host| {
        let host_hash = hash_name(host.as_str());
        (score(job, host_hash), host_hash)
    })
}

fn highest<'view, Members>(job: JobHash, members: Members) -> Option<&'view Member>
where
    Members: Iterator<Item = &'view Member>,
{
    members
        .filter(|member| member.is_eligible())
        .max_by_key(|member| (score(job, member.host_hash), member.host_hash))
}

/// The daemon that watches a backend server: one of the server's data centre, so that a cut between data
/// centres leaves each server with a watcher on its side. None while that data centre has no live daemon.
pub fn watcher_of(
    server: &BackendServerId,
    data_centre: &DataCentreId,
    view: &MembersView,
) -> Option<HostId> {
    highest(JobHash::watching(server), view.in_data_centre(data_centre).iter())
        .map(|member| member.host.clone())
}

/// The daemon that watches a backend server, also when its data centre has lost all its daemons: then one of
/// the region does, for the server's slots would otherwise be granted to nobody. Not while the data centre is
/// merely not heard of: its own daemons go on with their servers, and two watchers would overfill them.
pub fn watcher_in(
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
    highest(JobHash::watching(server), region).map(|member| member.host.clone())
}

/// The daemon that does a job which exists once in the whole system.
pub fn owner_of(job: JobHash, view: &MembersView) -> Option<HostId> {
    highest(job, view.all()).map(|member| member.host.clone())
}

/// The daemons that do a job which each data centre does with `count` daemons, best first.
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

/// Whether this daemon itself watches `server`, by [`watcher_in`]. A daemon that the others no longer hear does
/// not: they have given the server to another by then.
pub fn is_watched_here(
    server: &BackendServerId,
    data_centre: &DataCentreId,
    region: &RegionId,
    view: &MembersView,
) -> bool {
    view.is_heard && watcher_in(server, data_centre, region, view) == view.own_host
}
