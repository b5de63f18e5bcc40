//! A host process: running, paused with its datagrams buffered, or down.

use std::time;

use cardamomwinch_coordination::prelude::{
    ControlEvent, HostEffect, HostEvent, HostIdentity, TrafficEvent,
};
use cardamomwinch_protocol::prelude::{
    AuthenticationKeys, FabricDatagram, RelayEnvelope, SecretKey,
};
use cardamomwinch_state::prelude::{DomainId, HostId, Incarnation, Timestamp};

use crate::policy::HostPolicy;
use crate::wire::HostOutput;

/// The number of datagrams that the sockets of a paused process buffer.
const BACKLOG_LIMIT: usize = 2000;
/// A drained host ends when the fabric has sent it nothing for this time, as in
/// the daemon.
const QUIET_PERIOD: time::Duration = time::Duration::from_millis(1500);
const SHARED_KEY: [u8; 32] = [7; 32];

/// An input of a host.
#[derive(Debug, Clone)]
pub enum HostInput {
    /// An event for the control engine.
    Control(ControlEvent),
    /// A datagram from the fabric.
    Fabric(FabricDatagram<'static>),
    /// A datagram relayed by another host.
    Relay(Box<RelayEnvelope<'static>>),
    /// Time has passed.
    Tick,
}

#[derive(Debug)]
enum ProcessState<P> {
    Down,
    Running(Box<P>),
    Paused(Box<P>, Vec<HostInput>),
}

/// One host with all incarnations of its process.
#[derive(Debug)]
pub struct HostProcess<P> {
    /// The identifier of the host.
    pub id: HostId,
    domain: DomainId,
    /// The number of starts so far, which identifies the present incarnation of the
    /// process.
    pub start_count: u32,
    clock_offset: time::Duration,
    drained: bool,
    last_fabric: Timestamp,
    state: ProcessState<P>,
}

impl<P: HostPolicy> HostProcess<P> {
    /// A host that is not running yet. Its clock is ahead of the true time by
    /// `clock_offset`.
    pub const fn new(id: HostId, domain: DomainId, clock_offset: time::Duration) -> Self {
        Self {
            id,
            domain,
            start_count: 0,
            clock_offset,
            drained: false,
            last_fabric: Timestamp::ZERO,
            state: ProcessState::Down,
        }
    }

    /// Starts a new incarnation of the process.
    pub fn start(&mut self, now: Timestamp, outputs: &mut Vec<HostOutput>) {
        self.start_count += 1;
        self.drained = false;
        let identity = HostIdentity {
            host: self.id,
            domain: self.domain,
            incarnation: Incarnation::new(now.after(self.clock_offset).get()),
        };
        let keys = AuthenticationKeys::new(SecretKey::new(SHARED_KEY), None);
        self.state = ProcessState::Running(Box::new(P::start(identity, keys)));
        self.handle_input(now, HostInput::Control(ControlEvent::Start), outputs);
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        self.state = ProcessState::Down;
    }

    /// Records that the host is drained.
    pub const fn note_drained(&mut self) {
        self.drained = true;
    }

    /// Ends the process if it is drained and the fabric no longer sends it anything.
    pub fn end_if_quiet(&mut self, now: Timestamp) {
        if self.drained && now.since(self.last_fabric) >= QUIET_PERIOD {
            self.kill();
        }
    }

    /// Whether the process exists.
    pub const fn is_up(&self) -> bool {
        !matches!(self.state, ProcessState::Down)
    }

    /// Pauses the process.
    pub fn pause(&mut self) {
        self.state = match std::mem::replace(&mut self.state, ProcessState::Down) {
            ProcessState::Running(policy) => ProcessState::Paused(policy, Vec::new()),
            other => other,
        };
    }

    /// Resumes the process, which then handles its buffered inputs.
    pub fn resume(&mut self, now: Timestamp, outputs: &mut Vec<HostOutput>) {
        match std::mem::replace(&mut self.state, ProcessState::Down) {
            ProcessState::Paused(policy, backlog) => {
                self.state = ProcessState::Running(policy);
                for input in backlog {
                    self.handle_input(now, input, outputs);
                }
            }
            other => self.state = other,
        }
    }

    /// Handles `input` and appends the effects to `outputs`. Returns whether the
    /// process handled or buffered it.
    pub fn handle_input(
        &mut self,
        now: Timestamp,
        input: HostInput,
        outputs: &mut Vec<HostOutput>,
    ) -> bool {
        if matches!(input, HostInput::Fabric(_)) {
            self.last_fabric = now;
        }
        let now = now.after(self.clock_offset);
        match &mut self.state {
            ProcessState::Down => false,
            ProcessState::Paused(_, backlog) => {
                let accepted = backlog.len() < BACKLOG_LIMIT && !matches!(input, HostInput::Tick);
                if accepted {
                    backlog.push(input);
                }
                accepted
            }
            ProcessState::Running(policy) => {
                handle(policy.as_mut(), now, input, outputs);
                true
            }
        }
    }
}

fn handle<P: HostPolicy>(
    policy: &mut P,
    now: Timestamp,
    input: HostInput,
    outputs: &mut Vec<HostOutput>,
) {
    let mut sink = |effect: HostEffect<'_>| outputs.extend(HostOutput::of_effect(effect));
    match input {
        HostInput::Control(event) => policy.handle(now, HostEvent::Control(event), &mut sink),
        HostInput::Fabric(datagram) => {
            let event = TrafficEvent::Fabric(datagram);
            policy.handle(now, HostEvent::Traffic(event), &mut sink);
        }
        HostInput::Relay(envelope) => {
            let event = TrafficEvent::Relay(*envelope);
            policy.handle(now, HostEvent::Traffic(event), &mut sink);
        }
        HostInput::Tick => {
            policy.handle(now, HostEvent::Control(ControlEvent::Tick), &mut sink);
            policy.handle(now, HostEvent::Traffic(TrafficEvent::Tick), &mut sink);
        }
    }
}
