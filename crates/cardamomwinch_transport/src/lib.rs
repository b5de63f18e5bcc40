//! Sockets, timers, the platform client, endpoints, logs and metrics on
//! async-io. This crate only moves bytes and timer events between the outside and
//! the layers above it, which make all decisions.
//!
//! ```
//! use std::time;
//!
//! use cardamomwinch_transport::prelude::*;
//!
//! let service = TimerService::new(HostClock::start());
//! let deadline = service.clock().now().after(time::Duration::from_millis(2));
//! let mut subscription = service.subscribe_deadline("drained", deadline);
//! let event = async_io::block_on(subscription.next()).unwrap();
//! assert_eq!(event.key, "drained");
//! assert!(event.actual >= event.planned);
//! ```

pub mod clock;
mod connection_limit;
pub mod datagram;
pub mod decision_logger;
pub mod executor;
pub mod http_client;
pub mod load_client;
pub mod log_sink;
mod metrics_recorder;
pub mod metrics_sink;
pub mod peer_frame;
pub mod peer_rpc;
pub mod platform_client;
mod rpc_dispatch;
pub mod rpc_endpoint;
pub mod timer;

/// What users of the transport need most often.
pub mod prelude {
    pub use crate::clock::{Clock, HostClock};
    pub use crate::datagram::{
        BlockingSocket, DatagramError, DatagramOptions, DatagramSocket, ReceivedDatagram,
    };
    pub use crate::decision_logger::{DecisionLogger, DecisionRecord};
    pub use crate::executor::{ExecutorThread, ThreadError};
    pub use crate::load_client::{LoadClient, LoadError};
    pub use crate::log_sink::{LogError, LogSink};
    pub use crate::metrics_sink::{MetricsError, MetricsSink};
    pub use crate::peer_rpc::{CallLimits, PeerClient, PeerLimits, PeerRpcError, PeerServer};
    pub use crate::platform_client::{
        KeyReading, PlatformClient, PlatformError, PlatformKey, WatchOutcome,
    };
    pub use crate::rpc_endpoint::{
        EndpointError, EndpointLimits, MetricsSource, ReadinessSource, RpcEndpoint,
    };
    pub use crate::timer::{TickPlan, TimerEvent, TimerService, TimerSubscription};
}
