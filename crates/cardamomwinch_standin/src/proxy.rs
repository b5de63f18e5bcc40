//! A proxy between two addresses, UDP and TCP on the same port number, that
//! loses, duplicates, delays, reorders and cuts traffic in each direction.

use std::io;
use std::net;
use std::str;
use std::sync;
use std::time;

use async_executor::Task;
use async_net::{TcpListener, TcpStream, UdpSocket};
use cardamomwinch_state::prelude::SortedVector;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};

use crate::backend;
use crate::error::StandinError;
use crate::fabric;
use crate::faults::{self, CutMode, DatagramFaults};
use crate::http::{self, HttpAction, HttpReply, HttpRequest};
use crate::runtime::{self, ChangeNotice, TaskExecutor};

/// The number of clients with an upstream socket of one proxy; datagrams of further
/// clients are dropped.
const MAX_CLIENTS: usize = 4096;
const COPY_BUFFER_BYTES: usize = 16 * 1024;
/// Longer than any test runs.
const FOREVER: time::Duration = time::Duration::from_secs(24 * 3600);

/// The addresses of a proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ProxyPair {
    /// Where it listens.
    pub listen: net::SocketAddr,
    /// Where it forwards to.
    pub to: net::SocketAddr,
}

/// Text that is not `LISTEN=TO`.
#[derive(Debug, Clone, Copy)]
#[derive(snafu::Snafu)]
#[snafu(display("expected LISTEN=TO as two addresses with ports"))]
pub struct PairParseError;

impl str::FromStr for ProxyPair {
    type Err = PairParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (listen, to) = text.split_once('=').ok_or(PairParseError)?;
        Ok(Self {
            listen: listen.parse().map_err(|_| PairParseError)?,
            to: to.parse().map_err(|_| PairParseError)?,
        })
    }
}

/// The faults of both directions. Only `cut` and `delay_ms` apply to connections.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct ProxyRules {
    /// From the clients.
    pub forward: DatagramFaults,
    /// Back to the clients.
    pub backward: DatagramFaults,
}

/// Body of `PUT /v1/rules`.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RulesOrder {
    /// The address of one proxy; all proxies if absent.
    #[serde(default)]
    pub listen: Option<net::SocketAddr>,
    /// The faults; those that are left out are cleared.
    #[serde(flatten)]
    pub rules: ProxyRules,
}

/// Body of `PUT /v1/blocked`: clients that a proxy blocks, as if a network
/// partition separated them from its target.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BlockOrder {
    /// The address of one proxy; all proxies if absent.
    #[serde(default)]
    pub listen: Option<net::SocketAddr>,
    /// Clients whose datagrams are dropped; those of other clients pass.
    pub clients: Vec<net::SocketAddr>,
    /// Whether the connections of all clients are closed and refused. The source
    /// address of a connection does not identify the host that opened it.
    #[serde(default)]
    pub close_connections: bool,
}

#[derive(Debug, Clone, Copy)]
enum Direction {
    Forward,
    Backward,
}

#[derive(Debug)]
struct SharedProxy {
    executor: TaskExecutor,
    pair: ProxyPair,
    rules: sync::Mutex<ProxyRules>,
    blocked: sync::Mutex<BlockOrder>,
    change: ChangeNotice,
    random: sync::Mutex<SmallRng>,
    socket: UdpSocket,
    upstreams: sync::Mutex<SortedVector<net::SocketAddr, Upstream>>,
}

#[derive(Debug)]
struct Upstream {
    socket: UdpSocket,
    _backward: Task<()>,
}

#[derive(Debug)]
struct RunningProxy {
    shared: sync::Arc<SharedProxy>,
    _tasks: [Task<()>; 2],
}

#[derive(Debug)]
struct ProxySet {
    executor: TaskExecutor,
    seed: u64,
    proxies: sync::Mutex<Vec<RunningProxy>>,
}

/// Any number of running proxies; they stop when dropped.
#[derive(Debug)]
pub struct ProxyStandin {
    /// The HTTP address at which rules are set and proxies added.
    pub control_address: net::SocketAddr,
    set: sync::Arc<ProxySet>,
    _control: Task<()>,
}

