//! The publications of the operators, and the hosts' calls to the platform.

use std::time;

use cardamomwinch_coordination::control::event::{PlatformAnswer, PlatformFailure};
use cardamomwinch_coordination::prelude::{
    ControlEvent, PlatformKey, PlatformOutcome, PlatformRequest,
};
use rand::Rng;

use crate::hosts::HostInput;
use crate::platform::WaitingCall;
use crate::policy::HostPolicy;
use crate::world::{CALL_TIMEOUT, PLATFORM_DELAY, WATCH_SPREAD_MILLIS, WorldEvent, WorldRun};

impl<P: HostPolicy> WorldRun<P> {
    pub(super) fn publish_server(&mut self, server: usize) {
        self.publish_fragment(self.options.plan.service_of_server(server));
        self.publish_root();
    }

    pub(super) fn publish_fragment(&mut self, service: usize) {
        let plan = &self.options.plan;
        let text = self.published.fragment(plan, service);
        let key = PlatformKey::Team(plan.services[service].name.to_owned());
        self.revisions[service] = self.publish(key, text);
    }

    pub(super) fn publish_root(&mut self) {
        let text = self.published.root(&self.options.plan, self.revisions);
        self.publish(PlatformKey::Root, text);
    }

    pub(super) fn publish_hosts(&mut self) {
        let text = self.published.host_list(&self.options.plan);
        self.publish(PlatformKey::Hosts, text);
    }

    pub(super) fn publish(&mut self, key: PlatformKey, text: String) -> u64 {
        let (revision, ready) = self.platform.publish(key, text);
        self.finish_watches(ready);
        revision
    }

    pub(super) fn finish_watches(&mut self, ready: Vec<WaitingCall>) {
        for call in ready {
            let spread = self.rng.random_range(0..WATCH_SPREAD_MILLIS);
            let spread = time::Duration::from_millis(spread);
            self.finish_call(call, PLATFORM_DELAY + spread);
        }
    }

    pub(super) fn finish_call(&mut self, call: WaitingCall, delay: time::Duration) {
        let answer = self.platform.answer(&call.request);
        let answer = answer.unwrap_or(PlatformAnswer::Unchanged);
        self.after(delay, WorldEvent::PlatformDone(call, Ok(answer)));
    }

    pub(super) fn call_platform(&mut self, host: usize, request: PlatformRequest) {
        let life = self.hosts[host].start_count;
        let call = WaitingCall {
            host,
            life,
            request,
        };
        match self.network.reaches_platform(self.domain_of(host)) {
            true => self.after(PLATFORM_DELAY, WorldEvent::PlatformCall(call)),
            false => {
                let failed = WorldEvent::PlatformDone(call, Err(PlatformFailure));
                self.after(CALL_TIMEOUT, failed);
            }
        }
    }

    pub(super) fn answer_platform(&mut self, call: WaitingCall) {
        self.platform.calls += 1;
        if self.platform.answer(&call.request).is_some() {
            return self.finish_call(call, PLATFORM_DELAY);
        }
        self.platform.wait(call.clone());
        self.after(call.request.wait, WorldEvent::PlatformTimeout(call));
    }

    pub(super) fn deliver_outcome(
        &mut self,
        call: WaitingCall,
        result: Result<PlatformAnswer, PlatformFailure>,
    ) {
        if result.is_ok() && !self.network.reaches_platform(self.domain_of(call.host)) {
            let failed = WorldEvent::PlatformDone(call, Err(PlatformFailure));
            return self.after(CALL_TIMEOUT, failed);
        }
        if self.hosts[call.host].start_count != call.life {
            return;
        }
        let outcome = PlatformOutcome {
            request: call.request,
            result,
        };
        self.deliver_to_host(
            call.host,
            HostInput::Control(ControlEvent::Platform(outcome)),
        );
    }
}
