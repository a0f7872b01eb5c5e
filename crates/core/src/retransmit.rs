//! Items that go out in several messages in a row, since any one message may be lost.

/// Messages that carry each item. With one message in some hundred lost, few daemons miss all of them.
const TRANSMISSIONS: u8 = 3;

/// Items that are still to be sent, in the order in which they came.
#[derive(Clone, Debug)]
pub struct Repeats<Item> {
    pending: Vec<(u8, Item)>,
}

impl<Item> Default for Repeats<Item> {
    fn default() -> Self {
        Self { pending: Vec::new() }
    }
}

impl<Item> Repeats<Item>
where
    Item: Clone,
{
    /// Has the next messages carry `item`.
    pub fn push(&mut self, item: Item) {
        self.pending.push((TRANSMISSIONS, item));
    }

    /// What the next message carries, the oldest first, at most `limit` of them.
    pub fn oldest(&mut self, limit: usize) -> Vec<Item> {
        let sent = send(self.pending.iter_mut().take(limit));
        self.pending.retain(|(left, _)| *left > 0);
        sent
    }

    /// The same with the newest first.
    pub fn newest(&mut self, limit: usize) -> Vec<Item> {
        let sent = send(self.pending.iter_mut().rev().take(limit));
        self.pending.retain(|(left, _)| *left > 0);
        sent
    }

    /// All items that are still to be sent.
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
    due.map(|(left, item)| {
        *left -= 1;
        item.clone()
    })
    .collect()
}
