//! When packets that this host sent got through.
//!
//! Guards against a host whose own link is full, of a large configuration that others
//! ask it for: what it sends is lost for a tenth of a second, to all servers alike.
//! It shows as flows that are reset though their servers serve: callers repeat
//! themselves, and where a host sees one or two flows of each server, two losses in
//! a row would be taken for a server that has gone. A loss counts against a server
//! only where something sent at about the same moment to anybody arrived.

use std::time;

use cardamomwinch_state::prelude::{BackendId, SortedVector, Timestamp};

/// The resolution of the record.
const MOMENT: time::Duration = time::Duration::from_millis(20);
/// So many moments are remembered, four seconds: callers send data again after 1.6
/// seconds at the latest, and that is when a loss is noticed.
const MOMENTS: usize = 200;
/// Something must have arrived so many moments before the loss at most, and so many after
/// it, a tenth of a second each. The least busy hosts forward 25 packets a second that are
/// answered at once, so that five losses in six can be judged; fuller links lose
/// everything for longer than that.
const REACH: u64 = 5;

/// So many servers that answered only after a repetition show that this host loses or
/// delays what it sends: a full link lets a part through, so that losses next to
/// deliveries say nothing either. A server that has gone never answers.
const LATE_SERVERS: usize = 2;
/// For so long each of them counts: as long as a host with a narrow link is busy passing
/// a large configuration on, which drops packets now and then all the while. A flow that
/// is reset although its server serves breaks a promise; one that is told of a server's
/// end later costs its caller that time.
const LATE_MEMORY: time::Duration = time::Duration::from_secs(4);

/// The latest moments at which something got through.
#[derive(Debug)]
pub struct DeliveryRecord {
    moments: [u64; MOMENTS],
    /// The servers that answered a repetition, and when they did last.
    late: SortedVector<BackendId, Timestamp>,
}

impl Default for DeliveryRecord {
    fn default() -> Self {
        Self {
            moments: [0; MOMENTS],
            late: SortedVector::default(),
        }
    }
}

fn moment_of(sent_at: Timestamp) -> u64 {
    sent_at.since(Timestamp::ZERO).as_millis() as u64 / MOMENT.as_millis() as u64
}

impl DeliveryRecord {
    /// What was sent at `sent_at` arrived: it was answered before its caller would
    /// have sent it again.
    pub fn note(&mut self, sent_at: Timestamp) {
        let moment = moment_of(sent_at);
        let held = &mut self.moments[moment as usize % MOMENTS];
        *held = moment.max(*held);
    }

    /// `server` answered what had to be sent to it again.
    pub fn note_late(&mut self, server: BackendId, now: Timestamp) {
        self.late.insert(server, now);
    }

    /// Whether several servers needed repetitions a moment ago though they live, so that
    /// repetitions say nothing about any server.
    pub fn is_in_doubt(&self, now: Timestamp) -> bool {
        let recent = |at: &&Timestamp| now.since(**at) <= LATE_MEMORY;
        self.late.values().filter(recent).count() >= LATE_SERVERS
    }

    /// Forgets servers that answered late long ago.
    pub fn sweep(&mut self, now: Timestamp) {
        self.late.retain(|_, at| now.since(*at) <= LATE_MEMORY);
    }

    /// Whether things that were sent shortly before and shortly after `sent_at`, or at
    /// the same moment, arrived.
    pub fn was_open_at(&self, sent_at: Timestamp) -> bool {
        let moment = moment_of(sent_at);
        let arrived = |moment: u64| self.moments[moment as usize % MOMENTS] == moment;
        let before = (moment.saturating_sub(REACH)..=moment).any(arrived);
        before && (moment..=moment + REACH).any(arrived)
    }
}
