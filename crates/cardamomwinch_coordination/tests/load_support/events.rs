//! What happens, in the order of virtual time.

use std::cmp;
use std::collections;

use cardamomwinch_coordination::forwarding::packet::{FlowToken, PacketKind};

/// A flow: the number of its caller and the number of the flow among those of the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct FlowNumber {
    pub caller: usize,
    pub flow: u16,
}

/// A packet of a caller.
#[derive(Debug, Clone, Copy)]
pub struct CallerPacket {
    pub number: FlowNumber,
    pub kind: PacketKind,
    pub token: FlowToken,
    pub sequence: u32,
    pub acknowledged: u32,
    pub length: u16,
}

/// A message to a caller.
#[derive(Debug, Clone, Copy)]
pub enum CallerMessage {
    /// A server confirmed the opening.
    Opened {
        server: usize,
        token: FlowToken,
    },
    /// The server has the data of the request that ends at this position.
    Received {
        sequence: u32,
    },
    /// An answer of this many bytes.
    Answer {
        bytes: u32,
    },
    /// The server has not run the request.
    Shed,
    /// The server has failed to run the request.
    Failed,
    ServerReset,
    HostReset,
}

/// What a caller waits for.
#[derive(Debug, Clone, Copy)]
pub enum CallerTimer {
    /// A copy of the opening is due; after the last one the caller gives up.
    Opening { copy: u32 },
    /// The request is due again.
    Resend { request: usize, pause: u64 },
    /// So many bytes of the answer have arrived.
    Part { request: usize, bytes: u32 },
    /// The request is given up.
    Deadline { request: usize },
    /// The next request of a long flow.
    Next,
}

/// A request at a server.
#[derive(Debug, Clone, Copy)]
pub struct ServerJob {
    pub number: FlowNumber,
    pub message: CallerMessage,
    /// Whether it holds a slot.
    pub in_slot: bool,
}

#[derive(Debug, Clone, Copy)]
pub enum LoadEvent {
    Tick {
        host: usize,
    },
    Arrival {
        pattern: usize,
    },
    AtFabric(CallerPacket),
    AtHost {
        host: usize,
        packet: CallerPacket,
    },
    AtServer {
        server: usize,
        packet: CallerPacket,
    },
    /// A server answers. `life` is the number of its restarts when the work began.
    Done {
        server: usize,
        job: ServerJob,
        life: u32,
    },
    AtCaller {
        flow: FlowNumber,
        message: CallerMessage,
    },
    Timer {
        flow: FlowNumber,
        timer: CallerTimer,
    },
}

#[derive(Debug)]
struct QueuedEvent {
    at: u64,
    order: u64,
    event: LoadEvent,
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for QueuedEvent {}

impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedEvent {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

/// Events in the order of their times; those of one time in the order in which they were
/// added.
#[derive(Debug, Default)]
pub struct EventQueue {
    heap: collections::BinaryHeap<QueuedEvent>,
    count: u64,
}

impl EventQueue {
    pub fn push(&mut self, at: u64, event: LoadEvent) {
        self.count += 1;
        let order = self.count;
        self.heap.push(QueuedEvent { at, order, event });
    }

    /// The next event before `end`.
    pub fn pop_before(&mut self, end: u64) -> Option<(u64, LoadEvent)> {
        if self.heap.peek()?.at >= end {
            return None;
        }
        self.heap.pop().map(|next| (next.at, next.event))
    }
}
