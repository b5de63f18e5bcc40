//! The fabric: delivers each datagram to any entry host, and loses, duplicates,
//! delays and reorders datagrams as configured.
//!
//! Callers send a `CallerDatagram` and backend servers a `BackendReply`; the
//! fabric does not decode them and delivers both as a `FabricDatagram`.

use std::net;
use std::str;
use std::sync;
use std::sync::atomic;

use async_executor::Task;
use async_net::UdpSocket;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::error::{SocketSnafu, StandinError};
use crate::faults::{self, DatagramFaults};
use crate::http::{self, HttpAction, HttpReply, HttpRequest};
use crate::runtime::{self, TaskExecutor};

/// The position of a variant of `FabricDatagram`. The codec writes it as one byte
/// before the content, so the fabric prepends this byte to each datagram.
#[derive(Debug, Clone, Copy)]
#[repr(u8)]
enum FabricSide {
    Caller = 0,
    Backend = 1,
}

/// How the entry host of a datagram is chosen.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum SprayMode {
    /// At random.
    #[default]
    Random,
    /// In rotation, so that consecutive datagrams reach different hosts.
    Rotate,
}

impl str::FromStr for SprayMode {
    type Err = SprayParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "random" => Ok(Self::Random),
            "rotate" => Ok(Self::Rotate),
            _ => Err(SprayParseError),
        }
    }
}

/// Text that is neither `random` nor `rotate`.
#[derive(Debug, Clone, Copy)]
#[derive(snafu::Snafu)]
#[snafu(display("expected random or rotate"))]
pub struct SprayParseError;

/// The settings of a fabric.
#[derive(Debug, Clone)]
pub struct FabricSettings {
    /// The address to which callers send.
    pub callers: net::SocketAddr,
    /// The address to which backend servers send.
    pub returns: net::SocketAddr,
    /// The address of the control listener.
    pub control: net::SocketAddr,
    /// How hosts are chosen.
    pub spray: SprayMode,
    /// Makes the choices repeatable.
    pub seed: u64,
    /// The traffic addresses of the entry hosts.
    pub hosts: Vec<net::SocketAddr>,
}

impl Default for FabricSettings {
    fn default() -> Self {
        let any = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        Self {
            callers: any,
            returns: any,
            control: any,
            spray: SprayMode::Random,
            seed: 1,
            hosts: Vec::new(),
        }
    }
}

/// Answer to `GET /v1/statistics`.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FabricStatistics {
    /// Datagrams from callers.
    pub from_callers: u64,
    /// Datagrams from backend servers.
    pub from_backends: u64,
    /// Datagrams sent to a host, each copy counted.
    pub delivered: u64,
    /// Datagrams that were lost on purpose.
    pub lost: u64,
    /// Datagrams that were duplicated on purpose.
    pub doubled: u64,
    /// Datagrams dropped because no host was known.
    pub without_host: u64,
}

#[derive(Debug)]
struct FabricState {
    hosts: Vec<net::SocketAddr>,
    faults: DatagramFaults,
    random: SmallRng,
    statistics: FabricStatistics,
}

#[derive(Debug)]
struct SharedFabric {
    executor: TaskExecutor,
    spray: SprayMode,
    counter: atomic::AtomicUsize,
    sender: UdpSocket,
    state: sync::Mutex<FabricState>,
}

/// A running fabric; it stops when dropped.
#[derive(Debug)]
pub struct FabricStandin {
    /// The address to which callers send.
    pub caller_address: net::SocketAddr,
    /// The address to which backend servers send.
    pub return_address: net::SocketAddr,
    /// The HTTP address at which hosts and faults are set.
    pub control_address: net::SocketAddr,
    shared: sync::Arc<SharedFabric>,
    _tasks: [Task<()>; 3],
}