impl ProxyStandin {
    /// Serves the control listener; there are no proxies yet.
    ///
    /// # Errors
    /// Fails if the address is not free.
    pub async fn start(
        executor: &TaskExecutor,
        control: net::SocketAddr,
        seed: u64,
    ) -> Result<Self, StandinError> {
        let listener = http::bind(control).await?;
        let control_address = http::address(&listener)?;
        let set = sync::Arc::new(ProxySet {
            executor: executor.clone(),
            seed,
            proxies: sync::Mutex::default(),
        });
        let controlled = set.clone();
        let control = http::serve(executor, listener, move |request| {
            let set = controlled.clone();
            async move { HttpAction::Reply(set.control(&request).await) }
        });
        Ok(Self {
            control_address,
            set,
            _control: control,
        })
    }

    /// Adds a proxy and returns its addresses as bound.
    ///
    /// # Errors
    /// Fails if the address is not free.
    pub async fn add(&self, pair: ProxyPair) -> Result<ProxyPair, StandinError> {
        self.set.add(pair).await
    }

    /// Replaces the faults of one proxy or of all.
    pub fn set_rules(&self, order: RulesOrder) {
        self.set.set_rules(order);
    }

    /// Replaces the clients that one proxy or all of them block.
    pub fn block(&self, order: &BlockOrder) {
        self.set.block(order);
    }
}

impl ProxySet {
    async fn control(&self, request: &HttpRequest) -> HttpReply {
        match (request.method.as_str(), request.path.as_str()) {
            ("PUT", "/v1/rules") => {
                HttpReply::for_result(&request.json().map(|order| self.set_rules(order)))
            }
            ("PUT", "/v1/blocked") => {
                HttpReply::for_result(&request.json().map(|order| self.block(&order)))
            }
            ("POST", "/v1/proxies") => match request.json() {
                Ok(pair) => match self.add(pair).await {
                    Ok(pair) => HttpReply::with_json(&pair),
                    Err(_) => HttpReply::empty(409),
                },
                Err(_) => HttpReply::empty(400),
            },
            _ => HttpReply::empty(404),
        }
    }

    async fn add(&self, pair: ProxyPair) -> Result<ProxyPair, StandinError> {
        let (socket, listener, listen) = backend::bind_both(pair.listen).await?;
        let pair = ProxyPair { listen, ..pair };
        let shared = sync::Arc::new(SharedProxy {
            executor: self.executor.clone(),
            pair,
            rules: sync::Mutex::default(),
            blocked: sync::Mutex::default(),
            change: ChangeNotice::default(),
            random: sync::Mutex::new(SmallRng::seed_from_u64(self.seed)),
            socket,
            upstreams: sync::Mutex::default(),
        });
        let tasks = [
            self.executor.spawn(shared.clone().forward_datagrams()),
            self.executor.spawn(shared.clone().accept(listener)),
        ];
        let proxy = RunningProxy {
            shared,
            _tasks: tasks,
        };
        runtime::locked(&self.proxies).push(proxy);
        Ok(pair)
    }

    fn set_rules(&self, order: RulesOrder) {
        self.change(order.listen, |shared| {
            *runtime::locked(&shared.rules) = order.rules;
        });
    }

    fn block(&self, order: &BlockOrder) {
        self.change(order.listen, |shared| {
            *runtime::locked(&shared.blocked) = order.clone();
        });
    }

    fn change(&self, listen: Option<net::SocketAddr>, change: impl Fn(&SharedProxy)) {
        for proxy in runtime::locked(&self.proxies).iter() {
            let shared = &proxy.shared;
            if listen.is_none_or(|listen| listen == shared.pair.listen) {
                change(shared);
                shared.change.notify();
            }
        }
    }
}

impl SharedProxy {
    fn faults(&self, direction: Direction) -> DatagramFaults {
        let rules = runtime::locked(&self.rules);
        match direction {
            Direction::Forward => rules.forward,
            Direction::Backward => rules.backward,
        }
    }

    async fn forward_datagrams(self: sync::Arc<Self>) {
        let mut buffer = vec![0; faults::MAX_DATAGRAM_BYTES];
        loop {
            // An error here belongs to an earlier send; receiving can continue.
            let Ok((length, client)) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            if runtime::locked(&self.blocked).clients.contains(&client) {
                continue;
            }
            if let Some(upstream) = self.upstream(client).await {
                let datagram = &buffer[..length];
                self.deliver(Direction::Forward, datagram, &upstream, self.pair.to)
                    .await;
            }
        }
    }

