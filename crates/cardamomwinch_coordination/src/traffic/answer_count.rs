//! Compares the number of answers that a backend server has sent with the number that its
//! home has received.
//!
//! The home fetches load reports directly from the server, while answers arrive through
//! the fabric and another host. A report may therefore show that a request no longer runs
//! before its answer has arrived.

/// Answer counts of one server, compared at each load report.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct AnswerCount {
    seen: u64,
    /// The server's count minus `seen` when no answer is under way.
    offset: Option<i64>,
    /// Answers that had been sent but not received at the last report.
    missing: i64,
}

impl AnswerCount {
    /// Counts an answer of which every part has arrived.
    pub fn note_seen(&mut self) {
        self.seen += 1;
    }

    /// Applies a load report and returns whether answers may be under way, which is the
    /// case if more answers are missing than at the previous report. `sent` is the number
    /// of answers that the server has counted, `running` the number of requests that the
    /// home counts as running there, and `busy` the number of busy slots in the report.
    ///
    /// An answer that is still missing at the next report is considered lost.
    pub fn apply_report(&mut self, sent: Option<u64>, running: u32, busy: u32) -> bool {
        let Some(sent) = sent else {
            *self = Self::default();
            return false;
        };
        let ahead = sent.wrapping_sub(self.seen).cast_signed();
        let unseen = ahead - *self.offset.get_or_insert(ahead);
        if running <= busy || unseen < 0 {
            self.offset = Some(ahead);
            self.missing = 0;
            return false;
        }
        let under_way = unseen > self.missing;
        self.missing = unseen;
        under_way
    }
}
