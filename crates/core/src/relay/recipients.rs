//! Whom a daemon sends its messages to.
//!
//! Load: hundreds of daemons. Harm prevented: if each sends to all, every daemon added costs each of them one more message
//! to send and one to receive, and all together the square of their number. So a large fleet talks inside its data centres,
//! and a few links of each daemon join these: whatever is news on one of them is news to the whole data centre.

use std::collections::BTreeMap;

use crate::ids::{DataCentreId, HostId};
use crate::quota::candidates;

/// How far messages go.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Reach {
    /// To all daemons.
    #[default]
    Everyone,
    /// To the daemons of the own data centre, and over links to others.
    DataCentre,
}

impl Reach {
    /// Of each of so many daemons.
    pub fn among(daemons: usize) -> Self {
        if daemons > EVERYONE_MAX { Self::DataCentre } else { Self::Everyone }
    }
}

/// Daemons up to which each sends to all others.
const EVERYONE_MAX: usize = 256;

/// Daemons of another data centre that one daemon may use as its link there. The first that lives is used.
const LINK_CANDIDATES: usize = 3;

/// Whom one daemon sends its messages to.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Audience {
    /// How far its messages go.
    pub reach: Reach,
    /// Each of them gets every message.
    pub members: Vec<HostId>,
    /// By data centre: one of them gets every message, the first that lives.
    pub links: BTreeMap<DataCentreId, Vec<HostId>>,
}

impl Audience {
    /// Of the daemon on `own`, among all others and itself.
    pub fn of<'a, Others>(own: &HostId, data_centre: &DataCentreId, others: Others) -> Self
    where
        Others: Iterator<Item = (&'a HostId, &'a DataCentreId)> + Clone,
    {
        let reach = Reach::among(others.clone().count() + 1);
        let mut audience = Self { reach, ..Self::default() };
        for (host, at) in others {
            if reach == Reach::Everyone || at == data_centre {
                audience.members.push(host.clone());
            } else {
                audience.links.entry(at.clone()).or_default().push(host.clone());
            }
        }
        for hosts in audience.links.values_mut() {
            *hosts = candidates(own.as_str(), std::mem::take(hosts));
            hosts.truncate(LINK_CANDIDATES);
        }
        audience
    }
}
