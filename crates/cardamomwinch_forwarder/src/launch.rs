//! Starts the threads of a host and waits until it has stopped.

use std::io;
use std::net;
use std::path;
use std::rc;
use std::thread;
use std::time;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use cardamomwinch_configuration::prelude::ForwarderSettings;
use cardamomwinch_coordination::forwarding::discovery::server_list;
use cardamomwinch_coordination::forwarding::discovery::{DiscoveryEngine, DiscoverySettings};
use cardamomwinch_coordination::forwarding::engine::ForwardingEngine;
use cardamomwinch_coordination::forwarding::server_reports::ReporterId;
use cardamomwinch_coordination::load::LoadPolicy;
use cardamomwinch_daemon::log_level;
use cardamomwinch_daemon::start_line::StartLine;
use cardamomwinch_platform::prelude::StoreClient;
use cardamomwinch_state::flow;
use cardamomwinch_state::prelude::{FlowHasher, HostId};
use cardamomwinch_transport::prelude::{
    BlockingSocket, Clock, DatagramError, DatagramOptions, DecisionLogger, EndpointError,
    EndpointLimits, HostClock, LogError, LogSink, MetricsError, MetricsSink, PeerClient,
    PeerLimits, PeerRpcError, PeerServer, RpcEndpoint, TimerService,
};
use jsonrpsee::RpcModule;
use jsonrpsee::core::RegisterMethodError;
use snafu::{OptionExt, ResultExt, Snafu};

use crate::administration::{self, AdministrationContext};
use crate::control_thread::{ControlMessage, ControlThread};
use crate::peer_calls;
use crate::reload::{self, ReadError, SettingsFile};
use crate::stopping::{self, StopCause};
use crate::traffic_thread::{self, LastPacket, TrafficThread};
use crate::view_cell::ViewCell;

/// The size of the receive buffer of packets that is requested from the operating system,
/// in bytes. It holds the packets that a busy host receives in a second; packets that wait
/// longer are useless.
const RECEIVE_BUFFER: usize = 1024 * 1024;
/// The name of the traffic thread.
const TRAFFIC_THREAD: &str = "traffic";
/// The maximum number of log lines that wait to be written.
const LOG_QUEUE: usize = 1024;
/// The maximum number of messages that wait for the control thread.
const CONTROL_QUEUE: usize = 64;
/// The seed of the flow hash. All hosts must use the same seed, and the platform doesn't
/// define one.
const FLOW_HASH_SEED: u64 = 0;

/// Why the host could not be started.
#[derive(Debug)]
#[derive(Snafu)]
pub enum LaunchError {
    /// The settings cannot be read or are not valid.
    #[snafu(display("{source}"))]
    Settings {
        /// The cause.
        source: ReadError,
    },
    /// The settings contain no address of the platform.
    #[snafu(display("the settings contain no address of the platform"))]
    NoPlatform,
    /// The socket for packets cannot be opened.
    #[snafu(display("{source}"))]
    Socket {
        /// The cause.
        source: DatagramError,
    },
    /// An HTTP endpoint cannot be opened.
    #[snafu(display("{source}"))]
    Endpoint {
        /// The cause.
        source: EndpointError,
    },
    /// The endpoint for other hosts cannot be opened.
    #[snafu(display("{source}"))]
    Peers {
        /// The cause.
        source: PeerRpcError,
    },
    /// The thread that forwards cannot be started.
    #[snafu(display("cannot start the thread {TRAFFIC_THREAD}"))]
    Thread {
        /// The error of the operating system.
        source: io::Error,
    },
    /// The log cannot be written.
    #[snafu(display("{source}"))]
    Log {
        /// The cause.
        source: LogError,
    },
    /// The metrics cannot be collected.
    #[snafu(display("{source}"))]
    Metrics {
        /// The cause.
        source: MetricsError,
    },
    /// A method is registered twice.
    #[snafu(display("{source}"))]
    Method {
        /// The cause.
        source: RegisterMethodError,
    },
    /// Signals cannot be received.
    #[snafu(display("cannot receive signals"))]
    Signals {
        /// The cause.
        source: io::Error,
    },
}

