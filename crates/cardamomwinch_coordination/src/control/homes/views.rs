//! The homes as known to this host, and the notices about its own shards that it
//! sends to other failure domains.

use std::time;

use cardamomwinch_protocol::peer::homes::{HolderNotice, HomeMessage};
use cardamomwinch_state::prelude::{DomainId, HostId, HostTable, ShardId, SortedVector, Timestamp};

use crate::control::homes::{HomeAction, HomeContext, HomeTable};
use crate::snapshot::ShardView;

/// The interval at which a host sends the list of its shards to one host of
/// another domain.
const NOTICE_INTERVAL: time::Duration = time::Duration::from_secs(2);

impl HomeTable {
    pub(super) fn send_notice(
        &mut self,
        now: Timestamp,
        context: &HomeContext<'_>,
        out: &mut Vec<HomeAction>,
    ) {
        if now < self.next_notice {
            return;
        }
        self.next_notice = now.after(NOTICE_INTERVAL);
        let domain = context.identity.domain;
        let hosts = context.hosts.hosts.values();
        let others: Vec<HostId> = hosts
            .filter(|entry| entry.domain != domain)
            .map(|entry| entry.id)
            .collect();
        if others.is_empty() {
            return;
        }
        self.notices_sent = self.notices_sent.wrapping_add(1);
        out.push(HomeAction::Send {
            host: others[self.notices_sent % others.len()],
            message: HomeMessage::Holders(self.notice(now, context)),
        });
    }

    fn notice(&self, now: Timestamp, context: &HomeContext<'_>) -> HolderNotice {
        HolderNotice {
            domain: context.identity.domain,
            shard_count: self.shard_count,
            held: self.leases.held(now).map(|shard| shard.index).collect(),
            stopped: self.drained,
        }
    }

    /// Notifies every reachable host of another domain that this host is no
    /// longer the home of any shard.
    ///
    /// Guards against datagrams that are relayed to a stopped host until its
    /// heartbeats are missed. Some of them are answers of backend servers, which
    /// are not sent again. The notice is sent once; a host that does not receive it
    /// relays to this host until it considers this host unreachable.
    pub(super) fn announce_stop(
        &self,
        now: Timestamp,
        context: &HomeContext<'_>,
        out: &mut Vec<HomeAction>,
    ) {
        let domain = context.identity.domain;
        let notice = self.notice(now, context);
        let hosts = context.hosts.hosts.values();
        let others = hosts
            .filter(|entry| entry.domain != domain)
            .map(|entry| entry.id)
            .filter(|host| context.membership.is_reachable(now, *host));
        out.extend(others.map(|host| HomeAction::Send {
            host,
            message: HomeMessage::Holders(notice.clone()),
        }));
    }

    /// Recomputes the homes for a snapshot.
    pub fn refresh(&mut self, now: Timestamp, context: &HomeContext<'_>) {
        let mut views = SortedVector::new();
        for domain in domains(context.hosts) {
            let by_shard = self.holders.expected_holders(now, context, domain).to_vec();
            for (index, expected) in (0..).zip(by_shard) {
                let shard = ShardId { domain, index };
                views.insert(shard, self.view(now, context, shard, expected));
            }
        }
        self.views = views;
    }

    pub(super) fn view(
        &self,
        now: Timestamp,
        context: &HomeContext<'_>,
        shard: ShardId,
        expected: Option<HostId>,
    ) -> ShardView {
        let lease = self.leases.lease(now, shard);
        let home = match lease {
            Some(_) => Some(context.identity.host),
            None => self.holders.learned(now, context, shard).or(expected),
        };
        ShardView { home, lease }
    }
}

fn domains(hosts: &HostTable) -> Vec<DomainId> {
    let mut domains: Vec<DomainId> = hosts.hosts.values().map(|host| host.domain).collect();
    domains.sort_unstable();
    domains.dedup();
    domains
}
