//! Every decision of an entry host, as pure code over events and effects.
