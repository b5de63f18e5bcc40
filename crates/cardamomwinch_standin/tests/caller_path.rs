//! The path from a caller through the fabric and forwarding hosts to a backend server and back.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::sync::atomic;
use std::time;

use cardamomwinch_protocol::backend::{BackendKind, BackendRequest};
use cardamomwinch_protocol::prelude::*;
use cardamomwinch_standin::fabric;
use cardamomwinch_standin::load::{self, LoadSettings};
use cardamomwinch_standin::prelude::*;
use cardamomwinch_standin::runtime;
use cardamomwinch_state::prelude::*;
use support::{Forwarder, TIMEOUT, any, eventually, service};

struct Path {
    fabric: FabricStandin,
    backend: BackendStandin,
    hosts: [Forwarder; 2],
}

impl Path {
    async fn start(executor: &TaskExecutor, adjust: impl FnOnce(&mut BackendSettings)) -> Self {
        let rotating = FabricSettings {
            spray: SprayMode::Rotate,
            ..FabricSettings::default()
        };
        let fabric = FabricStandin::start(executor, rotating).await.unwrap();
        let mut settings = BackendSettings::new(service(), fabric.return_address);
        adjust(&mut settings);
        let backend = BackendStandin::start(executor, settings).await.unwrap();
        let hosts = [
            Forwarder::start(executor, backend.address).await,
            Forwarder::start(executor, backend.address).await,
        ];
        fabric.set_hosts(hosts.iter().map(|host| host.address).collect());
        Self {
            fabric,
            backend,
            hosts,
        }
    }

    async fn open(&self, executor: &TaskExecutor) -> CallerClient {
        let settings = CallerSettings::new(self.fabric.caller_address, service());
        let client = CallerClient::bind(executor, settings).await.unwrap();
        assert_eq!(
            client.open(b"", TIMEOUT).await.unwrap(),
            OpenOutcome::Opened
        );
        client
    }
}

#[test]
fn an_answer_in_parts_arrives_complete_and_once_over_both_hosts() {
    support::run(async |executor| {
        let path = Path::start(&executor, |settings| settings.parts = 3).await;
        let client = path.open(&executor).await;
        let outcome = client.request(b"hello/", true, TIMEOUT).await.unwrap();
        let payload = b"echo:hello/backend".to_vec();
        assert_eq!(outcome, RequestOutcome::Answered { payload });
        assert_eq!(client.counters(), Default::default());
        let report = path.backend.report();
        assert_eq!((report.total, report.open_flows), (1, 1));
        assert_eq!(report.runs[0].payload, "hello/");
        for host in &path.hosts {
            assert!(host.received.load(atomic::Ordering::Relaxed) > 0);
        }
        client.close().await.unwrap();
        eventually(|| path.backend.report().open_flows == 0).await;
    });
}

#[test]
fn a_duplicated_request_is_recorded_as_two_runs_and_two_answers() {
    support::run(async |executor| {
        let path = Path::start(&executor, |_| ()).await;
        let client = path.open(&executor).await;
        path.fabric.set_faults(DatagramFaults {
            double: 1.0,
            ..DatagramFaults::default()
        });
        let outcome = client.request(b"twice", false, TIMEOUT).await.unwrap();
        assert!(matches!(outcome, RequestOutcome::Answered { .. }));
        eventually(|| path.backend.report().total >= 2).await;
        assert_eq!(path.backend.report().repeated.len(), 1);
        eventually(|| client.counters().duplicate_answers >= 1).await;
    });
}

#[test]
fn a_lost_datagram_is_resent() {
    support::run(async |executor| {
        let path = Path::start(&executor, |_| ()).await;
        let client = path.open(&executor).await;
        path.fabric.set_faults(DatagramFaults {
            loss: 1.0,
            ..DatagramFaults::default()
        });
        let request = client.request(b"lost", true, TIMEOUT);
        let heal = async {
            eventually(|| path.fabric.statistics().lost >= 2).await;
            path.fabric.set_faults(DatagramFaults::default());
        };
        let (outcome, ()) = futures_lite::future::zip(request, heal).await;
        assert!(matches!(outcome.unwrap(), RequestOutcome::Answered { .. }));
    });
}

