//! Callers that open many short flows in one failure domain while a surge lasts.

use std::net;
use std::sync;
use std::thread;
use std::time;

use crate::caller::{CallerBehavior, SoakCaller};
use crate::network::SoakNetwork;
use crate::observations::SoakObservations;

/// The number of callers. Each has one flow at a time; the servers of a service in one
/// domain take 20 requests at the start, of which they run four.
pub(crate) const SURGE_CALLERS: u8 = 32;
/// The pause before a request, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 0..2;
/// How often callers look whether a surge lasts.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Starts a caller whose flows go to `service` during surges.
pub(crate) fn start_caller(
    name: &str,
    service: net::SocketAddrV4,
    address: net::SocketAddrV4,
    observations: SoakObservations,
    network: sync::Arc<SoakNetwork>,
) -> thread::JoinHandle<()> {
    let behavior = CallerBehavior {
        name: name.to_owned(),
        service,
        domain: 0,
        requests: 1,
        idle_ms: PAUSE_MS,
        counts: false,
    };
    let mut caller = SoakCaller::new(behavior, address, observations, network.clone());
    thread::spawn(move || {
        while !network.is_ended() {
            match network.surge() {
                Some(domain) => caller.run_once(domain),
                None => thread::sleep(POLL_INTERVAL),
            }
        }
    })
}
