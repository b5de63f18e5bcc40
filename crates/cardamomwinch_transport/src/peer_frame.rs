//! Authenticated frames over a byte stream between hosts.
//!
//! A frame is a length of four bytes in network order, an authentication code of
//! 16 bytes, and a body. The length counts the code and the body. The code covers
//! more than the body: the purpose of the frame, the nonces that both sides chose for
//! this connection, and the position of the exchange in it. A frame recorded on one
//! connection is therefore refused on any other connection, at any other position,
//! and in the other direction.

use std::io;

use async_net::TcpStream;
use cardamomwinch_protocol::authentication::{AuthenticationCode, AuthenticationKeys, CODE_LENGTH};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use rand::rngs::OsRng;
use rand::{TryRngCore, rand_core};
use snafu::{ResultExt, Snafu};

/// The authentication context of frames.
pub const BULK_CONTEXT: u8 = b'b';

/// The longest frame in bytes, including its code but not its length field.
pub const FRAME_LIMIT: usize = 4 * 1024 * 1024;

const NONCE_LENGTH: usize = 32;
const LENGTH_FIELD_LENGTH: usize = 4;

/// The length of what is signed before the body: the purpose, two nonces and the
/// position.
const PREFIX_LENGTH: usize = 1 + 2 * NONCE_LENGTH + 8;

/// Why frames could not be exchanged.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FrameError {
    /// The connection broke.
    #[snafu(display("the connection with the peer broke"))]
    Broken {
        /// The error of the operating system.
        source: io::Error,
    },
    /// The peer closed the connection between two frames.
    #[snafu(display("the peer closed the connection"))]
    Ended,
    /// The peer closed the connection before a whole frame had arrived.
    #[snafu(display("the peer closed the connection within a frame"))]
    Truncated,
    /// A frame is longer than allowed, or too short to hold a code.
    #[snafu(display("a frame of {length} bytes is outside {CODE_LENGTH} to {limit}"))]
    Length {
        /// The length in bytes that was received in the length field, or was to be sent.
        length: usize,
        /// The longest allowed length in bytes.
        limit: usize,
    },
    /// The frame is not signed by an accepted key for this position of this connection.
    #[snafu(display("the authentication code of the peer does not match"))]
    Unauthenticated,
    /// The operating system provided no random bytes for a nonce.
    #[snafu(display("no random bytes for a nonce"))]
    Random {
        /// The error of the operating system.
        source: rand_core::OsError,
    },
}

/// The purpose of a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FramePurpose {
    ClientHello,
    ServerHello,
    Request,
    Response,
}

impl FramePurpose {
    const fn tag(self) -> u8 {
        match self {
            Self::ClientHello => b'c',
            Self::ServerHello => b's',
            Self::Request => b'q',
            Self::Response => b'a',
        }
    }
}

type SessionNonce = [u8; NONCE_LENGTH];

/// A connection on which both sides have proved that they hold an accepted key.
#[derive(Debug)]
pub(crate) struct PeerSession<'k> {
    stream: TcpStream,
    keys: &'k AuthenticationKeys,
    client_nonce: SessionNonce,
    server_nonce: SessionNonce,
    position: u64,
}

impl<'k> PeerSession<'k> {
    /// Begins a session as the side that sends requests.
    pub(crate) async fn open(
        stream: TcpStream,
        keys: &'k AuthenticationKeys,
    ) -> Result<Self, FrameError> {
        let mut session = Self::unauthenticated(stream, keys);
        let nonce = random_nonce()?;
        session.write(FramePurpose::ClientHello, &nonce).await?;
        session.client_nonce = nonce;
        session.server_nonce = session.read_nonce(FramePurpose::ServerHello).await?;
        Ok(session)
    }

    /// Begins a session as the side that responds. Nothing is sent to a peer
    /// that has not signed its hello. A recorded hello is accepted here, but the
    /// request that follows it fails, because its code must cover the new nonce.
    pub(crate) async fn accept(
        stream: TcpStream,
        keys: &'k AuthenticationKeys,
    ) -> Result<Self, FrameError> {
        let mut session = Self::unauthenticated(stream, keys);
        session.client_nonce = session.read_nonce(FramePurpose::ClientHello).await?;
        let nonce = random_nonce()?;
        session.write(FramePurpose::ServerHello, &nonce).await?;
        session.server_nonce = nonce;
        Ok(session)
    }

    fn unauthenticated(stream: TcpStream, keys: &'k AuthenticationKeys) -> Self {
        Self {
            stream,
            keys,
            client_nonce: [0; NONCE_LENGTH],
            server_nonce: [0; NONCE_LENGTH],
            position: 0,
        }
    }

    /// Sends a request and reads its response.
    pub(crate) async fn call(&mut self, request: &[u8]) -> Result<Vec<u8>, FrameError> {
        self.write(FramePurpose::Request, request).await?;
        let response = self.read(FramePurpose::Response, FRAME_LIMIT).await;
        self.position += 1;
        response
    }

    /// Reads the next request.
    pub(crate) async fn read_request(&mut self) -> Result<Vec<u8>, FrameError> {
        self.read(FramePurpose::Request, FRAME_LIMIT).await
    }

