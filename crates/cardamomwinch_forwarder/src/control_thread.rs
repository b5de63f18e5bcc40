//! The thread that learns what is in force and publishes it.

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
use cardamomwinch_protocol::administration::BeliefReport;
use cardamomwinch_state::prelude::Timestamp;
use cardamomwinch_transport::prelude::{
    Clock, DecisionLogger, HostClock, PeerClient, TickPlan, TimerService,
};

use crate::administration;
use crate::belief_lines::BeliefLine;
use crate::peer_calls;
use crate::view_cell::ViewCell;

/// How often beliefs age, and questions are answered that waited in vain.
const TICK_PERIOD: time::Duration = time::Duration::from_millis(500);
/// The pause after reports were passed on, in which further ones gather: short beside the
/// half second after which they decide, and few calls even while a whole failure domain
/// goes dark.
const REPORT_PAUSE: time::Duration = time::Duration::from_millis(100);

/// Something that others want to know of control.
pub enum ControlQuestion {
    /// A peer asks what is believed.
    Peer {
        /// What it knows already.
        question: PeerQuery,
        /// Takes the answer.
        answer: Sender<PeerAnswer>,
    },
    /// The traffic thread has seen something of servers.
    Seen {
        /// What it has seen.
        reports: Vec<ServerReport>,
    },
    /// A peer tells what was seen of servers.
    Told {
        /// What it tells.
        reports: Vec<PeerReport>,
    },
    /// An operator asks what is believed.
    Report {
        /// Takes the answer.
        answer: Sender<BeliefReport>,
    },
}

struct ControlState {
    engine: DiscoveryEngine,
    waiting: WaitingQueries<Sender<PeerAnswer>>,
    /// Wakes the task that passes reports on.
    reported: Sender<()>,
    logger: DecisionLogger<BeliefLine>,
    views: ViewCell,
    clock: HostClock,
    version: metrics::Gauge,
    servers: metrics::Gauge,
    heard_age: metrics::Gauge,
}

impl ControlState {
    /// Lets the engine decide, then logs and publishes what came of it.
    fn decide<T>(&mut self, decide: impl FnOnce(&mut DiscoveryEngine) -> T) -> T {
        let outcome = decide(&mut self.engine);
        let now = self.clock.now();
        for change in self.engine.take_changes() {
            self.logger.log(now, &BeliefLine::from(&change));
        }
        let view = self.engine.view();
        self.version.set(view.routes.version().get() as f64);
        self.servers.set(view.directory.listed_count() as f64);
        self.heard_age.set(view.age(now).as_secs_f64());
        self.views.publish(view);
        self.answer_due(now);
        outcome
    }

    /// Takes over reports, and has those that are new passed on.
    fn take_reports(&mut self, now: Timestamp, reports: impl Iterator<Item = ServerReport>) {
        if self.decide(|engine| engine.add_reports(now, reports)) {
            self.wake_reporting();
        }
    }

    /// A full channel has woken the task already.
    fn wake_reporting(&self) {
        let _: Result<_, _> = self.reported.try_send(());
    }

    /// Answers the peers that waited for what is known now.
    fn answer_due(&mut self, now: Timestamp) {
        for due in self.waiting.take_due(&mut self.engine, now) {
            let mut word = self.engine.answer_query(now, &due.query);
            word.waited = due.waited;
            // Whoever asked may have left since.
            drop(due.answer.try_send(word));
        }
    }
}

/// The tasks of the control thread share this.
#[derive(Clone)]
pub struct ControlThread {
    state: rc::Rc<cell::RefCell<ControlState>>,
    reported: Receiver<()>,
    timers: TimerService<HostClock>,
}

impl ControlThread {
    /// Puts the thread together.
    pub fn new(
        engine: DiscoveryEngine,
        logger: DecisionLogger<BeliefLine>,
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
        let (reporter, reported) = async_channel::bounded(1);
        let state = ControlState {
            reported: reporter,
            engine,
            waiting: WaitingQueries::default(),
            logger,
            views,
            clock: *timers.clock(),
            version: metrics::gauge!("cardamomwinch_configuration_version"),
            servers: metrics::gauge!("cardamomwinch_servers"),
            heard_age: metrics::gauge!("cardamomwinch_view_age_seconds"),
        };
        Self {
            state: rc::Rc::new(cell::RefCell::new(state)),
            reported,
            timers,
        }
    }

    /// Reads the store, one call after the other.
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
                state.decide(|engine| engine.next_store_call(now))
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
            let said_at = now.before(client.body_time());
            state.decide(|engine| engine.handle_store_answer(now, said_at, outcome));
        }
    }

    /// Lets beliefs age.
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
            state.decide(|engine| engine.tick(now));
            state.logger.report_left_out(now);
        }
    }

    /// Asks peers where the engine wants to, one question after the other.
    pub async fn ask_peers(self, client: PeerClient) {
        loop {
            self.ask_peer(&client).await;
            let pause = self.state.borrow().engine.peer_pause();
            Timer::after(pause).await;
        }
    }

    async fn ask_peer(&self, client: &PeerClient) {
        let next = {
            let mut state = self.state.borrow_mut();
            let now = state.clock.now();
            state.decide(|engine| engine.next_query(now))
        };
        let Some((peer, question)) = next else {
            return;
        };
        let word = match peer_calls::ask(client, peer, question).await {
            Ok(word) => Some(word),
            Err(error) => {
                log::info!("{error}");
                None
            }
        };
        self.take_word(peer, word);
    }

    fn take_word(&self, peer: net::SocketAddr, word: Option<PeerAnswer>) {
        let mut state = self.state.borrow_mut();
        let now = state.clock.now();
        let serial = state.engine.view().reports.serial();
        state.decide(|engine| engine.handle_answer(now, peer, word));
        if state.engine.view().reports.serial() != serial {
            state.wake_reporting();
        }
    }

    /// Passes on what was seen of servers.
    pub async fn pass_reports(self, client: PeerClient) {
        while self.reported.recv().await.is_ok() {
            let next = {
                let mut state = self.state.borrow_mut();
                let now = state.clock.now();
                state.engine.next_reports(now)
            };
            if let Some((peer, reports)) = next
                && let Err(error) = peer_calls::tell(&client, peer, reports).await
            {
                log::info!("{error}");
                self.state.borrow_mut().engine.forget_sent_reports();
            }
            Timer::after(REPORT_PAUSE).await;
        }
    }

    /// Answers what others ask.
    pub async fn answer(self, questions: Receiver<ControlQuestion>) {
        while let Ok(question) = questions.recv().await {
            let mut state = self.state.borrow_mut();
            let now = state.clock.now();
            match question {
                ControlQuestion::Peer { question, answer } => {
                    state.waiting.push(question, now, answer);
                    state.answer_due(now);
                }
                ControlQuestion::Seen { reports } => {
                    state.take_reports(now, reports.into_iter());
                }
                ControlQuestion::Told { reports } => {
                    let reports = reports.into_iter();
                    let reports = reports.map(|report| report.into_report(now));
                    state.take_reports(now, reports);
                }
                ControlQuestion::Report { answer } => {
                    let report = administration::describe_beliefs(&state.engine, now);
                    drop(answer.try_send(report));
                }
            }
        }
    }
}
