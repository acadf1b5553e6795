//! The programs of corkdrum; each lives in its own file under `bin`.
