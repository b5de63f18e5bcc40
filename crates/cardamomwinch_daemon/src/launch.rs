//! Starts the threads of a host and waits until the host has stopped.

use std::fs;
use std::io;
use std::net;
use std::path;
use std::rc;
use std::sync;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use cardamomwinch_configuration::check::CheckReport;
use cardamomwinch_configuration::settings::HostSettings;
use cardamomwinch_coordination::prelude::{HostBuilder, HostIdentity, ThreadPlace, TrafficBounds};
use cardamomwinch_protocol::prelude::TokenIssuer;
use cardamomwinch_state::prelude::Incarnation;
use cardamomwinch_transport::prelude::{
    Clock, DatagramError, DatagramOptions, DatagramSocket, DecisionLogger, EndpointError,
    EndpointLimits, ExecutorThread, HostClock, LogError, LogSink, MetricsError, MetricsSink,
    PeerLimits, PeerRpcError, PeerServer, RpcEndpoint, ThreadError, TimerService,
};
use jsonrpsee::core::RegisterMethodError;
use snafu::{ResultExt, Snafu};

use crate::administration::{self, AdministrationContext, SnapshotReadiness};
use crate::arguments::DaemonArguments;
use crate::control_effects::ControlOutlets;
use crate::control_thread::{self, ControlDriver};
use crate::counter_handles::CounterHandles;
use crate::log_level;
use crate::messages::{ControlInput, TrafficInput};
use crate::peer_delivery::{self, PeerSender};
use crate::platform_calls::PlatformCalls;
use crate::snapshot_cell::SnapshotCell;
use crate::start_line::StartLine;
use crate::stopping::{self, DrainedFlag, StopStatus};
use crate::traffic_effects::{TrafficOutlets, TrafficSockets};
use crate::traffic_thread::{self, TrafficThread};

/// The size of a socket's receive buffer that is requested from the operating system, in bytes.
const RECEIVE_BUFFER: usize = 4 * 1024 * 1024;
/// How often binding is retried with another port that the operating system chooses.
const MAX_PORT_RETRIES: u32 = 32;
/// The most log lines that may wait to be written.
const LOG_QUEUE: usize = 8192;

