//! What a host decides by: the product, or a baseline beside it.

use cardamomwinch_coordination::prelude::{
    HostBuilder, HostEngine, HostEvent, HostIdentity, HostSink,
};
use cardamomwinch_protocol::prelude::AuthenticationKeys;
use cardamomwinch_state::prelude::Timestamp;

/// The decisions of one host.
pub trait HostPolicy {
    /// What tables call it.
    const NAME: &'static str;

    /// A host that has just started.
    fn start(identity: HostIdentity, keys: AuthenticationKeys) -> Self;

    /// Decides about `event` at `now` and gives the effects to `sink`.
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
