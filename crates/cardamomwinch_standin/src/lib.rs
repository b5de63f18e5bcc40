//! Small stand-ins for what surrounds the load balancer: the platform, the
//! fabric, backend servers and callers, and a proxy that injects faults. They
//! serve only tests and demonstrations; the product does not depend on them.
//!
//! ```
//! use cardamomwinch_standin::prelude::*;
//!
//! let executor = TaskExecutor::default();
//! let revision = async_io::block_on(executor.run(async {
//!     let platform = PlatformStandin::start(&executor, PlatformSettings::default()).await?;
//!     platform.put("root", "{}".to_owned());
//!     let reply = http::request(platform.public_address, "GET", "/v1/keys/root", "").await?;
//!     assert_eq!(reply.status, 200);
//!     Ok::<_, StandinError>(reply.json()?["revision"].as_u64())
//! }));
//! assert_eq!(revision.unwrap(), Some(1));
//! ```

pub mod backend;
pub mod backend_state;
pub mod caller;
pub mod caller_state;
pub mod command;
pub mod deployment;
pub mod error;
pub mod fabric;
pub mod faults;
pub mod http;
pub mod load;
pub mod platform;
pub mod process;
pub mod proxy;
pub mod runtime;

/// The items that most users of the stand-ins need.
pub mod prelude {
    pub use crate::backend::{BackendSettings, BackendStandin};
    pub use crate::caller::{CallerClient, CallerSettings, OpenOutcome, RequestOutcome};
    pub use crate::deployment::{
        BackendProcess, Deployment, DeploymentPlan, DomainPlan, HostProcess, ProgramDirectory,
        ServicePlan,
    };
    pub use crate::error::StandinError;
    pub use crate::fabric::{FabricSettings, FabricStandin, SprayMode};
    pub use crate::faults::DatagramFaults;
    pub use crate::http;
    pub use crate::platform::{PlatformSettings, PlatformStandin};
    pub use crate::process::ChildProcess;
    pub use crate::proxy::{ProxyPair, ProxyStandin};
    pub use crate::runtime::TaskExecutor;
}
