//! Small stand-ins for callers, the fabric, backend servers and the platform.
