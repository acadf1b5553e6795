mod accounts;
mod format_3;
mod interleavings;
mod on_disk;
mod state;
mod turns;
