//! Measures the messages, bytes and processor time of the control protocols per host
//! while nothing changes: membership, home leases and configuration together, in
//! complete host engines that send each other sealed messages, in simulated time.
//!
//! ```text
//! cargo run --release -p cardamomwinch_coordination --example control_cost -- 3x3 3x32
//! ```
//!
//! A size is the number of failure domains and of hosts in each; an optional third
//! number is the shards of a domain, by default 32. With a single size, only its row
//! is printed. Bytes are those of sent messages: encoded, with the authentication code
//! and 28 bytes of UDP and IP headers. Processor time is that of the thread, so that
//! other programs on the machine don't count. It includes encoding, sealing and opening
//! of messages, but no system calls and no traffic.
#![allow(missing_docs)]

use std::collections::VecDeque;
use std::env;
use std::fmt::Write;
use std::fs;
use std::process;
use std::time;

use cardamomwinch_coordination::control::event::PlatformAnswer;
use cardamomwinch_coordination::prelude::*;
use cardamomwinch_protocol::peer::PEER_CONTEXT;
use cardamomwinch_protocol::prelude::*;
use cardamomwinch_state::prelude::*;
use rustix::time::{ClockId, clock_gettime};

const SIZES: [&str; 6] = ["3x3", "3x10", "3x32", "10x3", "10x10", "10x32"];
const SHARDS: u64 = 32;
const BEGIN: u64 = 1_000_000_000;
const MILLISECOND: u64 = 1_000;
const TICK_MILLIS: u64 = 100;
/// Time until all hosts know each other and the rumours of the start have ended.
const WARM_UP_MILLIS: u64 = 60_000;
const MEASURED_MILLIS: u64 = 30_000;
/// UDP and IP headers.
const HEADER_BYTES: usize = 28;
/// The size of the buffer for sealed messages.
const MAX_MESSAGE_BYTES: usize = 2 * 1024 * 1024;
const PAGE_BYTES: u64 = 4096;

/// The size of a fleet.
#[derive(Debug, Clone, Copy)]
struct FleetSize {
    domains: u64,
    hosts: u64,
    shards: u64,
}

impl FleetSize {
    fn parse(text: &str) -> Option<Self> {
        let mut numbers = text.split('x').map(str::parse::<u64>);
        Some(Self {
            domains: numbers.next()?.ok()?,
            hosts: numbers.next()?.ok()?,
            shards: numbers.next().unwrap_or(Ok(SHARDS)).ok()?,
        })
    }

    fn total(self) -> u64 {
        self.domains * self.hosts
    }

    fn list(self) -> String {
        let mut text = "{\"hosts\": {".to_owned();
        for host in 0..self.total() {
            let comma = if host == 0 { "" } else { "," };
            let domain = host % self.domains;
            let [.., high, low] = (host as u32).to_be_bytes();
            write!(
                text,
                "{comma}\"host-{host}\": {{\"domain\": \"domain-{domain}\", \
                 \"traffic_address\": \"127.1.{high}.{low}:1\", \
                 \"relay_address\": \"127.1.{high}.{low}:2\", \
                 \"peer_address\": \"127.1.{high}.{low}:3\"}}"
            )
            .expect("writing to a string cannot fail");
        }
        text + "}}"
    }

    fn root(self) -> String {
        let shards = self.shards;
        format!(
            r#"{{"preset": "p", "teams": {{"t": 1}}, "limits": {{"shards_per_domain": {shards}}}}}"#
        )
    }
}

/// What one host has sent since the counts were reset.
#[derive(Debug, Default, Clone, Copy)]
struct SentCounts {
    messages: u64,
    membership: u64,
    homes: u64,
    configuration: u64,
}

impl SentCounts {
    fn count(&mut self, message: &PeerMessage, bytes: usize) {
        self.messages += 1;
        let kind = match message {
            PeerMessage::Membership(_) => &mut self.membership,
            PeerMessage::Home(_) => &mut self.homes,
            PeerMessage::Configuration(_) => &mut self.configuration,
        };
        *kind += (bytes + HEADER_BYTES) as u64;
    }

