//! Sockets, timers, the platform client, endpoints, logs and metrics on async-io.
