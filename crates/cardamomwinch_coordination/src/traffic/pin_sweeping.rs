//! Makes room among the pins: those whose loss costs least go first, and none
//! that a request may still need.
//!
//! Notices need no pin: whichever host gets one sends it straight to the caller
//! that it names, so a caller that only listens loses nothing by a sweep.

use std::time;

use cardamomwinch_state::prelude::{FlowTable, Timestamp};

use crate::routing::generations::FLOW_LIFE;
use crate::traffic::TrafficEngine;
use crate::traffic::announcing;
use crate::traffic::context::EventContext;
use crate::traffic::effect::TrafficSink;
use crate::traffic::pins::{FlowPin, PinRole};

/// Parts of the pin table that one tick sweeps.
const PARTS_PER_TICK: usize = 64;
/// Pins that are looked at, and no more than about these, to make room for one
/// flow: where all are in use, refusing many flows must not cost much.
const PINS_FOR_ROOM: usize = 2048;
/// A learned pin that was not used for this long is forgotten.
const LEARNED_IDLE: time::Duration = time::Duration::from_secs(60);
/// Where room is short, pins whose loss a search makes good go after this.
const SEARCHABLE_IDLE: time::Duration = time::Duration::from_secs(600);

/// Flows of one part that are looked at at once for where the table leads now.
const ANNOUNCED_PER_PART: usize = 64;

/// How short room is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum PinPressure {
    /// Only what is certainly dead goes.
    Low,
    /// More than seven eighths are taken.
    High,
    /// A new flow finds no room.
    Full,
}

impl TrafficEngine {
    pub(crate) fn sweep_pins<S: TrafficSink>(&mut self, context: &mut EventContext<'_, S>) {
        let pressure = match self.pins_are_short() {
            true => PinPressure::High,
            false => PinPressure::Low,
        };
        for _ in 0..PARTS_PER_TICK {
            let _seen = self.sweep_next_pins(context, pressure);
        }
    }

    /// Whether more than seven eighths of the room are taken.
    pub(crate) fn pins_are_short(&self) -> bool {
        self.pins.len() >= self.bounds.flows / 8 * 7
    }

    /// Tries to make room for one more flow.
    pub(crate) fn make_pin_room<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
    ) -> bool {
        let mut seen = 0;
        for _ in 0..FlowTable::<FlowPin>::part_count() {
            if self.pins.len() < self.bounds.flows || seen >= PINS_FOR_ROOM {
                break;
            }
            seen += self.sweep_next_pins(context, PinPressure::Full);
        }
        self.pins.len() < self.bounds.flows
    }

    /// Sweeps the next part of the table and returns how many pins it held.
    fn sweep_next_pins<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        pressure: PinPressure,
    ) -> usize {
        let limits = &context.snapshot.configuration.limits;
        let request_life = limits.request_lifetime + limits.clock_skew;
        let position = self.pin_position;
        self.pin_position = (position + 1) % FlowTable::<FlowPin>::part_count();
        let mut dropped = Vec::new();
        let mut seen = 0;
        let (now, version) = (context.now, context.snapshot.version());
        let mut moved = Vec::new();
        self.pins.retain_part(position, |flow, pin| {
            seen += 1;
            let keep = now < keep_until(pin, request_life, pressure);
            if keep && moved.len() < ANNOUNCED_PER_PART && announcing::is_due(pin, version) {
                pin.announced = version;
                moved.push((*flow, pin.claim));
            }
            if !keep {
                dropped.push(*pin);
            }
            keep
        });
        for pin in dropped {
            self.uncount(&pin);
        }
        for (flow, claim) in moved {
            self.announce(context, flow, claim);
        }
        seen
    }
}

/// How long `pin` is kept. A request can only use a pin for `request_life` after
/// the flow was last seen, because its deadline has passed then.
fn keep_until(pin: &FlowPin, request_life: time::Duration, pressure: PinPressure) -> Timestamp {
    let idle = match (pin.role, pressure) {
        (PinRole::Learned, PinPressure::Full) => time::Duration::ZERO,
        (PinRole::Learned, _) => LEARNED_IDLE,
        // Copies of the opening may come until the deadline of its request; the
        // token or the home that it names knows the way afterwards.
        (PinRole::Redirect, _) if pin.echoes_token => request_life,
        // The token brings the flow's datagrams to its server without a pin.
        (PinRole::Placed, PinPressure::High | PinPressure::Full) if pin.echoes_token => {
            request_life
        }
        // A search finds the server, at the cost of asking several.
        (_, PinPressure::Full) => SEARCHABLE_IDLE.max(request_life),
        _ => FLOW_LIFE,
    };
    pin.last_seen.after(idle)
}
