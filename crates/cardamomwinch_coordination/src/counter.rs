//! What is counted. Each counter becomes a metric of the same name.

macro_rules! counters {
    ($($(#[$doc:meta])* $variant:ident => $name:literal,)*) => {
        /// Something that happened and is counted.
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
    /// Tokens that no accepted key has signed for their flow.
    ForgedToken => "forged_tokens",
    /// Tokens or pins refused because their server's address now serves another service.
    ReassignedAddress => "reassigned_addresses",
    /// Datagrams to a backend server withheld because this host may not act.
    Withheld => "withheld_datagrams",
    /// Searches for the server of a flow that began on this host.
    SearchStarted => "flow_searches",
    /// Searches passed on because a server said that it does not hold the flow.
    SearchMoved => "flow_searches_moved",
    /// Flows whose server this host learned from a home.
    FlowLearned => "flows_learned",
    /// Openings not decided by a home that started too lately; callers send again.
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
    /// Requests whose outcome could not be known.
    OutcomeUnknown => "outcomes_unknown",
    /// Requests answered whole.
    RequestAnswered => "requests_answered",
    /// Requests whose deadline passed while they ran.
    RequestExpired => "requests_expired",
    /// Requests whose caller was told that the outcome is unknown while they
    /// ran, or were lost.
    RequestGivenUp => "requests_given_up",
    /// Requests answered whole after they were given up.
    RequestAnsweredLate => "requests_answered_late",
    /// Copies of requests that came after their deadline.
    RequestLate => "requests_late",
    /// Requests and openings shed by a backend server.
    BackendShed => "backend_sheds",
    /// Backend servers kept from new flows because they seem to fail.
    BackendEjected => "backend_ejections",
    /// Backend servers that get new flows again.
    BackendReturned => "backend_returns",
    /// Backend servers that have begun to say that they drain.
    BackendDraining => "backend_drains",
    /// Backend servers that do not say any more that they drain.
    BackendDrainingEnded => "backend_drain_ends",
    /// Entries refused because a table holds its limit.
    TableFull => "table_full",
    /// Times a thread found that it had slept.
    WokeLate => "woke_late",
    /// Datagrams not decided because the host's beliefs were not confirmed.
    Unconfirmed => "unconfirmed_drops",
    /// Reads of the platform.
    PlatformRead => "platform_reads",
    /// Watches that wait at the platform.
    PlatformWatch => "platform_watches",
    /// Answers of the platform that were older than what is accepted.
    PlatformStale => "platform_stale_answers",
    /// Calls to the platform that failed.
    PlatformFailed => "platform_failures",
    /// Documents that were refused.
    DocumentRefused => "documents_refused",
    /// Datagrams dropped because their shard was being handed over.
    FrozenDropped => "frozen_shard_drops",
    /// Shards handed over to another host.
    ShardHandedOver => "shards_handed_over",
    /// Chunks of hand-overs taken in.
    ChunkTakenOver => "hand_over_chunks_taken",
    /// Things in a hand-over that were malformed or did not fit.
    HandOverRefused => "hand_over_items_refused",
    /// Control messages that were replayed or came from an earlier life.
    PeerReplayed => "peer_messages_replayed",
    /// Control messages from hosts that are not listed.
    PeerUnlisted => "peer_messages_unlisted",
}
