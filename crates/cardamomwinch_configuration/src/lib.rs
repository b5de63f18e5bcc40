//! Settings, team fragments and presets: parsing, checking and comparing.
