//! Protocol layer: frames, settings and the operators' configuration, and how they are parsed.
pub mod compare;
pub mod config;
pub mod findings;
pub mod memory_check;
pub mod settings;
pub mod wire;
