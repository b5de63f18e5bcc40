//! The cell through which the control thread passes views to the traffic thread. Neither
//! thread waits for the other.

use std::sync;
use std::sync::atomic;

use arc_swap::ArcSwap;
use cardamomwinch_coordination::forwarding::view::ForwardingView;
use cardamomwinch_transport::prelude::ReadinessSource;

/// The view published last, and whether the host is stopping or cannot reach any server.
#[derive(Debug, Clone)]
pub struct ViewCell {
    view: sync::Arc<ArcSwap<ForwardingView>>,
    stopping: sync::Arc<atomic::AtomicBool>,
    unreachable: sync::Arc<atomic::AtomicBool>,
}

impl Default for ViewCell {
    fn default() -> Self {
        Self {
            view: sync::Arc::new(ArcSwap::from_pointee(ForwardingView::default())),
            stopping: sync::Arc::default(),
            unreachable: sync::Arc::default(),
        }
    }
}

impl ViewCell {
    /// Publishes `view`.
    pub fn publish(&self, view: ForwardingView) {
        self.view.store(sync::Arc::new(view));
    }

    /// The view published last.
    pub fn load(&self) -> sync::Arc<ForwardingView> {
        self.view.load_full()
    }

    /// The view published last, for brief use on the path of packets.
    pub fn borrow(&self) -> arc_swap::Guard<sync::Arc<ForwardingView>> {
        self.view.load()
    }

    /// Sets whether all servers are `unreachable`; the host is not ready meanwhile. Returns
    /// whether the value changed.
    pub fn set_unreachable(&self, unreachable: bool) -> bool {
        let previous = self
            .unreachable
            .swap(unreachable, atomic::Ordering::Relaxed);
        previous != unreachable
    }

    /// Makes the host not ready until the process ends, because it is stopping.
    pub fn begin_stop(&self) {
        self.stopping.store(true, atomic::Ordering::Relaxed);
    }
}

impl ReadinessSource for ViewCell {
    fn is_ready(&self) -> bool {
        let is_set = |flag: &atomic::AtomicBool| flag.load(atomic::Ordering::Relaxed);
        !is_set(&self.stopping) && !is_set(&self.unreachable) && self.borrow().is_usable()
    }
}