#[test]
fn notices_arrive_in_sequence_without_a_request() {
    support::run(async |executor| {
        let interval = time::Duration::from_millis(5);
        let path = Path::start(&executor, |settings| settings.notice_interval = interval).await;
        let client = path.open(&executor).await;
        let notices = client.wait_for_notices(5, TIMEOUT).await;
        assert!(notices.received >= 5);
        assert_eq!(notices.duplicates, 0);
    });
}

#[test]
fn a_frozen_server_answers_after_the_freeze() {
    support::run(async |executor| {
        let path = Path::start(&executor, |_| ()).await;
        let client = path.open(&executor).await;
        let frozen = http::request(path.backend.address, "POST", "/freeze", r#"{"ms":300}"#);
        assert_eq!(frozen.await.unwrap().status, 204);
        let short = time::Duration::from_millis(50);
        let outcome = client.request(b"cold", true, short).await.unwrap();
        assert_eq!(outcome, RequestOutcome::TimedOut);
        let outcome = client.request(b"warm", true, TIMEOUT).await.unwrap();
        assert!(matches!(outcome, RequestOutcome::Answered { .. }));
    });
}

#[test]
fn requests_beyond_slots_and_queue_are_shed_and_never_run() {
    support::run(async |executor| {
        let path = Path::start(&executor, |settings| {
            settings.slots = SlotCount::new(1);
            settings.queue_limit = 0;
            settings.service_time = time::Duration::from_secs(1);
        })
        .await;
        let first = path.open(&executor).await;
        let second = path.open(&executor).await;
        let long = first.request(b"first", true, TIMEOUT);
        let refused = async {
            eventually(|| path.backend.report().total == 1).await;
            second.request(b"second", true, TIMEOUT).await.unwrap()
        };
        // The first caller resends while its request runs, and the resent copy is
        // shed, so its outcome is not checked; only the runs are.
        let (_, refused) = futures_lite::future::zip(long, refused).await;
        let reason = RefusalReason::Shed;
        assert!(matches!(refused, RequestOutcome::NotRun { reason: found, .. } if found == reason));
        let report = path.backend.report();
        assert!(report.runs.iter().all(|runs| runs.payload == "first"));
    });
}

#[test]
fn a_server_refuses_late_cancelled_unknown_and_foreign_requests() {
    support::run(async |executor| {
        let (host, host_address) = fabric::bind_datagrams(any()).await.unwrap();
        let mut settings = BackendSettings::new(service(), host_address);
        settings.slots = SlotCount::new(1);
        settings.service_time = time::Duration::from_secs(60);
        let backend = BackendStandin::start(&executor, settings).await.unwrap();
        let flow = FlowKey {
            caller: any(),
            service: service(),
        };
        let request = |id, limit| BackendRequest {
            id: RequestId::new(id),
            attempt: AttemptNumber(3),
            start_before: limit,
            deadline: limit,
        };
        let later = runtime::now().after(TIMEOUT);
        let datagram = |kind, request| BackendDatagram {
            flow,
            backend: BackendId::new(1),
            via: HostId::new(2),
            kind,
            request,
            payload: b"",
        };
        let open = |id, limit| datagram(BackendKind::Open, Some(request(id, limit)));
        let carry = |id, limit| datagram(BackendKind::Carry, Some(request(id, limit)));
        let cancel = datagram(BackendKind::Cancel, Some(request(2, later)));
        let mut foreign = carry(9, later);
        foreign.flow.service = any();
        let sent = [
            carry(1, later),
            open(1, later),
            carry(2, later),
            cancel,
            carry(3, Timestamp::ZERO),
            foreign,
            datagram(BackendKind::Close, None),
        ];
        for datagram in sent {
            support::send(&host, backend.address, &datagram).await;
        }
        let shed = |id| BackendReplyKind::Shed {
            request: Some(RequestId::new(id)),
            attempt: AttemptNumber(3),
        };
        let expected = [
            BackendReplyKind::UnknownFlow {
                request: Some(RequestId::new(1)),
                attempt: AttemptNumber(3),
            },
            BackendReplyKind::Opened,
            shed(2),
            shed(3),
            BackendReplyKind::Closed,
        ];
        let mut buffer = [0; codec::DATAGRAM_LIMIT];
        for kind in expected {
            let (length, _) = host.recv_from(&mut buffer).await.unwrap();
            let reply: BackendReply<'_> = codec::decode(&buffer[..length]).unwrap();
            assert_eq!(reply.kind, kind);
            assert_eq!(
                (reply.backend, reply.via),
                (BackendId::new(1), HostId::new(2))
            );
        }
        let report = backend.report();
        assert_eq!((report.total, report.cancelled), (1, 1));
        assert_eq!((report.wrong_service, report.unknown_flow), (1, 1));
    });
}

#[test]
fn the_load_endpoint_reports_a_fixed_report_in_mode_lie() {
    support::run(async |executor| {
        let path = Path::start(&executor, |_| ()).await;
        let _client = path.open(&executor).await;
        let address = path.backend.address;
        let truth = http::request(address, "GET", "/load", "").await.unwrap();
        assert_eq!(truth.json().unwrap()["connections"], 1);
        let report = LoadReport {
            busy_slots: 0,
            connections: 9,
            healthy: false,
            draining: true,
            answers: None,
        };
        let lie = serde_json::json!({"mode": "lie", "report": report}).to_string();
        let set = http::request(address, "POST", "/health", lie)
            .await
            .unwrap();
        assert_eq!(set.status, 204);
        let reported = http::request(address, "GET", "/load", "").await.unwrap();
        assert_eq!(
            serde_json::from_slice::<LoadReport>(&reported.body).unwrap(),
            report
        );
    });
}

#[test]
fn a_drained_server_refuses_new_flows_and_serves_old_ones() {
    support::run(async |executor| {
        let path = Path::start(&executor, |_| ()).await;
        let old = path.open(&executor).await;
        let drained = http::request(path.backend.address, "POST", "/drain", "").await;
        assert_eq!(drained.unwrap().status, 204);
        let settings = CallerSettings::new(path.fabric.caller_address, service());
        let new = CallerClient::bind(&executor, settings).await.unwrap();
        let refused = new.open(b"", TIMEOUT).await.unwrap();
        assert!(matches!(refused, OpenOutcome::NotRun { .. }));
        let outcome = old.request(b"old", true, TIMEOUT).await.unwrap();
        assert!(matches!(outcome, RequestOutcome::Answered { .. }));
    });
}

#[test]
fn the_results_of_many_sessions_are_summed() {
    support::run(async |executor| {
        let path = Path::start(&executor, |settings| {
            settings.slots = SlotCount::new(8);
            settings.queue_limit = 8;
        })
        .await;
        let mut caller = CallerSettings::new(path.fabric.caller_address, service());
        caller.resend_interval = TIMEOUT;
        let settings = LoadSettings {
            caller,
            sessions: 4,
            requests: 5,
            deadline: TIMEOUT,
            pause: time::Duration::ZERO,
            attempts: 1,
            idempotent: 0.5,
            listen: time::Duration::ZERO,
            seed: 1,
        };
        let summary = load::run(&executor, settings).await.unwrap();
        assert_eq!((summary.opened, summary.answered), (4, 20));
        assert_eq!((summary.wrong_answers, summary.duplicate_answers), (0, 0));
        assert_eq!(path.backend.report().total, 20);
    });
}
