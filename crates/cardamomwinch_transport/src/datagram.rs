//! UDP sockets. Sockets of several threads can share one address, and sending
//! never waits.

use std::io;
use std::net;
use std::sync::atomic;
use std::time;

use async_io::Async;
use snafu::{ResultExt, Snafu};
use socket2::{Domain, Protocol, Socket, Type};

/// Why a datagram socket failed.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DatagramError {
    /// The socket could not be opened.
    #[snafu(display("cannot bind a datagram socket to {address}"))]
    Bind {
        /// The requested address.
        address: net::SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// Nothing could be received.
    #[snafu(display("cannot receive a datagram"))]
    Receive {
        /// The error of the operating system.
        source: io::Error,
    },
    /// The send buffer is full; the datagram was dropped and counted.
    #[snafu(display("the send buffer is full, a datagram to {destination} was dropped"))]
    Dropped {
        /// The destination of the datagram.
        destination: net::SocketAddr,
    },
    /// The datagram could not be sent.
    #[snafu(display("cannot send a datagram to {destination}"))]
    Send {
        /// The destination of the datagram.
        destination: net::SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
}

/// How a socket is opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DatagramOptions {
    /// The address to bind; with port 0 the operating system chooses the port.
    pub address: net::SocketAddr,
    /// The requested size of the receive buffer in bytes. The operating system may
    /// grant less.
    pub receive_buffer: usize,
    /// Whether other sockets of this user may bind the same address. The operating
    /// system then distributes the senders among the sockets.
    pub shared: bool,
}

/// A datagram that was received into a caller's buffer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReceivedDatagram {
    /// The number of bytes written to the buffer. A datagram that is longer than
    /// the buffer is truncated; use a buffer of one byte more than the longest
    /// accepted datagram to detect this.
    pub length: usize,
    /// The address of the sender.
    pub source: net::SocketAddr,
}

/// A UDP socket for asynchronous tasks.
#[derive(Debug)]
pub struct DatagramSocket {
    socket: Async<net::UdpSocket>,
    dropped: atomic::AtomicU64,
}

impl DatagramSocket {
    /// Opens a socket.
    ///
    /// # Errors
    /// Fails if the operating system refuses the address or an option.
    pub fn bind(options: DatagramOptions) -> Result<Self, DatagramError> {
        let address = options.address;
        let socket = open_socket(options).context(BindSnafu { address })?;
        Ok(Self {
            socket,
            dropped: atomic::AtomicU64::new(0),
        })
    }

    /// The address that the socket is bound to.
    ///
    /// # Errors
    /// Fails if the operating system does not return the address.
    pub fn local_address(&self) -> Result<net::SocketAddr, DatagramError> {
        self.socket.get_ref().local_addr().context(ReceiveSnafu)
    }

    /// How many datagrams were dropped because the send buffer was full.
    pub fn dropped_count(&self) -> u64 {
        self.dropped.load(atomic::Ordering::Relaxed)
    }

    /// Waits for a datagram.
    ///
    /// # Errors
    /// Fails if the operating system reports an error.
    pub async fn receive(&self, buffer: &mut [u8]) -> Result<ReceivedDatagram, DatagramError> {
        loop {
            match self.socket.recv_from(buffer).await {
                Ok((length, source)) => return Ok(ReceivedDatagram { length, source }),
                Err(error) if is_transient(&error) => {}
                Err(error) => return Err(error).context(ReceiveSnafu),
            }
        }
    }

    /// Returns a datagram that has already arrived, or `None` if there is none.
    /// After one [`Self::receive`], calls of this read the rest of a burst without
    /// going through the reactor again.
    ///
    /// # Errors
    /// Fails if the operating system reports an error.
    pub fn try_receive(
        &self,
        buffer: &mut [u8],
    ) -> Result<Option<ReceivedDatagram>, DatagramError> {
        receive_one(self.socket.get_ref(), buffer)
    }

    /// Sends `bytes` without waiting, or drops the datagram.
    ///
    /// # Errors
    /// Fails with [`DatagramError::Dropped`] if the send buffer is full.
    pub fn send(&self, bytes: &[u8], destination: net::SocketAddr) -> Result<(), DatagramError> {
        match send_one(self.socket.get_ref(), bytes, destination) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                self.dropped.fetch_add(1, atomic::Ordering::Relaxed);
                DroppedSnafu { destination }.fail()
            }
            outcome => outcome.context(SendSnafu { destination }),
        }
    }
}

