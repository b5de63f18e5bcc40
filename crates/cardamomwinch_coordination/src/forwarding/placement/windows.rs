//! Chooses the server of a new flow within the window of this host.

use cardamomwinch_state::flow;
use cardamomwinch_state::prelude::{BackendId, DomainId};

use crate::forwarding::cold_starts::ColdShare;
use crate::forwarding::directory::ServerRecord;
use crate::forwarding::placement::{
    MAX_SAMPLE, PlacementInput, SAMPLE_SALT, ServerKey, ServerRank,
};
use crate::load::server_window::{HostPosition, ServerWindow};

impl PlacementInput<'_> {
    /// Like [`Self::choose`], but among the servers of the window of the host with `share`,
    /// if one of them can take the flow.
    pub fn choose_in_window(
        &self,
        share: &ColdShare,
        avoid: impl Fn(BackendId) -> bool,
    ) -> Option<&ServerRecord> {
        let chosen = self.window_domain().and_then(|domain| {
            let window = self.window(domain, share)?;
            self.best_in_window(domain, window, &avoid)
        });
        chosen.or_else(|| self.choose(avoid))
    }

    /// The domain whose window is used: the one that the flow is spilled to, or the own one.
    fn window_domain(&self) -> Option<DomainId> {
        self.spill_to.or(self.domain)
    }

    /// The window in `domain`; `None` if the flow is placed as without windows.
    fn window(&self, domain: DomainId, share: &ColdShare) -> Option<ServerWindow> {
        if self.latency_goal.is_zero() {
            return None;
        }
        let servers = self.directory.active_count(self.service, domain);
        let position = HostPosition::new(share.host_number, &share.host_numbers);
        let window = position.window(servers);
        let is_used = !window.covers_all() && self.spill_over_limit().is_none();
        is_used.then_some(window)
    }

    /// The best server of `window`. Servers that cannot take the flow do not count towards
    /// its size. If the own flows of this host fill the slots of each server, the window
    /// doubles until it covers the domain, or [`MAX_SAMPLE`] servers if there are more.
    ///
    /// The window doubles before any server gets more flows than it has slots: while hosts
    /// have different lists of hosts, some servers are in more windows than intended, and
    /// their queues would fill.
    fn best_in_window(
        &self,
        domain: DomainId,
        mut window: ServerWindow,
        avoid: impl Fn(BackendId) -> bool,
    ) -> Option<&ServerRecord> {
        let costs = self.costs();
        let start = window.start() + self.offset_in(window);
        let servers = self.directory.active_from(self.service, domain, start);
        let mut best: Option<(ServerKey, &ServerRecord)> = None;
        let (mut usable, mut has_room) = (0, false);
        for server in servers.take(MAX_SAMPLE) {
            let Some(key) = self.key(server, None, costs, &avoid) else {
                continue;
            };
            if key.avoided || key.rank >= ServerRank::Vanished {
                continue;
            }
            usable += 1;
            has_room |= self.progress.flows(server.id) < server.slots.get();
            if best.is_none_or(|(least, _)| key < least) {
                best = Some((key, server));
            }
            if usable >= window.size() {
                if has_room {
                    break;
                }
                window = window.doubled();
            }
        }
        best.map(|(_, server)| server)
    }

    /// Where in `window` the comparison begins: at a place that depends on the flow, if the
    /// window has more servers than are compared for one flow.
    const fn offset_in(&self, window: ServerWindow) -> usize {
        if window.size() <= MAX_SAMPLE {
            return 0;
        }
        let subject = flow::mix(self.subject ^ SAMPLE_SALT);
        (subject % window.size() as u64) as usize
    }
}
