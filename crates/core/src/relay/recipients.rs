//! Which daemons a daemon sends its messages to.
//!
//! If each of hundreds of daemons sends to all, every added daemon costs each of them one more message to
//! send and one to receive, and the total grows with the square of their number. So in a large fleet messages
//! stay within a data centre, and a few links of each daemon connect the data centres: an update that arrives
//! over one of them spreads in the whole data centre.

use std::collections::BTreeMap;

use crate::ids::{DataCentreId, HostId};
use crate::quota::candidates;

/// Scope of a daemon's messages.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum BroadcastScope {
    /// All daemons.
    #[default]
    AllDaemons,
    /// The daemons of the own data centre, and links to the other data centres.
    DataCentre,
}

impl BroadcastScope {
    /// Scope in a fleet of this many daemons.
    pub fn for_daemon_count(daemons: usize) -> Self {
        if daemons > FULL_MESH_MAX_DAEMONS { Self::DataCentre } else { Self::AllDaemons }
    }
}

/// Largest number of daemons at which each sends to all others.
const FULL_MESH_MAX_DAEMONS: usize = 256;

/// Daemons of another data centre that a daemon may use as its link there. The first live one is used.
const LINK_CANDIDATES: usize = 3;

/// Daemons that one daemon sends its messages to.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Recipients {
    /// Scope of its messages.
    pub scope: BroadcastScope,
    /// Daemons that get every message.
    pub members: Vec<HostId>,
    /// Candidates by data centre; the first live one gets every message.
    pub links: BTreeMap<DataCentreId, Vec<HostId>>,
}

impl Recipients {
    /// Selects the recipients of the daemon on `own`; `others` are all daemons without it.
    pub fn select<'a, Others>(own: &HostId, data_centre: &DataCentreId, others: Others) -> Self
    where
        Others: Iterator<Item = (&'a HostId, &'a DataCentreId)> + Clone,
    {
        let scope = BroadcastScope::for_daemon_count(others.clone().count() + 1);
        let mut recipients = Self { scope, ..Self::default() };
        for (host, other_data_centre) in others {
            if scope == BroadcastScope::AllDaemons || other_data_centre == data_centre {
                recipients.members.push(host.clone());
            } else {
                recipients.links.entry(other_data_centre.clone()).or_default().push(host.clone());
            }
        }
        for hosts in recipients.links.values_mut() {
            *hosts = candidates(own.as_str(), std::mem::take(hosts));
            hosts.truncate(LINK_CANDIDATES);
        }
        recipients
    }
}

/// Orders daemons so that the first few of them are spread over the data centres: one of each in turn, the `own` one first.
/// Faults often concern all daemons of a data centre, so that several of one may be all of a kind.
pub fn spread<Daemon, DataCentre>(
    own: &DataCentreId,
    daemons: Vec<Daemon>,
    data_centre: DataCentre,
) -> Vec<Daemon>
where
    DataCentre: Fn(&Daemon) -> DataCentreId,
{
    let mut turns: BTreeMap<DataCentreId, usize> = BTreeMap::new();
    let turn_of = |daemon: &Daemon| {
        let name = data_centre(daemon);
        let turn = turns.entry(name.clone()).or_default();
        *turn += 1;
        (*turn, name != *own)
    };
    let keys: Vec<(usize, bool)> = daemons.iter().map(turn_of).collect();
    let mut keyed: Vec<_> = keys.into_iter().zip(daemons).collect();
    keyed.sort_by_key(|(key, _)| *key);
    keyed.into_iter().map(|(_, daemon)| daemon).collect()
}