/// A UDP socket for a thread that only waits for datagrams, in blocking calls.
///
/// A blocking receive costs one system call per datagram. With a reactor, which
/// other threads drive as well, a datagram often wakes one of those threads first,
/// which then wakes this one: 2.3 times the processor time if datagrams arrive one
/// by one.
#[derive(Debug)]
pub struct BlockingSocket {
    socket: net::UdpSocket,
    timeout: Option<time::Duration>,
}

impl BlockingSocket {
    /// Opens a socket.
    ///
    /// # Errors
    /// Fails if the operating system refuses the address or an option.
    pub fn bind(options: DatagramOptions) -> Result<Self, DatagramError> {
        let address = options.address;
        let bound = bind_socket(options).context(BindSnafu { address })?;
        let socket = net::UdpSocket::from(bound);
        let timeout = None;
        Ok(Self { socket, timeout })
    }

    /// The address that the socket is bound to.
    ///
    /// # Errors
    /// Fails if the operating system does not return the address.
    pub fn local_address(&self) -> Result<net::SocketAddr, DatagramError> {
        self.socket.local_addr().context(ReceiveSnafu)
    }

    /// Waits for a datagram until about `timeout`, which must not be zero, has passed.
    /// Returns `None` if none has arrived by then.
    ///
    /// # Errors
    /// Fails if the operating system reports an error.
    pub fn receive(
        &mut self,
        buffer: &mut [u8],
        timeout: time::Duration,
    ) -> Result<Option<ReceivedDatagram>, DatagramError> {
        if self.timeout != Some(timeout) {
            let set = self.socket.set_read_timeout(Some(timeout));
            set.context(ReceiveSnafu)?;
            self.timeout = Some(timeout);
        }
        receive_one(&self.socket, buffer)
    }

    /// Sends `bytes` without waiting, or drops the datagram.
    ///
    /// # Errors
    /// Fails with [`DatagramError::Dropped`] if the send buffer is full.
    pub fn send(&self, bytes: &[u8], destination: net::SocketAddr) -> Result<(), DatagramError> {
        match send_one(&self.socket, bytes, destination) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                DroppedSnafu { destination }.fail()
            }
            outcome => outcome.context(SendSnafu { destination }),
        }
    }
}

/// Receives a datagram. Returns `None` if there is none, or none within the read
/// timeout of the socket.
fn receive_one(
    socket: &net::UdpSocket,
    buffer: &mut [u8],
) -> Result<Option<ReceivedDatagram>, DatagramError> {
    loop {
        match socket.recv_from(buffer) {
            Ok((length, source)) => return Ok(Some(ReceivedDatagram { length, source })),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(None),
            Err(error) if is_transient(&error) => {}
            Err(error) => return Err(error).context(ReceiveSnafu),
        }
    }
}

fn send_one(socket: &net::UdpSocket, bytes: &[u8], destination: net::SocketAddr) -> io::Result<()> {
    loop {
        match socket.send_to(bytes, destination) {
            Ok(_) => return Ok(()),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
}

/// Whether receiving can be retried at once. Some systems report an earlier
/// datagram to a closed port as a refused or reset connection at the next receive;
/// Linux does so on connected sockets only. Such an error concerns one destination
/// and must not stop the socket. Each receive removes one such error from the
/// socket, so the retries end.
fn is_transient(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionRefused
            | io::ErrorKind::ConnectionReset
            | io::ErrorKind::Interrupted
    )
}

fn bind_socket(options: DatagramOptions) -> io::Result<Socket> {
    let domain = Domain::for_address(options.address);
    let socket = Socket::new(domain, Type::DGRAM, Some(Protocol::UDP))?;
    socket.set_reuse_port(options.shared)?;
    socket.set_recv_buffer_size(options.receive_buffer)?;
    socket.bind(&options.address.into())?;
    Ok(socket)
}

fn open_socket(options: DatagramOptions) -> io::Result<Async<net::UdpSocket>> {
    let socket = bind_socket(options)?;
    socket.set_nonblocking(true)?;
    Async::new_nonblocking(net::UdpSocket::from(socket))
}
