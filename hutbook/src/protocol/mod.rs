//! Protocol: what is said and how it is read: frames, settings, operator config.
pub mod compare;
pub mod config;
pub mod findings;
pub mod settings;
pub mod wire;
