//! The policy by which a host decides: the product, or a baseline.

use cardamomwinch_coordination::prelude::{
    HostBuilder, HostEngine, HostEvent, HostIdentity, HostSink,
};
use cardamomwinch_protocol::prelude::AuthenticationKeys;
use cardamomwinch_state::prelude::Timestamp;

/// The decisions of one host.
pub trait HostPolicy {
    /// Its name in reports.
    const NAME: &'static str;

    /// A host that has just started.
    fn start(identity: HostIdentity, keys: AuthenticationKeys) -> Self;

    /// Handles `event` at `now` and emits the effects into `sink`.
    fn handle<S: HostSink>(&mut self, now: Timestamp, event: HostEvent<'_>, sink: &mut S);
}

impl HostPolicy for HostEngine {
    const NAME: &'static str = "product";

    fn start(identity: HostIdentity, keys: AuthenticationKeys) -> Self {
        HostBuilder::new(identity, keys).build()
    }

    fn handle<S: HostSink>(&mut self, now: Timestamp, event: HostEvent<'_>, sink: &mut S) {
        Self::handle(self, now, event, sink);
    }
}
