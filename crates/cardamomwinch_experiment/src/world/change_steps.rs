//! Carries out the steps of a scenario.

use std::time;

use cardamomwinch_coordination::prelude::ControlEvent;
use rand::Rng;

use crate::changes::ChangeStep;
use crate::documents;
use crate::hosts::{HostInput, HostProcess};
use crate::policy::HostPolicy;
use crate::world::{
    CLOCK_SPREAD_MICROS, COLD_DURATION, DEATH_LAG, FABRIC_LAG, LIST_LAG, READY_DELAY, TICK,
    WorldEvent, WorldRun,
};

impl<P: HostPolicy> WorldRun<P> {
    pub(super) fn change(&mut self, step: ChangeStep) {
        match step {
            ChangeStep::SwitchPreset => {
                self.published.preset = documents::PEAK_PRESET;
                self.publish_root();
            }
            ChangeStep::Drain(server) => {
                self.published.draining.push(server);
                self.servers[server].draining = true;
                self.publish_server(server);
            }
            ChangeStep::Remove(server) => {
                self.published.removed.push(server);
                self.servers[server].draining = true;
                self.publish_server(server);
            }
            ChangeStep::Move(server) => {
                self.published.moved.push(server);
                self.moved_at = self.now;
                self.servers[server].restart_for(0, self.now.after(COLD_DURATION));
                self.publish_fragment(0);
                self.publish_root();
            }
            ChangeStep::Start(host) => {
                self.start_host(host, READY_DELAY);
                self.list(host, false);
            }
            ChangeStep::Stop(host) => self.stop(host),
            ChangeStep::End(host) => {
                self.hosts[host].kill();
                self.published.hosts.remove(&host);
                self.after(LIST_LAG, WorldEvent::PublishHosts);
            }
            ChangeStep::Kill(host) => {
                let start_count = self.hosts[host].start_count;
                self.hosts[host].kill();
                self.after(FABRIC_LAG, WorldEvent::Spray(host, false));
                self.after(DEATH_LAG, WorldEvent::Unlist(host, start_count));
            }
            ChangeStep::Cut(domain) => self.network.cut = Some(domain),
            ChangeStep::Heal => self.network.cut = None,
            ChangeStep::Stale(stale) => {
                let ready = self.platform.set_stale(stale);
                self.finish_watches(ready);
            }
            ChangeStep::Pause(host) => {
                self.hosts[host].pause();
                self.after(FABRIC_LAG * 2, WorldEvent::Spray(host, false));
            }
            ChangeStep::Wake(host) => {
                let mut outputs = Vec::new();
                self.hosts[host].resume(self.now, &mut outputs);
                self.apply_host_outputs(host, outputs);
                self.after(FABRIC_LAG, WorldEvent::Spray(host, true));
            }
        }
    }

    pub(super) fn stop(&mut self, host: usize) {
        if !self.hosts[host].is_up() {
            return;
        }
        self.list(host, true);
        self.after(FABRIC_LAG, WorldEvent::Spray(host, false));
        self.deliver_to_host(host, HostInput::Control(ControlEvent::Stop));
    }

    pub(super) fn list(&mut self, host: usize, leaving: bool) {
        self.published.hosts.insert(host, leaving);
        self.after(LIST_LAG, WorldEvent::PublishHosts);
    }

    pub(super) fn unlist(&mut self, host: usize, start_count: u32) {
        if self.hosts[host].start_count == start_count {
            self.published.hosts.remove(&host);
            self.publish_hosts();
        }
    }

    pub(super) fn update_fabric_hosts(&mut self, host: usize, included: bool) {
        self.network.fabric_hosts.retain(|other| *other != host);
        if included && self.hosts[host].is_up() {
            self.network.fabric_hosts.push(host);
        }
    }

    pub(super) fn start_host(&mut self, host: usize, ready: time::Duration) {
        if host == self.hosts.len() {
            let id = self.options.plan.host_id(host);
            let domain = self.options.plan.domain_id(self.domain_of(host));
            let clock_offset = self.rng.random_range(0..CLOCK_SPREAD_MICROS);
            let clock_offset = time::Duration::from_micros(clock_offset);
            self.hosts.push(HostProcess::new(id, domain, clock_offset));
            self.host_index.insert(id, host);
        }
        let mut outputs = Vec::new();
        self.hosts[host].start(self.now, &mut outputs);
        let start_count = self.hosts[host].start_count;
        let phase = TICK.mul_f64(self.rng.random());
        self.after(phase, WorldEvent::Tick(host, start_count));
        self.after(ready, WorldEvent::Spray(host, true));
        self.apply_host_outputs(host, outputs);
    }
}
