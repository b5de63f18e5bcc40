//! What became of the requests.

use std::ops;

use crate::load_support::LoadWorld;

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    Pending,
    /// Answered after this time.
    Answered(u64),
    /// Never served.
    Lost,
}

/// What a caller asked, and what became of it.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    pub route: usize,
    /// The domain of the caller.
    pub domain: usize,
    pub asked_at: u64,
    pub outcome: RequestOutcome,
    /// How often servers shed it.
    pub shed: u32,
    /// How often servers reset its flow.
    pub reset: u32,
    /// How often hosts reset the opening of its flow.
    pub refused: u32,
    /// How often hosts reset its open flow.
    pub ended: u32,
    /// How often a flow was opened for it.
    pub flows: u32,
    /// How many of these flows were opened to another domain.
    pub crossed: u32,
}

/// What a server did with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ArrivalFate {
    Accepted,
    Shed,
    /// The flow was reset as soon as it was open.
    Reset,
}

/// A request that reached a server.
#[derive(Debug, Clone, Copy)]
pub struct ArrivalRecord {
    pub at: u64,
    pub server: usize,
    /// The domain of the server.
    pub domain: usize,
    /// The domain of the caller.
    pub from: usize,
    pub route: usize,
    pub fate: ArrivalFate,
}

/// The sums over some requests.
#[derive(Debug, Default, Clone)]
pub struct RequestSummary {
    pub asked: u32,
    pub in_time: u32,
    pub late: u32,
    pub lost: u32,
    pub pending: u32,
    pub shed: u32,
    pub reset: u32,
    pub refused: u32,
    pub ended: u32,
    pub flows: u32,
    pub crossed: u32,
    /// The response times in ascending order.
    pub responses: Vec<u64>,
}

impl RequestSummary {
    /// The share of the requests that were answered, in time or late.
    pub fn served_share(&self) -> f64 {
        f64::from(self.in_time + self.late) / f64::from(self.asked.max(1))
    }

    /// The share of the requests that were answered within the latency goal.
    pub fn in_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked.max(1))
    }

    /// The share of the flows that were opened to another domain.
    pub fn crossed_share(&self) -> f64 {
        f64::from(self.crossed) / f64::from(self.flows.max(1))
    }

    /// The response time that `percent` per cent of the answers do not exceed.
    pub fn percentile(&self, percent: usize) -> u64 {
        let last = self.responses.len().saturating_sub(1);
        let rank = self.responses.len() * percent / 100;
        self.responses.get(rank.min(last)).copied().unwrap_or(0)
    }

    fn add(&mut self, request: &RequestRecord, goal: u64) {
        self.asked += 1;
        match request.outcome {
            RequestOutcome::Pending => self.pending += 1,
            RequestOutcome::Lost => self.lost += 1,
            RequestOutcome::Answered(time) => {
                self.responses.push(time);
                self.in_time += u32::from(time <= goal);
                self.late += u32::from(time > goal);
            }
        }
        self.shed += request.shed;
        self.reset += request.reset;
        self.refused += request.refused;
        self.ended += request.ended;
        self.flows += request.flows;
        self.crossed += request.crossed;
    }
}

/// The sums over some arrivals.
#[derive(Debug, Default, Clone, Copy)]
pub struct ArrivalSummary {
    pub arrived: u32,
    pub shed: u32,
    pub reset: u32,
}

impl ArrivalSummary {
    /// The share of the arrivals that servers shed or reset.
    pub fn refused_share(&self) -> f64 {
        f64::from(self.shed + self.reset) / f64::from(self.arrived.max(1))
    }
}

impl LoadWorld {
    /// Sums over the requests asked within `times` for which `which` holds.
    pub fn requests(
        &self,
        times: ops::Range<u64>,
        which: impl Fn(&RequestRecord) -> bool,
    ) -> RequestSummary {
        let mut summary = RequestSummary::default();
        let asked = self.requests.iter();
        for request in asked.filter(|one| times.contains(&one.asked_at) && which(one)) {
            let goal = self.routes[request.route].entry.latency_goal;
            summary.add(request, goal.as_micros() as u64);
        }
        summary.responses.sort_unstable();
        summary
    }

    /// Sums over the requests that reached servers within `times` for which `which` holds.
    pub fn arrivals(
        &self,
        times: ops::Range<u64>,
        which: impl Fn(&ArrivalRecord) -> bool,
    ) -> ArrivalSummary {
        let mut summary = ArrivalSummary::default();
        let arrived = self.arrivals.iter();
        for arrival in arrived.filter(|one| times.contains(&one.at) && which(one)) {
            summary.arrived += 1;
            summary.shed += u32::from(arrival.fate == ArrivalFate::Shed);
            summary.reset += u32::from(arrival.fate == ArrivalFate::Reset);
        }
        summary
    }
}