/// Why the host could not be started.
#[derive(Debug)]
#[derive(Snafu)]
pub enum LaunchError {
    /// The settings file cannot be read.
    #[snafu(display("cannot read {}", path.display()))]
    Read {
        /// The file.
        path: path::PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The settings are not valid.
    #[snafu(display("{report}"))]
    Settings {
        /// All errors in the file.
        report: CheckReport,
    },
    /// A datagram socket cannot be opened.
    #[snafu(display("{source}"))]
    Socket {
        /// Why the socket cannot be opened.
        source: DatagramError,
    },
    /// The management endpoint cannot be opened.
    #[snafu(display("{source}"))]
    Endpoint {
        /// Why the endpoint cannot be opened.
        source: EndpointError,
    },
    /// The endpoint for other hosts cannot be opened.
    #[snafu(display("{source}"))]
    Peers {
        /// Why the endpoint cannot be opened.
        source: PeerRpcError,
    },
    /// A thread cannot be started.
    #[snafu(display("{source}"))]
    Thread {
        /// Why the thread cannot be started.
        source: ThreadError,
    },
    /// The log cannot be written.
    #[snafu(display("{source}"))]
    Log {
        /// Why the log cannot be written.
        source: LogError,
    },
    /// The metrics cannot be collected.
    #[snafu(display("{source}"))]
    Metrics {
        /// Why the metrics cannot be collected.
        source: MetricsError,
    },
    /// A method of an API is registered twice.
    #[snafu(display("{source}"))]
    Method {
        /// Which method it is.
        source: RegisterMethodError,
    },
    /// Signals cannot be received.
    #[snafu(display("cannot receive signals"))]
    Signals {
        /// The error of the operating system.
        source: io::Error,
    },
}

/// Reads the settings and serves until the process is stopped.
///
/// # Errors
/// Fails if the host cannot be started.
pub fn run(arguments: &DaemonArguments) -> Result<StopStatus, LaunchError> {
    let path = &arguments.settings;
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    let name = path.display().to_string();
    let parsed = HostSettings::parse(&name, &text);
    let settings = parsed.map_err(|report| LaunchError::Settings { report })?;
    serve(settings)
}

/// The queue of the control thread.
type ControlChannel = (Sender<ControlInput>, Receiver<ControlInput>);

/// What all threads of the process share.
struct SharedContext {
    settings: HostSettings,
    builder: HostBuilder,
    incarnation: Incarnation,
    timers: TimerService<HostClock>,
    log: LogSink,
    metrics: MetricsSink,
    snapshots: SnapshotCell,
}

fn serve(settings: HostSettings) -> Result<StopStatus, LaunchError> {
    let clock = HostClock::start();
    let log = LogSink::start(io::stdout(), LOG_QUEUE, clock).context(LogSnafu)?;
    let level = log_level::level_filter(settings.log.level);
    log.install(level, clock).context(LogSnafu)?;
    let metrics = MetricsSink::install().context(MetricsSnafu)?;
    let incarnation = Incarnation::new(clock.now().get());
    let identity = HostIdentity {
        host: settings.host_id(),
        domain: settings.domain_id(),
        incarnation,
    };
    let bounds = TrafficBounds {
        flows: settings.bounds.flows / settings.traffic_threads.max(1),
        request_records: settings.bounds.request_records / settings.traffic_threads.max(1),
        ..TrafficBounds::default()
    };
    let builder = HostBuilder::new(identity, settings.keys.clone()).with_bounds(bounds);
    let context = SharedContext {
        settings,
        builder,
        incarnation,
        timers: TimerService::new(clock),
        log,
        metrics,
        snapshots: SnapshotCell::default(),
    };
    context.serve()
}

impl SharedContext {
    fn serve(self) -> Result<StopStatus, LaunchError> {
        let count = self.settings.traffic_threads.max(1);
        let queue = self.settings.bounds.datagram_queue;
        let channels: Vec<(Sender<TrafficInput>, Receiver<TrafficInput>)> =
            (0..count).map(|_| async_channel::bounded(queue)).collect();
        let senders: Vec<Sender<TrafficInput>> =
            channels.iter().map(|(sender, _)| sender.clone()).collect();
        let traffic_address = self.settings.traffic_address;
        let relay_address = self.settings.relay_address;
        let traffic = bind_shared(traffic_address, count)?;
        let relay = bind_shared(relay_address, count)?;
        let bound = BoundAddresses {
            traffic: traffic[0].local_address().context(SocketSnafu)?,
            relay: relay[0].local_address().context(SocketSnafu)?,
        };
        let control = async_channel::bounded(queue);
        let mut threads = Vec::new();
        let sockets = traffic.into_iter().zip(relay);
        for (index, ((_, inputs), (traffic, relay))) in
            channels.into_iter().zip(sockets).enumerate()
        {
            let sockets = TrafficSockets { traffic, relay };
            let thread = self.traffic_thread(index, count, inputs, &senders, &control.0, sockets);
            let name = format!("traffic-{index}");
            let main = async move |executor: &LocalExecutor<'static>| {
                traffic_thread::run(thread, executor).await;
            };
            threads.push(ExecutorThread::start(&name, main).context(ThreadSnafu)?);
        }
        let status = self.control(senders, bound, control)?;
        for thread in threads {
            thread.join().context(ThreadSnafu)?;
        }
        Ok(status)
    }

    fn traffic_thread(
        &self,
        index: usize,
        count: usize,
        inputs: Receiver<TrafficInput>,
        senders: &[Sender<TrafficInput>],
        control: &Sender<ControlInput>,
        sockets: TrafficSockets,
    ) -> TrafficThread {
        let place = ThreadPlace {
            index: index as u16,
            count: count as u16,
        };
        let limit = self.settings.log.decisions_per_second / count as u32;
        let level = log_level::level_filter(self.settings.log.level);
        let outlets = TrafficOutlets::new(
            sockets,
            senders.to_vec(),
            control.clone(),
            self.settings.keys.clone(),
            DecisionLogger::new(&self.log, limit).with_level(level),
            self.settings.host.clone(),
        );
        TrafficThread {
            engine: self.builder.build_traffic(place),
            outlets,
            snapshots: self.snapshots.clone(),
            inputs,
            timers: self.timers.clone(),
        }
    }

    /// Runs control on the current thread until the host has stopped.
    fn control(
        self,
        threads: Vec<Sender<TrafficInput>>,
        bound: BoundAddresses,
        channel: ControlChannel,
    ) -> Result<StopStatus, LaunchError> {
        let executor = rc::Rc::new(LocalExecutor::new());
        let shared = rc::Rc::clone(&executor);
        async_io::block_on(executor.run(self.control_main(shared, threads, bound, channel)))
    }