/// What the threads of the process share.
struct SharedContext {
    path: path::PathBuf,
    settings: ForwarderSettings,
    store: net::SocketAddr,
    timers: TimerService<HostClock>,
    log: LogSink,
    metrics: MetricsSink,
    views: ViewCell,
    last_packet: LastPacket,
}

/// Runs a forwarding host with the settings in the file `path` until it receives a signal
/// to stop.
///
/// # Errors
/// Fails if the settings are not valid, or if an address cannot be used.
pub fn run(path: &path::Path) -> Result<StopCause, LaunchError> {
    let settings = reload::read(path).context(SettingsSnafu)?;
    let store = settings.platform.addresses.first().copied();
    let store = store.context(NoPlatformSnafu)?;
    // The socket is opened first, so that packets that arrive during the start wait in it.
    let socket = BlockingSocket::bind(DatagramOptions {
        address: settings.traffic_address,
        receive_buffer: RECEIVE_BUFFER,
        shared: false,
    });
    let socket = socket.context(SocketSnafu)?;
    let clock = HostClock::start();
    let log = LogSink::start(io::stdout(), LOG_QUEUE, clock).context(LogSnafu)?;
    let level = log_level::level_filter(settings.log.level);
    log.install(level, clock).context(LogSnafu)?;
    let metrics = MetricsSink::install().context(MetricsSnafu)?;
    let context = SharedContext {
        path: path.to_owned(),
        settings,
        store,
        timers: TimerService::new(clock),
        log,
        metrics,
        views: ViewCell::default(),
        last_packet: LastPacket::default(),
    };
    context.serve(socket)
}

impl SharedContext {
    fn serve(self, socket: BlockingSocket) -> Result<StopCause, LaunchError> {
        let traffic_address = socket.local_address().context(SocketSnafu)?;
        let (sender, messages) = async_channel::bounded(CONTROL_QUEUE);
        let traffic = self.traffic_thread(socket, traffic_address, sender.clone());
        // The traffic thread forwards until the process ends.
        let builder = thread::Builder::new().name(TRAFFIC_THREAD.to_owned());
        let started = builder.spawn(move || traffic_thread::run(traffic));
        drop(started.context(ThreadSnafu)?);
        let executor = rc::Rc::new(LocalExecutor::new());
        let shared = rc::Rc::clone(&executor);
        async_io::block_on(executor.run(self.control(shared, traffic_address, (sender, messages))))
    }

    fn traffic_thread(
        &self,
        socket: BlockingSocket,
        traffic_address: net::SocketAddr,
        control: Sender<ControlMessage>,
    ) -> TrafficThread {
        let level = log_level::level_filter(self.settings.log.level);
        let limit = self.settings.log.decisions_per_second;
        TrafficThread {
            engine: ForwardingEngine::new(self.settings.flows, FLOW_HASH_SEED, self.reporter())
                .with_load_policy(self.load_policy()),
            control,
            socket,
            caller_port: traffic_address.port(),
            views: self.views.clone(),
            logger: DecisionLogger::new(&self.log, limit).with_level(level),
            outlier_logger: DecisionLogger::new(&self.log, limit).with_level(level),
            clock: *self.timers.clock(),
            last_packet: self.last_packet.clone(),
        }
    }

    fn load_policy(&self) -> LoadPolicy {
        let load = self.settings.load;
        LoadPolicy {
            windows: load.windows,
            spill: load.spill,
            priorities: load.priorities,
            outliers: load.outliers,
        }
    }

    /// The identifier under which this process reports. It differs for a process that is
    /// restarted at the same address.
    fn reporter(&self) -> ReporterId {
        let host = HostId::from_name(&self.settings.host).get();
        let started_at = self.timers.clock().now().get();
        ReporterId::new(flow::mix(host ^ flow::mix(started_at)))
    }

    fn discovery_engine(&self, peer_address: net::SocketAddr) -> DiscoveryEngine {
        let settings = DiscoverySettings {
            domain: self.settings.domain_id(),
            regions: self.settings.domain_regions().collect(),
            address: peer_address,
            seeds: self.settings.seeds.clone(),
            flow_lifetime: self.settings.flow_lifetime,
            watch_wait: self.settings.platform.watch,
            max_part_servers: server_list::MAX_PART_SERVERS,
        };
        DiscoveryEngine::new(settings, HostId::from_name(&self.settings.host).get())
    }

