//! Evacuations: failure domains whose servers may receive no new flows by an operator's
//! command.

use std::time;

use cardamomwinch_state::prelude::{DomainId, SortedVector, Timestamp};

use crate::forwarding::discovery::store_call::StoreRevision;

/// How long an evacuation that ended is kept, so that its end reaches hosts that still
/// consider it active. No host forwards with data that is older than this.
const ENDED_RETENTION: time::Duration = time::Duration::from_secs(60);
/// How long an evacuation stays active that is missing from a store after its restore from
/// a backup. Operators write it again within about two seconds.
const MISSING_GRACE: time::Duration = time::Duration::from_secs(3);

/// Whether the servers of a domain may receive new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvacuationPhase {
    /// They may not.
    Active,
    /// They may not, although the evacuation is missing from the store, which was restored
    /// from a backup.
    Missing {
        /// When this host learned of it.
        since: Timestamp,
    },
    /// They may again. All of them may have been restarted in the meantime.
    Ended {
        /// When this host learned of it.
        at: Timestamp,
    },
}

/// One evacuation and its state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EvacuationRecord {
    /// The evacuated domain.
    pub domain: DomainId,
    /// Whether it is active.
    pub phase: EvacuationPhase,
    /// The revision of the store at which it began or ended.
    pub changed: StoreRevision,
}

impl EvacuationRecord {
    /// Whether it is active, so that servers of the domain receive no new flows.
    pub const fn is_active(&self) -> bool {
        matches!(
            self.phase,
            EvacuationPhase::Active | EvacuationPhase::Missing { .. }
        )
    }

    /// The next phase of this active evacuation after a listing at `revision` without it.
    fn phase_when_unlisted(&self, revision: StoreRevision, now: Timestamp) -> EvacuationPhase {
        match self.phase {
            _ if self.changed.era() < revision.era() => EvacuationPhase::Missing { since: now },
            // Ends only after there was time to write it again.
            EvacuationPhase::Missing { since } => EvacuationPhase::Missing { since },
            _ => EvacuationPhase::Ended { at: now },
        }
    }
}

/// The evacuations that are active or ended recently. The record with the later revision of
/// the store wins, whatever order records come in.
#[derive(Debug, Clone, Default)]
pub struct EvacuationTable {
    domains: SortedVector<DomainId, EvacuationRecord>,
}

impl EvacuationTable {
    /// All evacuations, including those that ended recently.
    pub fn iter(&self) -> impl Iterator<Item = &EvacuationRecord> {
        self.domains.values()
    }

    /// Whether the servers of `domain` may receive no new flows.
    pub fn is_evacuated(&self, domain: DomainId) -> bool {
        let record = self.domains.get(&domain);
        record.is_some_and(EvacuationRecord::is_active)
    }

    /// When this host learned that the evacuation of `domain` ended, and the revision at
    /// which it did; `None` if it is active or did not end recently.
    pub fn ended(&self, domain: DomainId) -> Option<(Timestamp, StoreRevision)> {
        let record = self.domains.get(&domain)?;
        match record.phase {
            EvacuationPhase::Active | EvacuationPhase::Missing { .. } => None,
            EvacuationPhase::Ended { at } => Some((at, record.changed)),
        }
    }

    /// Stores `record` unless a later one is known. Returns whether this changed which
    /// servers may receive new flows.
    pub fn note(&mut self, record: EvacuationRecord) -> bool {
        let known = self.domains.get(&record.domain);
        if known.is_some_and(|known| known.changed >= record.changed) {
            return false;
        }
        let was_active = known.is_some_and(EvacuationRecord::is_active);
        self.domains.insert(record.domain, record);
        was_active != record.is_active()
    }

    /// Applies a complete listing, read at `revision`. Evacuations that are not `listed`
    /// have ended, except those that the store may have lost in a restore from a backup.
    /// Returns the evacuations that began or ended by this.
    pub fn replace(
        &mut self,
        listed: &[EvacuationRecord],
        revision: StoreRevision,
        now: Timestamp,
    ) -> Vec<EvacuationRecord> {
        let is_listed = |domain: DomainId| listed.iter().any(|one| one.domain == domain);
        let missing = self
            .iter()
            .filter(|one| one.is_active() && one.changed < revision && !is_listed(one.domain));
        let missing = missing.map(|one| EvacuationRecord {
            domain: one.domain,
            phase: one.phase_when_unlisted(revision, now),
            changed: revision,
        });
        let records: Vec<_> = missing.chain(listed.iter().copied()).collect();
        records.into_iter().filter(|one| self.note(*one)).collect()
    }

    /// Whether the store may have lost an active evacuation in a restore.
    pub fn has_missing(&self) -> bool {
        let mut records = self.iter();
        records.any(|one| matches!(one.phase, EvacuationPhase::Missing { .. }))
    }

    /// Ends evacuations that were missing after a restore and not written again in time.
    /// Returns them.
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

    /// Whether no evacuation is known, not even one that ended.
    pub fn is_empty(&self) -> bool {
        self.domains.is_empty()
    }

    /// Removes evacuations that ended too long ago. Returns the highest revision at which
    /// one of the removed evacuations ended.
    pub fn expire(&mut self, now: Timestamp) -> Option<StoreRevision> {
        let mut removed_revision = None;
        self.domains.retain(|_, record| {
            let keep = match record.phase {
                EvacuationPhase::Active | EvacuationPhase::Missing { .. } => true,
                EvacuationPhase::Ended { at } => now.since(at) <= ENDED_RETENTION,
            };
            if !keep {
                removed_revision = removed_revision.max(Some(record.changed));
            }
            keep
        });
        removed_revision
    }
}