impl FabricStandin {
    /// Binds the sockets and serves them.
    ///
    /// # Errors
    /// Fails if an address is not free.
    pub async fn start(
        executor: &TaskExecutor,
        settings: FabricSettings,
    ) -> Result<Self, StandinError> {
        let (callers, caller_address) = bind_datagrams(settings.callers).await?;
        let (returns, return_address) = bind_datagrams(settings.returns).await?;
        let any = net::SocketAddr::new(caller_address.ip(), 0);
        let (sender, _) = bind_datagrams(any).await?;
        let control = http::bind(settings.control).await?;
        let control_address = http::address(&control)?;
        let shared = sync::Arc::new(SharedFabric {
            executor: executor.clone(),
            spray: settings.spray,
            counter: atomic::AtomicUsize::new(0),
            sender,
            state: sync::Mutex::new(FabricState {
                hosts: settings.hosts,
                faults: DatagramFaults::default(),
                random: SmallRng::seed_from_u64(settings.seed),
                statistics: FabricStatistics::default(),
            }),
        });
        let controlled = shared.clone();
        let tasks = [
            executor.spawn(receive_datagrams(
                shared.clone(),
                callers,
                FabricSide::Caller,
            )),
            executor.spawn(receive_datagrams(
                shared.clone(),
                returns,
                FabricSide::Backend,
            )),
            http::serve(executor, control, move |request| {
                let reply = controlled.control(&request);
                async { HttpAction::Reply(reply) }
            }),
        ];
        Ok(Self {
            caller_address,
            return_address,
            control_address,
            shared,
            _tasks: tasks,
        })
    }

    /// Replaces the entry hosts.
    pub fn set_hosts(&self, hosts: Vec<net::SocketAddr>) {
        runtime::locked(&self.shared.state).hosts = hosts;
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: DatagramFaults) {
        runtime::locked(&self.shared.state).faults = faults;
    }

    /// The statistics so far.
    pub fn statistics(&self) -> FabricStatistics {
        runtime::locked(&self.shared.state).statistics
    }
}

/// Binds a UDP socket and returns it with its address.
///
/// # Errors
/// Fails if the address is not free.
pub async fn bind_datagrams(
    address: net::SocketAddr,
) -> Result<(UdpSocket, net::SocketAddr), StandinError> {
    let action = "bind a UDP socket";
    let socket = UdpSocket::bind(address).await;
    let socket = socket.context(SocketSnafu { action })?;
    let address = socket.local_addr().context(SocketSnafu { action })?;
    Ok((socket, address))
}

async fn receive_datagrams(shared: sync::Arc<SharedFabric>, socket: UdpSocket, side: FabricSide) {
    let mut buffer = vec![0; faults::MAX_DATAGRAM_BYTES];
    buffer[0] = side as u8;
    loop {
        // An error here belongs to an earlier send; receiving can continue.
        if let Ok((length, _)) = socket.recv_from(&mut buffer[1..]).await {
            shared.deliver(side, &buffer[..=length]).await;
        }
    }
}

impl SharedFabric {
    async fn deliver(self: &sync::Arc<Self>, side: FabricSide, datagram: &[u8]) {
        for (host, delay) in self.plan_deliveries(side) {
            if delay.is_zero() {
                // If the host no longer runs, the datagram is lost, as on a network.
                self.sender.send_to(datagram, host).await.ok();
                continue;
            }
            let shared = self.clone();
            let datagram = datagram.to_vec();
            let late = async move {
                async_io::Timer::after(delay).await;
                shared.sender.send_to(&datagram, host).await.ok();
            };
            self.executor.spawn(late).detach();
        }
    }

    fn plan_deliveries(&self, side: FabricSide) -> Vec<(net::SocketAddr, std::time::Duration)> {
        let mut state = runtime::locked(&self.state);
        let state = &mut *state;
        let statistics = &mut state.statistics;
        match side {
            FabricSide::Caller => statistics.from_callers += 1,
            FabricSide::Backend => statistics.from_backends += 1,
        }
        if state.hosts.is_empty() {
            statistics.without_host += 1;
            return Vec::new();
        }
        let copies = state.faults.copies(&mut state.random);
        statistics.delivered += copies.len() as u64;
        statistics.lost += u64::from(copies.is_empty());
        statistics.doubled += u64::from(copies.len() > 1);
        let first = match self.spray {
            SprayMode::Random => state.random.random_range(0..state.hosts.len()),
            SprayMode::Rotate => self.counter.fetch_add(1, atomic::Ordering::Relaxed),
        };
        // The second copy goes to the next host, which is a different one if there is one.
        let hosts = state.hosts.iter().cycle().skip(first % state.hosts.len());
        hosts.copied().zip(copies).collect()
    }

    fn control(&self, request: &HttpRequest) -> HttpReply {
        let mut state = runtime::locked(&self.state);
        match (request.method.as_str(), request.path.as_str()) {
            ("PUT", "/v1/hosts") => {
                HttpReply::for_result(&request.json().map(|hosts| state.hosts = hosts))
            }
            ("PUT", "/v1/faults") => {
                HttpReply::for_result(&request.json().map(|faults| state.faults = faults))
            }
            ("GET", "/v1/statistics") => HttpReply::with_json(&state.statistics),
            _ => HttpReply::empty(404),
        }
    }
}