    async fn control_main(
        self,
        executor: rc::Rc<LocalExecutor<'static>>,
        threads: Vec<Sender<TrafficInput>>,
        bound: BoundAddresses,
        (inputs, received): ControlChannel,
    ) -> Result<StopStatus, LaunchError> {
        let settings = rc::Rc::new(self.settings.clone());
        let drained = DrainedFlag::default();
        let (stop, stop_requests) = async_channel::bounded(1);
        let keys = settings.keys.clone();
        let (server, socket) = bind_peers(&settings, &inputs).await?;
        let peer_address = server.local_address().context(PeersSnafu)?;
        let socket = sync::Arc::new(socket);
        let peers = PeerSender::new(sync::Arc::clone(&socket), keys.clone());
        let context = AdministrationContext {
            control: inputs.clone(),
            threads: threads.clone(),
            stop,
            snapshots: self.snapshots.clone(),
            tokens: TokenIssuer::new(keys),
        };
        let endpoint = RpcEndpoint::bind(
            settings.admin_address,
            administration::module(context).context(MethodSnafu)?,
            self.metrics.clone(),
            SnapshotReadiness {
                snapshots: self.snapshots.clone(),
            },
            EndpointLimits::default(),
        )
        .await
        .context(EndpointSnafu)?;
        let admin_address = endpoint.local_address().context(EndpointSnafu)?;
        let mut signals = stopping::stop_signals().context(SignalsSnafu)?;
        let outlets = ControlOutlets {
            executor: rc::Rc::clone(&executor),
            inputs: inputs.clone(),
            peers: peers.clone(),
            platform: PlatformCalls::from(&settings.platform),
            snapshots: self.snapshots.clone(),
            threads: threads.clone(),
            drained: drained.clone(),
            counters: CounterHandles::default(),
            logger: DecisionLogger::new(&self.log, settings.log.decisions_per_second)
                .with_level(log_level::level_filter(settings.log.level)),
            host: settings.host.clone(),
        };
        let clock = *self.timers.clock();
        let engine = self.builder.build_control();
        let driver = ControlDriver::new(engine, outlets, rc::Rc::clone(&settings), clock);
        let seed = self.incarnation.get();
        let metrics = self.metrics.clone();
        let timers = self.timers.clone();
        let upkeep = async move { metrics.run_upkeep(&timers).await };
        let tasks = vec![
            executor.spawn(driver.run(received)),
            executor.spawn(server.serve()),
            executor.spawn(endpoint.serve()),
            executor.spawn(upkeep),
            executor.spawn(control_thread::tick(
                self.timers.clone(),
                seed,
                inputs.clone(),
            )),
            executor.spawn(control_thread::receive_peers(socket, peers, inputs.clone())),
        ];
        let line = StartLine {
            host: &settings.host,
            domain: &settings.domain,
            traffic_address: bound.traffic,
            relay_address: Some(bound.relay),
            readiness_address: None,
            peer_address,
            admin_address,
            ready: true,
        };
        line.print();
        let deadline = settings.stop_deadline;
        let status = stopping::wait_until_stopped(
            &mut signals,
            &stop_requests,
            &inputs,
            &threads,
            &drained,
            deadline,
            &clock,
        )
        .await;
        drop(tasks);
        for thread in &threads {
            thread.close();
        }
        Ok(status)
    }
}

/// The addresses to which the traffic sockets are bound. The settings may leave the choice of
/// ports to the operating system.
#[derive(Debug, Clone, Copy)]
struct BoundAddresses {
    traffic: net::SocketAddr,
    relay: net::SocketAddr,
}

/// Binds the endpoint and the datagram socket for other hosts to the same port.
///
/// If the operating system chooses the port, it chooses a free TCP port, which another program
/// may already use for UDP. The host would then sometimes fail to start, so another port is tried.
async fn bind_peers(
    settings: &HostSettings,
    inputs: &Sender<ControlInput>,
) -> Result<(PeerServer, DatagramSocket), LaunchError> {
    let address = settings.peer_address;
    let chosen_by_system = address.port() == 0;
    let mut retries_left = if chosen_by_system {
        MAX_PORT_RETRIES
    } else {
        0
    };
    loop {
        let module = peer_delivery::peer_module(inputs.clone()).context(MethodSnafu)?;
        let (keys, limits) = (settings.keys.clone(), PeerLimits::default());
        let server = PeerServer::bind(address, module, keys, limits);
        let server = server.await.context(PeersSnafu)?;
        let bound = server.local_address().context(PeersSnafu)?;
        match bind(bound, false) {
            Ok(socket) => return Ok((server, socket)),
            Err(_) if retries_left > 0 => retries_left -= 1,
            Err(source) => return Err(LaunchError::Socket { source }),
        }
    }
}

fn bind(address: net::SocketAddr, shared: bool) -> Result<DatagramSocket, DatagramError> {
    DatagramSocket::bind(DatagramOptions {
        address,
        receive_buffer: RECEIVE_BUFFER,
        shared,
    })
}

/// Binds one socket per thread, all to the same address.
fn bind_shared(
    address: net::SocketAddr,
    count: usize,
) -> Result<Vec<sync::Arc<DatagramSocket>>, LaunchError> {
    let shared = count > 1;
    let first = bind(address, shared).context(SocketSnafu)?;
    let address = first.local_address().context(SocketSnafu)?;
    let mut sockets = vec![sync::Arc::new(first)];
    for _ in 1..count {
        let next = bind(address, shared).context(SocketSnafu)?;
        sockets.push(sync::Arc::new(next));
    }
    Ok(sockets)
}
