//! The thread that discovers the configuration and the servers and publishes them as a
//! view.

use std::cell;
use std::net;
use std::rc;
use std::time;

use async_channel::{Receiver, Sender};
use async_io::Timer;
use cardamomwinch_coordination::forwarding::discovery::DiscoveryEngine;
use cardamomwinch_coordination::forwarding::discovery::peer_messages::{
    PeerAnswer, PeerQuery, PeerReport,
};
use cardamomwinch_coordination::forwarding::discovery::store_call::{StoreCall, StoreOutcome};
use cardamomwinch_coordination::forwarding::discovery::waiting_queries::WaitingQueries;
use cardamomwinch_coordination::forwarding::server_reports::ServerReport;
use cardamomwinch_platform::prelude::StoreClient;
use cardamomwinch_protocol::administration::DiscoveryReport;
use cardamomwinch_state::prelude::Timestamp;
use cardamomwinch_transport::prelude::{
    Clock, DecisionLogger, HostClock, PeerClient, TickPlan, TimerService,
};

use crate::administration;
use crate::discovery_lines::DiscoveryLine;
use crate::peer_calls;
use crate::view_cell::ViewCell;

/// The period of the tick, which expires old data and answers queries whose wait is over.
const TICK_PERIOD: time::Duration = time::Duration::from_millis(500);
/// The pause after reports were sent, during which further ones are collected. It is short
/// compared with the half second after which reports take effect, but keeps the number of
/// calls low even while a whole failure domain fails.
const REPORT_PAUSE: time::Duration = time::Duration::from_millis(100);

/// A message to the control thread.
pub enum ControlMessage {
    /// A peer queries what the host knows.
    PeerQuery {
        /// The query, with what the peer knows already.
        query: PeerQuery,
        /// Receives the answer.
        answer: Sender<PeerAnswer>,
    },
    /// The traffic thread reports about servers.
    TrafficReports {
        /// The reports.
        reports: Vec<ServerReport>,
    },
    /// A peer reports about servers.
    PeerReports {
        /// The reports.
        reports: Vec<PeerReport>,
    },
    /// An operator queries what the host knows.
    OperatorQuery {
        /// Receives the answer.
        answer: Sender<DiscoveryReport>,
    },
}

struct ControlState {
    engine: DiscoveryEngine,
    waiting: WaitingQueries<Sender<PeerAnswer>>,
    /// Wakes the task that sends reports to peers.
    reporting: Sender<()>,
    logger: DecisionLogger<DiscoveryLine>,
    views: ViewCell,
    clock: HostClock,
    version: metrics::Gauge,
    servers: metrics::Gauge,
    view_age: metrics::Gauge,
}

impl ControlState {
    /// Calls `update` on the engine, then logs the changes, publishes the view and answers the
    /// queries that are due.
    fn update_engine<T>(&mut self, update: impl FnOnce(&mut DiscoveryEngine) -> T) -> T {
        let outcome = update(&mut self.engine);
        let now = self.clock.now();
        for change in self.engine.take_changes() {
            self.logger.log(now, &DiscoveryLine::from(&change));
        }
        let view = self.engine.view();
        self.version.set(view.routes.version().get() as f64);
        self.servers.set(view.directory.listed_count() as f64);
        self.view_age.set(view.age(now).as_secs_f64());
        self.views.publish(view);
        self.answer_due_queries(now);
        outcome
    }

    /// Adds reports, and wakes the task that sends reports to peers if any of them is new.
    fn add_reports(&mut self, now: Timestamp, reports: impl Iterator<Item = ServerReport>) {
        if self.update_engine(|engine| engine.add_reports(now, reports)) {
            self.wake_reporting();
        }
    }

    /// Wakes the task that sends reports to peers. If the channel is full, the task has been
    /// woken already.
    fn wake_reporting(&self) {
        let _: Result<_, _> = self.reporting.try_send(());
    }

    /// Answers the waiting queries that are due.
    fn answer_due_queries(&mut self, now: Timestamp) {
        for due in self.waiting.take_due(&mut self.engine, now) {
            let mut answer = self.engine.answer_query(now, &due.query);
            answer.waited = due.waited;
            // The peer may have closed its call since.
            drop(due.answer.try_send(answer));
        }
    }
}

/// The state that the tasks of the control thread share.
#[derive(Clone)]
pub struct ControlThread {
    state: rc::Rc<cell::RefCell<ControlState>>,
    /// Receives a unit when there may be reports to send to peers.
    reported: Receiver<()>,
    timers: TimerService<HostClock>,
}

