//! News that ride on other messages: each a few times, those that went least first.

use crate::member::MemberId;
use crate::wire::Update;

/// Times that a piece goes out, over the number of digits of the fleet's size (Das and others, section 4.1).
const TIMES: u32 = 4;

struct Item {
    about: MemberId,
    bytes: Vec<u8>,
    sent: u32,
}

/// Pieces still to be told, one for each member.
#[derive(Default)]
pub(crate) struct Queue(Vec<Item>);

impl Queue {
    /// Tells this from now on, in place of what was told of the member.
    pub(crate) fn tell(&mut self, about: MemberId, news: &Update) {
        let item = Item { about, bytes: news.encode(), sent: 0 };
        match self.0.iter_mut().find(|i| i.about == about) {
            Some(old) => *old = item,
            None => self.0.push(item),
        }
    }

    /// Takes what fits into so many bytes, in a fleet of so many.
    pub(crate) fn take(&mut self, mut room: usize, fleet: usize, into: &mut Vec<Vec<u8>>) {
        if self.0.is_empty() {
            return;
        }
        self.0.sort_by_key(|i| i.sent);
        for item in &mut self.0 {
            // Its length goes before it, in up to two bytes.
            if item.bytes.len() + 2 <= room {
                room -= item.bytes.len() + 2;
                item.sent += 1;
                into.push(item.bytes.clone());
            }
        }
        let most = TIMES * fleet.max(1).ilog10().saturating_add(1);
        self.0.retain(|i| i.sent < most);
    }
}
