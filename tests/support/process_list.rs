//! The child processes of a process.

use std::fs;

/// A process; its start time distinguishes it from a later one with the same id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ListedProcess {
    id: u32,
    parent: u32,
    started: u64,
    ended: bool,
}

impl ListedProcess {
    /// Reads the process `id` from `/proc`; `None` if it doesn't exist.
    fn read(id: u32) -> Option<Self> {
        let text = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        // The name of the program stands in parentheses and may hold spaces.
        let (_, rest) = text.rsplit_once(") ")?;
        let fields: Vec<_> = rest.split(' ').collect();
        Some(Self {
            id,
            parent: fields.get(1)?.parse().ok()?,
            started: fields.get(19)?.parse().ok()?,
            ended: matches!(fields.first(), Some(&("Z" | "X"))),
        })
    }

    /// Whether the process is still running.
    pub(crate) fn is_running(&self) -> bool {
        Self::read(self.id).is_some_and(|now| now.started == self.started && !now.ended)
    }
}

/// The children of `parent`.
pub(crate) fn children_of(parent: u32) -> Vec<ListedProcess> {
    let entries = fs::read_dir("/proc").unwrap().flatten();
    let ids = entries.filter_map(|entry| entry.file_name().to_str()?.parse().ok());
    let processes = ids.filter_map(ListedProcess::read);
    processes
        .filter(|process| process.parent == parent)
        .collect()
}
