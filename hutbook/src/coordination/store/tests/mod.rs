mod accounts;
mod format_3;
mod interleavings;
mod state;
mod turns;
