//! Items that are sent in several consecutive messages, since any message may be lost.

/// Number of messages that carry each item. With one message in some hundred lost, few daemons miss all of
/// them.
const TRANSMISSIONS: u8 = 3;

/// Items still to be sent, in order of arrival.
#[derive(Clone, Debug)]
pub struct RetransmitQueue<Item> {
    pending: Vec<(u8, Item)>,
}

impl<Item> Default for RetransmitQueue<Item> {
    fn default() -> Self {
        Self { pending: Vec::new() }
    }
}

impl<Item> RetransmitQueue<Item>
where
    Item: Clone,
{
    /// Adds `item` to the next messages.
    pub fn push(&mut self, item: Item) {
        self.pending.push((TRANSMISSIONS, item));
    }

    /// Items for the next message, oldest first, at most `limit` of them.
    pub fn take_oldest(&mut self, limit: usize) -> Vec<Item> {
        let sent = send(self.pending.iter_mut().take(limit));
        self.pending.retain(|(remaining, _)| *remaining > 0);
        sent
    }

    /// Items for the next message, newest first, at most `limit` of them.
    pub fn take_newest(&mut self, limit: usize) -> Vec<Item> {
        let sent = send(self.pending.iter_mut().rev().take(limit));
        self.pending.retain(|(remaining, _)| *remaining > 0);
        sent
    }

    /// All items still to be sent.
    pub fn iter(&self) -> impl Iterator<Item = &Item> {
        self.pending.iter().map(|(_, item)| item)
    }

    /// Drops the items for which `keeps` does not hold.
    pub fn retain<Keeps>(&mut self, keeps: Keeps)
    where
        Keeps: Fn(&Item) -> bool,
    {
        self.pending.retain(|(_, item)| keeps(item));
    }
}

fn send<'a, Item, Due>(due: Due) -> Vec<Item>
where
    Item: Clone + 'a,
    Due: Iterator<Item = &'a mut (u8, Item)>,
{
    due.map(|(remaining, item)| {
        *remaining -= 1;
        item.clone()
    })
    .collect()
}