    fn bytes(self) -> u64 {
        self.membership + self.homes + self.configuration
    }
}

struct SealedMessage {
    to: HostId,
    sealed: Vec<u8>,
}

/// Complete host engines; each message takes a millisecond.
struct Fleet {
    now: u64,
    keys: AuthenticationKeys,
    engines: Vec<HostEngine>,
    positions: SortedVector<HostId, usize>,
    sent: Vec<SentCounts>,
    messages: VecDeque<SealedMessage>,
    buffer: Vec<u8>,
}

impl Fleet {
    fn start(size: FleetSize) -> Self {
        let keys = AuthenticationKeys::new(SecretKey::new([7; 32]), None);
        let identities: Vec<HostIdentity> = (0..size.total())
            .map(|host| HostIdentity {
                host: HostId::from_name(&format!("host-{host}")),
                domain: DomainId::from_name(&format!("domain-{}", host % size.domains)),
                incarnation: Incarnation::new(BEGIN),
            })
            .collect();
        let bounds = TrafficBounds {
            flows: 1_000,
            request_records: 1_000,
            ..TrafficBounds::default()
        };
        let build = |identity: &HostIdentity| {
            let builder = HostBuilder::new(*identity, keys.clone());
            builder.with_bounds(bounds.clone()).build()
        };
        let positions = identities.iter().enumerate();
        let mut fleet = Self {
            now: BEGIN,
            engines: identities.iter().map(build).collect(),
            positions: positions.map(|(index, held)| (held.host, index)).collect(),
            sent: vec![SentCounts::default(); identities.len()],
            messages: VecDeque::new(),
            buffer: vec![0; MAX_MESSAGE_BYTES],
            keys,
        };
        let (list, root) = (size.list(), size.root());
        let fragment = r#"{"team": "t", "services": {}, "presets": {}}"#;
        for host in 0..fleet.engines.len() {
            fleet.control(host, ControlEvent::Start);
            fleet.apply_document(host, PlatformKey::Hosts, &list);
            fleet.apply_document(host, PlatformKey::Root, &root);
            fleet.apply_document(host, PlatformKey::Team("t".to_owned()), fragment);
        }
        fleet
    }

    fn apply_document(&mut self, host: usize, key: PlatformKey, text: &str) {
        let request = PlatformRequest {
            key,
            after: None,
            wait: time::Duration::ZERO,
        };
        let text = text.to_owned();
        let result = Ok(PlatformAnswer::Value { revision: 1, text });
        let outcome = PlatformOutcome { request, result };
        self.control(host, ControlEvent::Platform(outcome));
    }