    async fn upstream(self: &sync::Arc<Self>, client: net::SocketAddr) -> Option<UdpSocket> {
        if let Some(upstream) = runtime::locked(&self.upstreams).get(&client) {
            return Some(upstream.socket.clone());
        }
        let any = net::SocketAddr::new(self.pair.listen.ip(), 0);
        let (socket, _) = fabric::bind_datagrams(any).await.ok()?;
        let backward = self.clone().return_datagrams(socket.clone(), client);
        let mut upstreams = runtime::locked(&self.upstreams);
        if upstreams.len() >= MAX_CLIENTS {
            return None;
        }
        let upstream = Upstream {
            socket: socket.clone(),
            _backward: self.executor.spawn(backward),
        };
        upstreams.insert(client, upstream);
        Some(socket)
    }

    async fn return_datagrams(self: sync::Arc<Self>, upstream: UdpSocket, client: net::SocketAddr) {
        let mut buffer = vec![0; faults::MAX_DATAGRAM_BYTES];
        loop {
            if let Ok((length, _)) = upstream.recv_from(&mut buffer).await {
                let datagram = &buffer[..length];
                self.deliver(Direction::Backward, datagram, &self.socket, client)
                    .await;
            }
        }
    }

    async fn deliver(
        &self,
        direction: Direction,
        datagram: &[u8],
        sender: &UdpSocket,
        target: net::SocketAddr,
    ) {
        let copies = {
            let faults = self.faults(direction);
            faults.copies(&mut runtime::locked(&self.random))
        };
        for delay in copies {
            let sender = sender.clone();
            let datagram = datagram.to_vec();
            let late = async move {
                if !delay.is_zero() {
                    async_io::Timer::after(delay).await;
                }
                // If the target no longer runs, the datagram is lost, as on a network.
                sender.send_to(&datagram, target).await.ok();
            };
            if delay.is_zero() {
                late.await;
            } else {
                self.executor.spawn(late).detach();
            }
        }
    }

    async fn accept(self: sync::Arc<Self>, listener: TcpListener) {
        while let Ok((client, _)) = listener.accept().await {
            let shared = self.clone();
            let connection = async move { shared.connect(client).await.unwrap_or(()) };
            self.executor.spawn(connection).detach();
        }
    }

    async fn connect(&self, client: TcpStream) -> io::Result<()> {
        if self.closes_connections() {
            return Ok(());
        }
        let server = TcpStream::connect(self.pair.to).await?;
        let forward = self.copy(Direction::Forward, client.clone(), server.clone());
        let backward = self.copy(Direction::Backward, server, client);
        let both = async {
            futures_lite::future::try_zip(forward, backward)
                .await
                .map(drop)
        };
        futures_lite::future::or(both, self.until_closed()).await
    }

    fn closes_connections(&self) -> bool {
        let rules = *runtime::locked(&self.rules);
        let cuts = [rules.forward.cut, rules.backward.cut];
        cuts.contains(&CutMode::Close) || runtime::locked(&self.blocked).close_connections
    }

    /// Waits until a rule closes the connections.
    async fn until_closed(&self) -> io::Result<()> {
        let closed = || self.closes_connections().then_some(());
        let limit = time::Instant::now() + FOREVER;
        self.change.wait(limit, closed).await.unwrap_or(());
        Ok(())
    }

    async fn copy(
        &self,
        direction: Direction,
        mut from: TcpStream,
        mut to: TcpStream,
    ) -> io::Result<()> {
        let mut buffer = vec![0; COPY_BUFFER_BYTES];
        loop {
            let length = from.read(&mut buffer).await?;
            let open = || (self.faults(direction).cut != CutMode::Hold).then_some(());
            let limit = time::Instant::now() + FOREVER;
            self.change.wait(limit, open).await.unwrap_or(());
            if length == 0 {
                return to.shutdown(net::Shutdown::Write);
            }
            let delay = time::Duration::from_millis(self.faults(direction).delay_ms);
            if !delay.is_zero() {
                async_io::Timer::after(delay).await;
            }
            to.write_all(&buffer[..length]).await?;
        }
    }
}
