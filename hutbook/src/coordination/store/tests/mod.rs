mod state;
mod turns;