    /// Sends the response to the request read last.
    pub(crate) async fn respond(&mut self, response: &[u8]) -> Result<(), FrameError> {
        self.write(FramePurpose::Response, response).await?;
        self.position += 1;
        Ok(())
    }

    async fn read_nonce(&mut self, purpose: FramePurpose) -> Result<SessionNonce, FrameError> {
        let limit = CODE_LENGTH + NONCE_LENGTH;
        let body = self.read(purpose, limit).await?;
        let length = CODE_LENGTH + body.len();
        SessionNonce::try_from(body).map_err(|_| FrameError::Length { length, limit })
    }

    fn signed_prefix(&self, purpose: FramePurpose) -> [u8; PREFIX_LENGTH] {
        let mut prefix = [0; PREFIX_LENGTH];
        let (tag, rest) = prefix.split_at_mut(1);
        let (client, rest) = rest.split_at_mut(NONCE_LENGTH);
        let (server, position) = rest.split_at_mut(NONCE_LENGTH);
        tag.copy_from_slice(&[purpose.tag()]);
        client.copy_from_slice(&self.client_nonce);
        server.copy_from_slice(&self.server_nonce);
        position.copy_from_slice(&self.position.to_be_bytes());
        prefix
    }

    async fn write(&mut self, purpose: FramePurpose, body: &[u8]) -> Result<(), FrameError> {
        let length = CODE_LENGTH + body.len();
        let limit = FRAME_LIMIT;
        let fits = u32::try_from(length).ok().filter(|_| length <= limit);
        let Some(announced) = fits else {
            return LengthSnafu { length, limit }.fail();
        };
        let mut signed = Vec::with_capacity(PREFIX_LENGTH + body.len());
        signed.extend_from_slice(&self.signed_prefix(purpose));
        signed.extend_from_slice(body);
        let code = code_bytes(self.keys.code(BULK_CONTEXT, &signed));
        let mut head = [0; LENGTH_FIELD_LENGTH + CODE_LENGTH];
        head[..LENGTH_FIELD_LENGTH].copy_from_slice(&announced.to_be_bytes());
        head[LENGTH_FIELD_LENGTH..].copy_from_slice(&code);
        self.stream.write_all(&head).await.context(BrokenSnafu)?;
        self.stream.write_all(body).await.context(BrokenSnafu)
    }

    async fn read(&mut self, purpose: FramePurpose, limit: usize) -> Result<Vec<u8>, FrameError> {
        let mut announced = [0; LENGTH_FIELD_LENGTH];
        let (first, rest) = announced.split_at_mut(1);
        let count = self.stream.read(first).await.context(BrokenSnafu)?;
        snafu::ensure!(count > 0, EndedSnafu);
        self.read_exactly(rest).await?;
        // A length that doesn't fit into a `usize` is longer than any limit.
        let length = usize::try_from(u32::from_be_bytes(announced)).unwrap_or(usize::MAX);
        let allowed = (CODE_LENGTH..=limit).contains(&length);
        snafu::ensure!(allowed, LengthSnafu { length, limit });
        let mut code = [0; CODE_LENGTH];
        self.read_exactly(&mut code).await?;
        let mut signed = self.signed_prefix(purpose).to_vec();
        self.read_body(length - CODE_LENGTH, &mut signed).await?;
        let verified =
            parse_code(&code).is_some_and(|code| self.keys.verify(BULK_CONTEXT, &signed, code));
        snafu::ensure!(verified, UnauthenticatedSnafu);
        signed.drain(..PREFIX_LENGTH);
        Ok(signed)
    }

    async fn read_exactly(&mut self, bytes: &mut [u8]) -> Result<(), FrameError> {
        match self.stream.read_exact(bytes).await {
            Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => TruncatedSnafu.fail(),
            outcome => outcome.context(BrokenSnafu),
        }
    }

    /// Reads a body of `length` bytes. Memory is allocated for the bytes that arrive, not
    /// for the length that a peer announces.
    async fn read_body(&mut self, length: usize, signed: &mut Vec<u8>) -> Result<(), FrameError> {
        let limit = u64::try_from(length).unwrap_or(u64::MAX);
        let mut body = (&mut self.stream).take(limit);
        let read = body.read_to_end(signed).await.context(BrokenSnafu)?;
        snafu::ensure!(read == length, TruncatedSnafu);
        Ok(())
    }
}

fn random_nonce() -> Result<SessionNonce, FrameError> {
    let mut nonce = [0; NONCE_LENGTH];
    OsRng.try_fill_bytes(&mut nonce).context(RandomSnafu)?;
    Ok(nonce)
}

fn code_bytes(code: AuthenticationCode) -> [u8; CODE_LENGTH] {
    let mut bytes = [0; CODE_LENGTH];
    postcard::to_slice(&code, &mut bytes)
        .expect("an authentication code is encoded as its own bytes");
    bytes
}

fn parse_code(bytes: &[u8; CODE_LENGTH]) -> Option<AuthenticationCode> {
    postcard::from_bytes(bytes).ok()
}
