//! A stand-in for the store that answers from memory and simulates faults.

use std::io::{Read, Write};
use std::net;
use std::sync;
use std::thread;
use std::time;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;

/// The maximum number of items of a page; small, so that tests read several pages.
const PAGE_ITEMS: usize = 12;
/// The maximum wait of a watch.
const MAX_WATCH_WAIT: time::Duration = time::Duration::from_millis(500);

/// A fault of the store.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum StoreFault {
    /// None: the store serves.
    #[default]
    None,
    /// The store closes connections without an answer.
    Reset,
    /// The store refuses calls with 503.
    Busy,
    /// The store never answers.
    Silent,
    /// Each answer is delayed by this time.
    Slow(time::Duration),
}

impl StoreFault {
    const fn is_outage(self) -> bool {
        matches!(self, Self::Reset | Self::Busy | Self::Silent)
    }
}

#[derive(Debug, Clone)]
struct StoredItem {
    key: String,
    /// `None` if the item was deleted.
    value: Option<String>,
    revision: u64,
}

impl StoredItem {
    fn json(&self) -> String {
        let Self { key, revision, .. } = self;
        match &self.value {
            Some(value) => {
                let value = STANDARD.encode(value);
                format!(r#"{{"key":"{key}","value":"{value}","rev":{revision}}}"#)
            }
            None => format!(r#"{{"key":"{key}","rev":{revision},"deleted":true}}"#),
        }
    }
}

/// A backup of the store.
#[derive(Debug, Clone)]
pub struct StoreBackup {
    items: Vec<StoredItem>,
    revision: u64,
}

/// The writes that the store lost because it was restored from a backup.
#[derive(Debug, Clone)]
pub struct LostWrites {
    writes: Vec<StoredItem>,
    /// The revision right after the restore.
    restored_at: u64,
}

#[derive(Debug, Default)]
struct StoreState {
    items: Vec<StoredItem>,
    revision: u64,
    /// How often the store was restored from a backup.
    era: u64,
    /// The history up to this revision is dropped.
    dropped: u64,
    fault: StoreFault,
    /// Requests that would have changed something.
    writes: Vec<String>,
    calls: u64,
}

/// A store that the test can write to.
#[derive(Debug, Clone)]
pub struct StandInStore {
    pub address: net::SocketAddr,
    state: sync::Arc<(sync::Mutex<StoreState>, sync::Condvar)>,
}

fn query<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = path.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

fn respond(era: u64, status: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\nstore-era: {era}\r\ncontent-length: {length}\r\n\r\n{body}")
}

impl StandInStore {
    pub fn start() -> Self {
        let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
        let store = Self {
            address: listener.local_addr().unwrap(),
            state: sync::Arc::default(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    fn change<T>(&self, change: impl FnOnce(&mut StoreState) -> T) -> T {
        let (state, changed) = &*self.state;
        let outcome = change(&mut state.lock().unwrap());
        changed.notify_all();
        outcome
    }

    /// Writes `value` under `key`, or deletes it. Returns the revision.
    pub fn write(&self, key: &str, value: Option<&str>) -> u64 {
        self.change(|state| {
            state.revision += 1;
            state.items.retain(|held| held.key != key);
            state.items.push(StoredItem {
                key: key.to_owned(),
                value: value.map(str::to_owned),
                revision: state.revision,
            });
            state.revision
        })
    }

    /// Sets whether connections are closed without an answer.
    pub fn set_down(&self, down: bool) {
        self.set_fault(if down {
            StoreFault::Reset
        } else {
            StoreFault::None
        });
    }

    /// Sets the fault.
    pub fn set_fault(&self, fault: StoreFault) {
        self.change(|state| state.fault = fault);
    }

    /// Drops the history of changes up to now; the items stay.
    pub fn drop_history(&self) {
        self.change(|state| state.dropped = state.revision);
    }

    /// A backup of the current items.
    pub fn backup(&self) -> StoreBackup {
        self.change(|state| StoreBackup {
            items: state.items.clone(),
            revision: state.revision,
        })
    }

    /// Restores the store from `backup`: later writes are lost, their revisions are assigned
    /// again, and waiting calls are aborted. Returns the lost writes.
    pub fn restore(&self, backup: StoreBackup) -> LostWrites {
        self.change(|state| {
            let lost = std::mem::replace(&mut state.items, backup.items);
            state.revision = backup.revision;
            state.dropped = state.dropped.min(backup.revision);
            state.era += 1;
            let is_lost = |item: &StoredItem| item.revision > backup.revision;
            LostWrites {
                writes: lost.into_iter().filter(is_lost).collect(),
                restored_at: backup.revision,
            }
        })
    }

    /// Repeats the lost writes, except for keys that have been written since the restore.
    pub fn write_again(&self, lost: LostWrites) {
        for write in lost.writes {
            let is_newer =
                |item: &StoredItem| item.key == write.key && item.revision > lost.restored_at;
            if !self.change(|state| state.items.iter().any(is_newer)) {
                self.write(&write.key, write.value.as_deref());
            }
        }
    }

    /// Requests that would have changed something. A host must not send any.
    pub fn writes(&self) -> Vec<String> {
        self.change(|state| state.writes.clone())
    }

    /// Records `request` as one that would have changed something.
    pub fn note_write(&self, request: &str) {
        self.change(|state| state.writes.push(request.to_owned()));
    }

    /// The number of calls.
    pub fn calls(&self) -> u64 {
        self.change(|state| state.calls)
    }

    fn serve(&self, mut stream: net::TcpStream) -> Option<()> {
        loop {
            let mut request = Vec::new();
            while !request.ends_with(b"\r\n\r\n") {
                let mut byte = [0];
                stream.read_exact(&mut byte).ok()?;
                request.push(byte[0]);
            }
            let request = String::from_utf8(request).ok()?;
            let answer = self.answer(&request)?;
            stream.write_all(answer.as_bytes()).ok()?;
        }
    }

    /// The answer; `None` closes the connection.
    fn answer(&self, request: &str) -> Option<String> {
        let path = request.split(' ').nth(1)?;
        let (fault, era) = self.change(|state| {
            state.calls += 1;
            if !request.starts_with("GET ") {
                state.writes.push(request.to_owned());
            }
            (state.fault, state.era)
        });
        match fault {
            StoreFault::None => {}
            StoreFault::Reset => return None,
            StoreFault::Busy => return Some(respond(era, "503 Service Unavailable", "")),
            StoreFault::Silent => {
                self.wait_while(|state| state.fault == StoreFault::Silent);
                return None;
            }
            StoreFault::Slow(delay) => thread::sleep(delay),
        }
        if path.starts_with("/-/kv-range") {
            Some(self.list(query(path, "after").unwrap_or_default()))
        } else {
            self.watch(query(path, "after")?.parse().ok()?)
        }
    }

    fn wait_while(&self, mut holds: impl FnMut(&StoreState) -> bool) {
        let (state, changed) = &*self.state;
        let held = state.lock().unwrap();
        drop(changed.wait_while(held, |state| holds(state)).unwrap());
    }

    fn list(&self, after: &str) -> String {
        let (state, _) = &*self.state;
        let state = state.lock().unwrap();
        let mut listed: Vec<_> = state.items.iter().collect();
        listed.retain(|item| item.value.is_some() && item.key.as_str() > after);
        listed.sort_by(|one, other| one.key.cmp(&other.key));
        let more = listed.len() > PAGE_ITEMS;
        let items: Vec<_> = listed
            .iter()
            .take(PAGE_ITEMS)
            .map(|one| one.json())
            .collect();
        let (items, revision) = (items.join(","), state.revision);
        let body = format!(r#"{{"items":[{items}],"has-more":{more},"as-of":{revision}}}"#);
        respond(state.era, "200 OK", &body)
    }

    fn watch(&self, after: u64) -> Option<String> {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let deadline = time::Instant::now() + MAX_WATCH_WAIT;
        let era = state.era;
        if after > state.revision {
            return Some(respond(era, "410 Gone", ""));
        }
        while state.revision <= after && !state.fault.is_outage() && state.era == era {
            let left = deadline.saturating_duration_since(time::Instant::now());
            if left.is_zero() {
                break;
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
        if state.fault.is_outage() || state.era != era {
            return None;
        }
        if after < state.dropped {
            return Some(respond(era, "410 Gone", ""));
        }
        let newer = state.items.iter().filter(|item| item.revision > after);
        let events: Vec<_> = newer.map(StoredItem::json).collect();
        let (events, revision) = (events.join(","), state.revision);
        let body = format!(r#"{{"events":[{events}],"as-of":{revision}}}"#);
        Some(respond(era, "200 OK", &body))
    }
}
