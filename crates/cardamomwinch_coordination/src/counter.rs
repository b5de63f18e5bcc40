//! Counters of events. Each counter is exported as a metric.

macro_rules! counters {
    ($($(#[$doc:meta])* $variant:ident => $name:literal,)*) => {
        /// A kind of event that is counted.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Counter {
            $($(#[$doc])* $variant,)*
        }

        impl Counter {
            /// Every counter.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// The name of the metric.
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => concat!("cardamomwinch_", $name, "_total"),)*
                }
            }
        }
    };
}

counters! {
    /// Datagrams from callers.
    CallerDatagram => "caller_datagrams",
    /// Replies from backend servers.
    BackendReply => "backend_replies",
    /// Datagrams relayed to another host.
    Relayed => "relayed_datagrams",
    /// Datagrams dropped because they were relayed too often.
    HopLimit => "hop_limit_drops",
    /// Datagrams to an address that belongs to no service.
    UnknownService => "unknown_service_datagrams",
    /// Tokens that were not signed for their flow with an accepted key.
    ForgedToken => "forged_tokens",
    /// Tokens or pins refused because their server's address now serves another service.
    ReassignedAddress => "reassigned_addresses",
    /// Datagrams to a backend server withheld because this host may not act now.
    Withheld => "withheld_datagrams",
    /// Searches for the server of a flow that began on this host.
    SearchStarted => "flow_searches",
    /// Searches passed on because a server replied that it does not hold the flow.
    SearchMoved => "flow_searches_moved",
    /// Flows whose server this host learned from a home.
    FlowLearned => "flows_learned",
    /// Openings not decided by a home that has started too recently; callers send
    /// them again.
    OpeningHeld => "openings_held",
    /// Openings passed on to another home.
    OpeningRedirected => "openings_redirected",
    /// Flows opened.
    FlowOpened => "flows_opened",
    /// Flows that no host could place.
    FlowUnknown => "flows_unknown",
    /// Requests sent to a backend server for the first time.
    RequestDispatched => "requests_dispatched",
    /// Requests sent to a backend server again.
    RequestRetried => "requests_retried",
    /// Copies of requests that were not run again.
    RequestDuplicate => "request_duplicates",
    /// Requests refused as not run.
    RequestRefused => "requests_refused",
    /// Requests whose outcome is unknown.
    OutcomeUnknown => "outcomes_unknown",
    /// Requests that were answered completely.
    RequestAnswered => "requests_answered",
    /// Requests whose deadline passed while they ran.
    RequestExpired => "requests_expired",
    /// Requests whose callers were sent "outcome unknown" while the requests were
    /// still running, or were lost.
    RequestGivenUp => "requests_given_up",
    /// Requests that were answered completely after they were given up.
    RequestAnsweredLate => "requests_answered_late",
    /// Copies of requests that arrived after their deadline.
    RequestLate => "requests_late",
    /// Requests and openings shed by a backend server.
    BackendShed => "backend_sheds",
    /// Backend servers ejected: they get no new flows because they seem to fail.
    BackendEjected => "backend_ejections",
    /// Ejected backend servers that get new flows again.
    BackendReturned => "backend_returns",
    /// Backend servers that started to report that they drain.
    BackendDraining => "backend_drains",
    /// Backend servers that no longer report that they drain.
    BackendDrainingEnded => "backend_drain_ends",
    /// Entries refused because a table was full.
    TableFull => "table_full",
    /// Detections by a thread that the process had been paused.
    WokeLate => "woke_late",
    /// Datagrams dropped because the host's state was not confirmed.
    Unconfirmed => "unconfirmed_drops",
    /// Reads of the platform.
    PlatformRead => "platform_reads",
    /// Watches started at the platform.
    PlatformWatch => "platform_watches",
    /// Answers of the platform that were older than the accepted state.
    PlatformStale => "platform_stale_answers",
    /// Calls to the platform that failed.
    PlatformFailed => "platform_failures",
    /// Documents that were refused.
    DocumentRefused => "documents_refused",
    /// Datagrams dropped because their shard was being handed over.
    FrozenDropped => "frozen_shard_drops",
    /// Shards handed over to another host.
    ShardHandedOver => "shards_handed_over",
    /// Chunks of hand-overs that were imported.
    ChunkTakenOver => "hand_over_chunks_taken",
    /// Items of a hand-over that were malformed or exceeded a bound.
    HandOverRefused => "hand_over_items_refused",
    /// Control messages that were replayed or sent by an earlier incarnation.
    PeerReplayed => "peer_messages_replayed",
    /// Control messages from hosts that are not listed.
    PeerUnlisted => "peer_messages_unlisted",
}