    async fn control(
        self,
        executor: rc::Rc<LocalExecutor<'static>>,
        traffic_address: net::SocketAddr,
        (sender, messages): (Sender<ControlMessage>, Receiver<ControlMessage>),
    ) -> Result<StopCause, LaunchError> {
        let settings = &self.settings;
        let peer_module = peer_calls::peer_module(sender.clone()).context(MethodSnafu)?;
        let keys = settings.keys.clone();
        let limits = PeerLimits::default();
        let peers = PeerServer::bind(settings.peer_address, peer_module, keys.clone(), limits);
        let peers = peers.await.context(PeersSnafu)?;
        let peer_address = peers.local_address().context(PeersSnafu)?;
        let readiness = self.endpoint(settings.readiness_address, RpcModule::new(()));
        let readiness = readiness.await?;
        let readiness_address = readiness.local_address().context(EndpointSnafu)?;
        let context = AdministrationContext {
            control: sender,
            views: self.views.clone(),
            hasher: FlowHasher::new(FLOW_HASH_SEED),
            clock: *self.timers.clock(),
        };
        let module = administration::module(context).context(MethodSnafu)?;
        let administration = self.endpoint(settings.admin_address, module).await?;
        let admin_address = administration.local_address().context(EndpointSnafu)?;
        let mut signals = stopping::signals().context(SignalsSnafu)?;
        let level = log_level::level_filter(settings.log.level);
        let limit = settings.log.decisions_per_second;
        let logger = DecisionLogger::new(&self.log, limit).with_level(level);
        let timers = self.timers.clone();
        let views = self.views.clone();
        let control = ControlThread::new(
            self.discovery_engine(peer_address),
            logger,
            views,
            timers.clone(),
        );
        let store = StoreClient::new(self.store, settings.platform.timeout);
        let metrics = self.metrics.clone();
        let upkeep = async move { metrics.run_upkeep(&timers).await };
        let _tasks = [
            executor.spawn(control.clone().read_store(store)),
            executor.spawn(control.clone().tick()),
            executor.spawn(control.clone().query_peers(PeerClient::new(keys.clone()))),
            executor.spawn(control.clone().send_reports(PeerClient::new(keys))),
            executor.spawn(control.handle_messages(messages)),
            executor.spawn(peers.serve()),
            executor.spawn(readiness.serve()),
            executor.spawn(administration.serve()),
            executor.spawn(upkeep),
        ];
        let line = StartLine {
            host: &settings.host,
            domain: &settings.domain,
            traffic_address,
            relay_address: None,
            readiness_address: Some(readiness_address),
            peer_address,
            admin_address,
            ready: true,
        };
        line.print();
        log::info!("started as {} of {}", settings.host, settings.domain);
        let mut file = SettingsFile::new(self.path.clone(), settings.clone());
        stopping::wait_for_stop(&mut signals, &mut file).await;
        log::info!("stopping");
        let clock = *self.timers.clock();
        let stop_within = settings.stop_within;
        let drained = stopping::drain(
            &mut signals,
            &self.views,
            &self.last_packet,
            stop_within,
            &clock,
        );
        let cause = drained.await;
        log::info!("stopped: {cause:?}");
        Ok(cause)
    }

    async fn endpoint(
        &self,
        address: net::SocketAddr,
        module: RpcModule<()>,
    ) -> Result<RpcEndpoint<MetricsSink, ViewCell>, LaunchError> {
        let limits = EndpointLimits {
            // The fabric keeps its connections open, and considers a host failed whose
            // connection has to be renewed every minute.
            connection_lifetime: time::Duration::from_secs(600),
            ..EndpointLimits::default()
        };
        let (metrics, views) = (self.metrics.clone(), self.views.clone());
        let endpoint = RpcEndpoint::bind(address, module, metrics, views, limits);
        endpoint.await.context(EndpointSnafu)
    }
}