impl ControlThread {
    /// Creates the state; its tasks have to be started.
    pub fn new(
        engine: DiscoveryEngine,
        logger: DecisionLogger<DiscoveryLine>,
        views: ViewCell,
        timers: TimerService<HostClock>,
    ) -> Self {
        metrics::describe_gauge!(
            "cardamomwinch_configuration_version",
            "The version of the configuration in force."
        );
        metrics::describe_gauge!(
            "cardamomwinch_servers",
            "Backend servers that the store lists."
        );
        metrics::describe_gauge!(
            "cardamomwinch_view_age_seconds",
            "The age of the last word of the store, directly or through a peer."
        );
        let (reporting, reported) = async_channel::bounded(1);
        let state = ControlState {
            reporting,
            engine,
            waiting: WaitingQueries::default(),
            logger,
            views,
            clock: *timers.clock(),
            version: metrics::gauge!("cardamomwinch_configuration_version"),
            servers: metrics::gauge!("cardamomwinch_servers"),
            view_age: metrics::gauge!("cardamomwinch_view_age_seconds"),
        };
        Self {
            state: rc::Rc::new(cell::RefCell::new(state)),
            reported,
            timers,
        }
    }

    /// Reads the store, with one call at a time.
    pub async fn read_store(self, mut client: StoreClient) {
        metrics::describe_counter!(
            "cardamomwinch_store_calls_total",
            "Calls to the store by outcome."
        );
        let answered =
            metrics::counter!("cardamomwinch_store_calls_total", "outcome" => "answered");
        let failed = metrics::counter!("cardamomwinch_store_calls_total", "outcome" => "failed");
        loop {
            let call = {
                let mut state = self.state.borrow_mut();
                let now = state.clock.now();
                state.update_engine(|engine| engine.next_store_call(now))
            };
            let outcome = match &call {
                StoreCall::Pause(pause) => {
                    Timer::after(*pause).await;
                    StoreOutcome::Paused
                }
                call => match client.perform(call).await {
                    Ok(outcome) => {
                        answered.increment(1);
                        outcome
                    }
                    Err(error) => {
                        failed.increment(1);
                        log::warn!("{error}");
                        StoreOutcome::Failed
                    }
                },
            };
            let mut state = self.state.borrow_mut();
            let now = state.clock.now();
            let sent_at = now.before(client.body_time());
            state.update_engine(|engine| engine.handle_store_answer(now, sent_at, outcome));
        }
    }

    /// Runs the periodic work of the engine.
    pub async fn tick(self) {
        let plan = TickPlan {
            period: TICK_PERIOD,
            jitter: time::Duration::ZERO,
            seed: 0,
        };
        let mut ticks = self.timers.subscribe_ticks((), plan);
        loop {
            ticks.next().await;
            let mut state = self.state.borrow_mut();
            let now = state.clock.now();
            state.update_engine(|engine| engine.tick(now));
            state.logger.report_left_out(now);
        }
    }

    /// Queries the peers that the engine chooses, one at a time.
    pub async fn query_peers(self, client: PeerClient) {
        loop {
            self.query_peer(&client).await;
            let pause = self.state.borrow().engine.peer_pause();
            Timer::after(pause).await;
        }
    }

    async fn query_peer(&self, client: &PeerClient) {
        let next = {
            let mut state = self.state.borrow_mut();
            let now = state.clock.now();
            state.update_engine(|engine| engine.next_query(now))
        };
        let Some((peer, query)) = next else {
            return;
        };
        let answer = match peer_calls::query(client, peer, query).await {
            Ok(answer) => Some(answer),
            Err(error) => {
                log::info!("{error}");
                None
            }
        };
        self.handle_answer(peer, answer);
    }

    fn handle_answer(&self, peer: net::SocketAddr, answer: Option<PeerAnswer>) {
        let mut state = self.state.borrow_mut();
        let now = state.clock.now();
        let serial_before = state.engine.view().reports.serial();
        state.update_engine(|engine| engine.handle_answer(now, peer, answer));
        if state.engine.view().reports.serial() != serial_before {
            state.wake_reporting();
        }
    }

    /// Sends new reports about servers to peers.
    pub async fn send_reports(self, client: PeerClient) {
        while self.reported.recv().await.is_ok() {
            let next = {
                let mut state = self.state.borrow_mut();
                let now = state.clock.now();
                state.engine.next_reports(now)
            };
            if let Some((peer, reports)) = next
                && let Err(error) = peer_calls::send_reports(&client, peer, reports).await
            {
                log::info!("{error}");
                self.state.borrow_mut().engine.forget_sent_reports();
            }
            Timer::after(REPORT_PAUSE).await;
        }
    }

    /// Handles messages from the traffic thread, peers and operators.
    pub async fn handle_messages(self, messages: Receiver<ControlMessage>) {
        while let Ok(message) = messages.recv().await {
            let mut state = self.state.borrow_mut();
            let now = state.clock.now();
            match message {
                ControlMessage::PeerQuery { query, answer } => {
                    state.waiting.push(query, now, answer);
                    state.answer_due_queries(now);
                }
                ControlMessage::TrafficReports { reports } => {
                    state.add_reports(now, reports.into_iter());
                }
                ControlMessage::PeerReports { reports } => {
                    let reports = reports.into_iter();
                    let reports = reports.map(|report| report.into_report(now));
                    state.add_reports(now, reports);
                }
                ControlMessage::OperatorQuery { answer } => {
                    let report = administration::describe_discovery(&state.engine, now);
                    drop(answer.try_send(report));
                }
            }
        }
    }
}