    fn control(&mut self, host: usize, event: ControlEvent) {
        let now = Timestamp::new(self.now);
        let (messages, sent) = (&mut self.messages, &mut self.sent[host]);
        let (keys, buffer) = (&self.keys, &mut self.buffer);
        let mut sink = |effect: HostEffect<'_>| {
            if let HostEffect::Control(ControlEffect::ToPeer { host, envelope, .. }) = effect {
                let sealed = keys
                    .seal(PEER_CONTEXT, &envelope, buffer)
                    .expect("the buffer holds the largest message");
                sent.count(&envelope.message, sealed.len());
                let sealed = sealed.to_vec();
                messages.push_back(SealedMessage { to: host, sealed });
            }
        };
        self.engines[host].handle(now, HostEvent::Control(event), &mut sink);
    }

    fn pass(&mut self, millis: u64) {
        for _ in 0..millis {
            self.now += MILLISECOND;
            for _ in 0..self.messages.len() {
                self.deliver_next();
            }
            let phase = self.now / MILLISECOND % TICK_MILLIS;
            let first = phase as usize;
            for host in (first..self.engines.len()).step_by(TICK_MILLIS as usize) {
                self.control(host, ControlEvent::Tick);
            }
        }
    }

    fn deliver_next(&mut self) {
        let Some(message) = self.messages.pop_front() else {
            return;
        };
        let envelope = self.keys.open(PEER_CONTEXT, &message.sealed);
        let position = self.positions.get(&message.to).copied();
        if let (Ok(envelope), Some(host)) = (envelope, position) {
            self.control(host, ControlEvent::Peer(envelope));
        }
    }

    fn reachable_share(&self) -> f64 {
        let now = Timestamp::new(self.now);
        let (mut reached, mut checked) = (0_u64, 0_u64);
        for engine in &self.engines {
            for host in self.positions.keys() {
                checked += 1;
                let own = engine.control().identity().host == *host;
                reached += u64::from(own || engine.control().membership().is_reachable(now, *host));
            }
        }
        reached as f64 * 100.0 / checked as f64
    }

    fn held_shards(&self) -> usize {
        let now = Timestamp::new(self.now);
        let held = self.engines.iter().map(|engine| {
            let snapshot = engine.snapshot();
            let shards = snapshot.shards.keys();
            shards
                .filter(|shard| snapshot.lease_at(**shard, now).is_some())
                .count()
        });
        held.sum()
    }
}

fn thread_time() -> time::Duration {
    let spent = clock_gettime(ClockId::ThreadCPUTime);
    time::Duration::new(spent.tv_sec as u64, spent.tv_nsec as u32)
}

fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or_default()
        * PAGE_BYTES
}

fn measure(size: FleetSize) {
    let resident = resident_bytes();
    let mut fleet = Fleet::start(size);
    fleet.pass(WARM_UP_MILLIS);
    fleet.sent.fill(SentCounts::default());
    let begun = thread_time();
    fleet.pass(MEASURED_MILLIS);
    let spent = thread_time() - begun;
    let seconds = MEASURED_MILLIS as f64 / 1000.0;
    let host_seconds = seconds * fleet.engines.len() as f64;
    let mean = |part: fn(&SentCounts) -> u64| {
        let total: u64 = fleet.sent.iter().map(part).sum();
        total as f64 / host_seconds
    };
    let worst = fleet.sent.iter().map(|sent| sent.bytes()).max();
    println!(
        "| {} | {} | {} | {:.1} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} | {:.3} | {} | {:.1} | {} of {} |",
        size.domains,
        size.hosts,
        size.shards,
        mean(|sent| sent.messages),
        mean(|sent| sent.membership),
        mean(|sent| sent.homes),
        mean(|sent| sent.configuration),
        mean(|sent| sent.bytes()),
        worst.unwrap_or_default() as f64 / seconds,
        spent.as_secs_f64() * 100.0 / host_seconds,
        resident_bytes().saturating_sub(resident) / size.total() / 1024,
        fleet.reachable_share(),
        fleet.held_shards(),
        size.shards * size.domains,
    );
}

/// Measures each size in a separate process, because a later measurement would reuse
/// memory that an earlier one freed and so appear too small.
fn main() {
    let given: Vec<String> = env::args().skip(1).collect();
    let sizes: Vec<FleetSize> = given
        .iter()
        .filter_map(|text| FleetSize::parse(text))
        .collect();
    if let [size] = sizes.as_slice() {
        return measure(*size);
    }
    println!(
        "| domains | hosts a domain | shards a domain | messages/s a host | membership B/s | leases B/s | configuration B/s | all B/s, mean | worst host B/s | % of a core a host | KiB a host | reachable % | shards held |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    let texts = given.iter().map(String::as_str);
    let texts: Vec<&str> = if sizes.is_empty() {
        SIZES.to_vec()
    } else {
        texts.collect()
    };
    for text in texts {
        let program = env::current_exe().expect("a running program has a path");
        if let Err(error) = process::Command::new(program).arg(text).status() {
            eprintln!("cannot measure {text}: {error}");
        }
    }
}
