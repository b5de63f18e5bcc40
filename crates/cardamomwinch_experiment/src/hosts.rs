//! A host process: it runs, is paused with its datagrams waiting, or is down.

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

/// Datagrams that the sockets of a paused process hold.
const BACKLOG_LIMIT: usize = 2000;
/// As in the daemon, a host that is drained stays until the fabric has handed
/// it nothing for this long.
const QUIET_PERIOD: time::Duration = time::Duration::from_millis(1500);
const SHARED_KEY: [u8; 32] = [7; 32];

/// What reaches a host.
#[derive(Debug, Clone)]
pub enum HostInput {
    /// For control.
    Control(ControlEvent),
    /// From the fabric.
    Fabric(FabricDatagram<'static>),
    /// From another host.
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

/// One host over all its lives.
#[derive(Debug)]
pub struct HostProcess<P> {
    /// The host.
    pub id: HostId,
    domain: DomainId,
    /// Which life this is.
    pub life: u32,
    ahead: time::Duration,
    drained: bool,
    last_fabric: Timestamp,
    state: ProcessState<P>,
}

impl<P: HostPolicy> HostProcess<P> {
    /// A host that is not running yet, whose clock is ahead of the true one.
    pub const fn new(id: HostId, domain: DomainId, ahead: time::Duration) -> Self {
        Self {
            id,
            domain,
            life: 0,
            ahead,
            drained: false,
            last_fabric: Timestamp::ZERO,
            state: ProcessState::Down,
        }
    }

    /// Starts a new life.
    pub fn start(&mut self, now: Timestamp, outputs: &mut Vec<HostOutput>) {
        self.life += 1;
        self.drained = false;
        let identity = HostIdentity {
            host: self.id,
            domain: self.domain,
            incarnation: Incarnation::new(now.after(self.ahead).get()),
        };
        let keys = AuthenticationKeys::new(SecretKey::new(SHARED_KEY), None);
        self.state = ProcessState::Running(Box::new(P::start(identity, keys)));
        self.take(now, HostInput::Control(ControlEvent::Start), outputs);
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        self.state = ProcessState::Down;
    }

    /// Notes that the host holds nothing any more.
    pub const fn note_drained(&mut self) {
        self.drained = true;
    }

    /// Ends the process where it is drained and nothing is handed to it any more.
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

    /// Wakes the process; it finds what came meanwhile.
    pub fn wake(&mut self, now: Timestamp, outputs: &mut Vec<HostOutput>) {
        match std::mem::replace(&mut self.state, ProcessState::Down) {
            ProcessState::Paused(policy, backlog) => {
                self.state = ProcessState::Running(policy);
                for input in backlog {
                    self.take(now, input, outputs);
                }
            }
            other => self.state = other,
        }
    }

    /// Lets the host decide about `input`; what it wants done is added to
    /// `outputs`. Returns whether a process took it.
    pub fn take(
        &mut self,
        now: Timestamp,
        input: HostInput,
        outputs: &mut Vec<HostOutput>,
    ) -> bool {
        if matches!(input, HostInput::Fabric(_)) {
            self.last_fabric = now;
        }
        let now = now.after(self.ahead);
        match &mut self.state {
            ProcessState::Down => false,
            ProcessState::Paused(_, backlog) => {
                let room = backlog.len() < BACKLOG_LIMIT && !matches!(input, HostInput::Tick);
                if room {
                    backlog.push(input);
                }
                room
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
