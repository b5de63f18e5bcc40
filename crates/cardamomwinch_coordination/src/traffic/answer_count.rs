//! How many answers a backend server has sent beside those that its home has seen.
//!
//! A load report is asked for directly, while answers come through the fabric and another
//! host. So a report may say that a request does not run any more before its answer is here.

/// The answers of one server, as its home compares them from report to report.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct AnswerCount {
    seen: u64,
    /// By how much the server's count is ahead when no answer is under way.
    offset: Option<i64>,
    /// Answers that were sent and not seen at the last report.
    missing: i64,
}

impl AnswerCount {
    /// Notes that an answer came whole.
    pub fn note_seen(&mut self) {
        self.seen += 1;
    }

    /// Takes in a report and returns whether answers may be under way: more were sent and
    /// are not here than at the report before. `sent` is what the server counts, `running`
    /// what its home takes to run there, and `busy` what runs by the report.
    ///
    /// An answer that is still missing at the next report is taken to be lost.
    pub fn take_report(&mut self, sent: Option<u64>, running: u32, busy: u32) -> bool {
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
