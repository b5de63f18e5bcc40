//! Failure domains whose servers operators have taken out of service for new flows.

use std::time;

use cardamomwinch_state::prelude::{DomainId, SortedVector, Timestamp};

use crate::forwarding::beliefs::store_call::StoreRevision;

/// For so long an evacuation that ended is remembered, to be told to hosts that still
/// hold it for lasting: more than any host that serves may lag behind.
const ENDED_MEMORY: time::Duration = time::Duration::from_secs(60);
/// For so long an evacuation that a store lacks which came back from a copy still counts:
/// operators write it again within some two seconds.
const MISSING_GRACE: time::Duration = time::Duration::from_secs(3);

/// Whether the servers of a domain may get new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvacuationPhase {
    /// They may not.
    Lasting,
    /// They may not, though the store, which came back from a copy, does not say so.
    Missing {
        /// When this host learned so.
        since: Timestamp,
    },
    /// They may again. All of them may have started anew meanwhile.
    Ended {
        /// When this host learned so.
        at: Timestamp,
    },
}

/// What is known of one evacuation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EvacuationRecord {
    /// The evacuated domain.
    pub domain: DomainId,
    /// Whether it lasts.
    pub phase: EvacuationPhase,
    /// The revision of the store that began or ended it.
    pub changed: StoreRevision,
}

impl EvacuationRecord {
    /// Whether it lasts.
    pub const fn is_lasting(&self) -> bool {
        matches!(
            self.phase,
            EvacuationPhase::Lasting | EvacuationPhase::Missing { .. }
        )
    }

    /// What becomes of it, which counts, by a listing at `revision` that lacks it.
    fn phase_unlisted(&self, revision: StoreRevision, now: Timestamp) -> EvacuationPhase {
        match self.phase {
            _ if self.changed.era() < revision.era() => EvacuationPhase::Missing { since: now },
            // It is ended once it could have been written again.
            EvacuationPhase::Missing { since } => EvacuationPhase::Missing { since },
            _ => EvacuationPhase::Ended { at: now },
        }
    }
}

/// The evacuations that last or ended lately. The later revision of the store wins, in
/// whatever order hosts learn.
#[derive(Debug, Clone, Default)]
pub struct EvacuationTable {
    domains: SortedVector<DomainId, EvacuationRecord>,
}

impl EvacuationTable {
    /// The evacuations, also those that ended lately.
    pub fn iter(&self) -> impl Iterator<Item = &EvacuationRecord> {
        self.domains.values()
    }

    /// Whether the servers of `domain` are to get no new flows.
    pub fn is_evacuated(&self, domain: DomainId) -> bool {
        let record = self.domains.get(&domain);
        record.is_some_and(EvacuationRecord::is_lasting)
    }

    /// The evacuation of `domain`, where it ended lately: when this host learned so, and
    /// by which revision.
    pub fn ended(&self, domain: DomainId) -> Option<(Timestamp, StoreRevision)> {
        let record = self.domains.get(&domain)?;
        match record.phase {
            EvacuationPhase::Lasting | EvacuationPhase::Missing { .. } => None,
            EvacuationPhase::Ended { at } => Some((at, record.changed)),
        }
    }

    /// Takes over `record` unless something later is known. Returns whether that changed
    /// who may get new flows.
    pub fn note(&mut self, record: EvacuationRecord) -> bool {
        let known = self.domains.get(&record.domain);
        if known.is_some_and(|known| known.changed >= record.changed) {
            return false;
        }
        let was_lasting = known.is_some_and(EvacuationRecord::is_lasting);
        self.domains.insert(record.domain, record);
        was_lasting != record.is_lasting()
    }

    /// Takes over a whole listing, read at `revision`: what is not `listed` has ended, but
    /// for what the store may only have lost when it came back from a copy. Returns the
    /// evacuations that began or ended by it.
    pub fn replace(
        &mut self,
        listed: &[EvacuationRecord],
        revision: StoreRevision,
        now: Timestamp,
    ) -> Vec<EvacuationRecord> {
        let is_listed = |domain: DomainId| listed.iter().any(|one| one.domain == domain);
        let missing = self
            .iter()
            .filter(|one| one.is_lasting() && one.changed < revision && !is_listed(one.domain));
        let missing = missing.map(|one| EvacuationRecord {
            domain: one.domain,
            phase: one.phase_unlisted(revision, now),
            changed: revision,
        });
        let records: Vec<_> = missing.chain(listed.iter().copied()).collect();
        records.into_iter().filter(|one| self.note(*one)).collect()
    }

    /// Whether the store may have lost any of those that count.
    pub fn has_missing(&self) -> bool {
        let mut records = self.iter();
        records.any(|one| matches!(one.phase, EvacuationPhase::Missing { .. }))
    }

    /// Ends evacuations that nobody has written again in time. Returns them.
    pub fn end_missing(&mut self, now: Timestamp) -> Vec<EvacuationRecord> {
        let mut ended = Vec::new();
        for (_, record) in self.domains.iter_mut() {
            if let EvacuationPhase::Missing { since } = record.phase
                && now.since(since) >= MISSING_GRACE
            {
                record.phase = EvacuationPhase::Ended { at: now };
                ended.push(*record);
            }
        }
        ended
    }

    /// Whether there is anything to forget or to remember.
    pub fn is_empty(&self) -> bool {
        self.domains.is_empty()
    }

    /// Forgets evacuations that ended long ago. Returns the last revision that ended one
    /// of them.
    pub fn age(&mut self, now: Timestamp) -> Option<StoreRevision> {
        let mut forgotten = None;
        self.domains.retain(|_, record| {
            let keep = match record.phase {
                EvacuationPhase::Lasting | EvacuationPhase::Missing { .. } => true,
                EvacuationPhase::Ended { at } => now.since(at) <= ENDED_MEMORY,
            };
            if !keep {
                forgotten = forgotten.max(Some(record.changed));
            }
            keep
        });
        forgotten
    }
}
