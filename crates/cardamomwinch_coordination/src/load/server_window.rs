//! Which servers of a service in a failure domain one host opens flows to.
//!
//! If every host used every server, each would count one or two flows of a server that holds
//! ten, and its choice would be nearly random. With windows, a server is used by few hosts,
//! so that the own count of each shows most of the server's load.

/// The smallest window. Fewer servers leave too little choice if one of them is slow or does
/// not answer.
const MIN_SERVERS: usize = 4;
/// The smallest window if positions are hashes. Some servers are then in twice as many windows
/// as others. In smaller windows, a host has too few alternatives to these servers, and too few
/// flows to notice that they are full.
const MIN_HASHED_SERVERS: usize = 8;
/// The number of hosts that share a server if the ranks of all hosts are known: with two, no
/// server is left without a host when one host fails.
const RANKED_COVERAGE: u128 = 2;
/// The number of hosts that share a server on average if positions are hashes. Hashes are
/// not evenly spaced: with a mean of 2 hosts, 14 % of the servers are in no window. With 16,
/// one server in 500,000 is in fewer than two.
const HASHED_COVERAGE: u128 = 16;
/// The number of hosts from which on a list may be truncated, so that ranks are unknown.
const TRUNCATED_LENGTH: usize = 64;
/// The number of values of a host's hash.
const HASH_RANGE: u128 = 1 << 64;

/// Where a host stands among the hosts of its failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostPosition {
    /// The position is the fraction `part / parts` of the list of servers.
    part: u128,
    parts: u128,
    hosts: u128,
    coverage: u128,
    min_servers: usize,
}

impl HostPosition {
    /// The position of the host with the hash `own` among the hosts with the hashes `hosts`,
    /// which are all hosts of the domain or the 64 with the lowest hashes.
    ///
    /// In a truncated list, the hash itself gives the position, because a host that is not
    /// listed cannot know its rank. The number of hosts is estimated from the spacing of
    /// those listed.
    pub fn new(own: u64, hosts: &[u64]) -> Self {
        if hosts.len() >= TRUNCATED_LENGTH {
            return Self {
                part: own.into(),
                parts: HASH_RANGE,
                hosts: estimated_hosts(hosts),
                coverage: HASHED_COVERAGE,
                min_servers: MIN_HASHED_SERVERS,
            };
        }
        let rank = hosts.iter().filter(|hash| **hash < own).count();
        let unlisted = usize::from(!hosts.contains(&own));
        let count = (hosts.len() + unlisted) as u128;
        Self {
            part: rank as u128,
            parts: count,
            hosts: count,
            coverage: RANKED_COVERAGE,
            min_servers: MIN_SERVERS,
        }
    }

    /// The window of the host among `servers` servers.
    pub fn window(&self, servers: usize) -> ServerWindow {
        let count = servers as u128;
        let start = self.part * count / self.parts;
        let share = (self.coverage * count).div_ceil(self.hosts);
        ServerWindow {
            start: start as usize,
            size: (share.min(count) as usize)
                .max(self.min_servers)
                .min(servers),
            servers,
        }
    }
}

/// The number of hosts whose lowest hashes are `hosts`, if hashes are spread evenly.
fn estimated_hosts(hosts: &[u64]) -> u128 {
    let highest = hosts.iter().max().copied().unwrap_or(u64::MAX);
    let known = hosts.len() as u128;
    let estimate = (known - 1) * HASH_RANGE / u128::from(highest.max(1));
    estimate.max(known)
}

/// Consecutive servers in the sorted list of the servers of a service in a failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerWindow {
    start: usize,
    size: usize,
    servers: usize,
}

impl ServerWindow {
    /// The position of the first server.
    pub const fn start(&self) -> usize {
        self.start
    }

    /// The number of servers in the window.
    pub const fn size(&self) -> usize {
        self.size
    }

    /// Whether the window contains all servers.
    pub const fn covers_all(&self) -> bool {
        self.size >= self.servers
    }

    /// The window of twice the size, at most all servers.
    #[must_use]
    pub fn doubled(self) -> Self {
        Self {
            size: self.size.saturating_mul(2).min(self.servers),
            ..self
        }
    }

    /// The positions of the servers in the list, which wrap around at its end.
    pub fn positions(&self) -> impl Iterator<Item = usize> {
        let Self {
            start,
            size,
            servers,
        } = *self;
        (start..start + size).map(move |position| position % servers)
    }
}
