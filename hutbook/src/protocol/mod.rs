//! Protocol: what is said and how it is read: frames, settings, operator config.
pub mod compare;
pub mod config;
pub mod findings;
pub mod memory_check;
pub mod settings;
pub mod wire;
