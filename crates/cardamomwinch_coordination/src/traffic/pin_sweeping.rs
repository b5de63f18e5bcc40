//! Removes pins to make room: those whose loss costs least first, and never a pin that a
//! request may still need.
//!
//! Notices need no pin: any host that receives one sends it directly to the caller that it
//! names, so a caller that only listens loses nothing.

use std::time;

use cardamomwinch_state::prelude::{FlowTable, Timestamp};

use crate::routing::generations::MAX_FLOW_DURATION;
use crate::traffic::TrafficEngine;
use crate::traffic::announcing;
use crate::traffic::context::EventContext;
use crate::traffic::effect::TrafficSink;
use crate::traffic::pins::{FlowPin, PinRole};

/// Parts of the pin table that are swept per tick.
const PARTS_PER_TICK: usize = 64;
/// About this many pins are checked at most to make room for one flow, so that refusing
/// many flows is cheap if all pins are in use.
const MAX_PINS_CHECKED: usize = 2048;
/// A learned pin is removed after this time without use.
const LEARNED_IDLE: time::Duration = time::Duration::from_secs(60);
/// If the table is full, pins that a search can replace are removed after this time.
const SEARCHABLE_IDLE: time::Duration = time::Duration::from_secs(600);

/// At most this many flows of one part are announced in one sweep.
const ANNOUNCED_PER_PART: usize = 64;

/// How full the pin table is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum PinPressure {
    /// Only pins of flows that have certainly ended are removed.
    Low,
    /// More than seven eighths of the table are in use.
    High,
    /// There is no room for a new flow.
    Full,
}

impl TrafficEngine {
    pub(crate) fn sweep_pins<S: TrafficSink>(&mut self, context: &mut EventContext<'_, S>) {
        let pressure = match self.pins_nearly_full() {
            true => PinPressure::High,
            false => PinPressure::Low,
        };
        for _ in 0..PARTS_PER_TICK {
            let _seen = self.sweep_next_pins(context, pressure);
        }
    }

    /// Whether more than seven eighths of the table are in use.
    pub(crate) fn pins_nearly_full(&self) -> bool {
        self.pins.len() >= self.bounds.flows / 8 * 7
    }

    /// Tries to make room for one more flow.
    pub(crate) fn make_pin_room<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
    ) -> bool {
        let mut seen = 0;
        for _ in 0..FlowTable::<FlowPin>::part_count() {
            if self.pins.len() < self.bounds.flows || seen >= MAX_PINS_CHECKED {
                break;
            }
            seen += self.sweep_next_pins(context, PinPressure::Full);
        }
        self.pins.len() < self.bounds.flows
    }

    /// Sweeps the next part of the table and returns the number of pins that it held.
    fn sweep_next_pins<S: TrafficSink>(
        &mut self,
        context: &mut EventContext<'_, S>,
        pressure: PinPressure,
    ) -> usize {
        let limits = &context.snapshot.configuration.limits;
        let request_retention = limits.request_lifetime + limits.clock_skew;
        let position = self.pin_position;
        self.pin_position = (position + 1) % FlowTable::<FlowPin>::part_count();
        let mut dropped = Vec::new();
        let mut seen = 0;
        let (now, version) = (context.now, context.snapshot.version());
        let mut to_announce = Vec::new();
        self.pins.retain_part(position, |flow, pin| {
            seen += 1;
            let keep = now < keep_until(pin, request_retention, pressure);
            if keep
                && to_announce.len() < ANNOUNCED_PER_PART
                && announcing::needs_announcement(pin, version)
            {
                pin.announced = version;
                to_announce.push((*flow, pin.claim));
            }
            if !keep {
                dropped.push(*pin);
            }
            keep
        });
        for pin in dropped {
            self.uncount(&pin);
        }
        for (flow, claim) in to_announce {
            self.announce(context, flow, claim);
        }
        seen
    }
}

/// Until when `pin` is kept. A request can use a pin only for `request_retention` after the
/// flow was last seen, because its deadline has passed after that.
fn keep_until(
    pin: &FlowPin,
    request_retention: time::Duration,
    pressure: PinPressure,
) -> Timestamp {
    if pin.is_shed() {
        return pin.since.after(request_retention);
    }
    let idle = match (pin.role, pressure) {
        (PinRole::Learned, PinPressure::Full) => time::Duration::ZERO,
        (PinRole::Learned, _) => LEARNED_IDLE,
        // Copies of the opening may arrive until the deadline of its request. After that,
        // datagrams carry a token, which leads to the server without the pin.
        (PinRole::Redirect, _) if pin.echoes_token => request_retention,
        // The token leads the flow's datagrams to its server without a pin.
        (PinRole::Placed, PinPressure::High | PinPressure::Full) if pin.echoes_token => {
            request_retention
        }
        // A search finds the server, at the cost of asking several servers.
        (_, PinPressure::Full) => SEARCHABLE_IDLE.max(request_retention),
        _ => MAX_FLOW_DURATION,
    };
    pin.last_seen.after(idle)
}
