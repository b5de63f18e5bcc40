//! The entry host process: one control thread, several traffic threads.
