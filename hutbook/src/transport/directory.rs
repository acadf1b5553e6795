//! A server directory maintained outside this project. The controllers' leader polls the whole list and commits the
//! differences under its term.

use super::http::call;
use super::replica_runtime::ReplicaRuntime;
use crate::constants::*;
use crate::coordination::control::{ControlRequest, ControlResponse, ControlStateMachine, ListedServer};
use std::sync::Arc;
use std::time::Duration;

/// How a directory is queried and parsed.
pub trait Directory: Send {
    /// Returns the URL of a page: the first one without a token, else the one that the token names.
    fn url(&self, token: Option<&str>) -> String;
    /// Parses one page. Returns its servers and the token of the next page, or what could not be parsed.
    fn page(&self, body: &str) -> Result<(Vec<ListedServer>, Option<String>), String>;
}

/// Follows a directory in an endless loop, while this node leads the control group.
pub async fn follow(runtime: Arc<ReplicaRuntime<ControlStateMachine>>, directory: Box<dyn Directory>) {
    loop {
        let term = runtime.with_replica(|r| r.is_leader().then_some(r.raft.term));
        if let Some(term) = term {
            match fetch_all(&*directory).await {
                // a list read under an earlier term is discarded with that term
                Ok(servers) => runtime.ask(ControlRequest::Directory { term, servers }, ControlResponse::Busy, |_| {}),
                Err(e) => log::debug!("cannot read the server directory: {e}"),
            }
        }
        // a new leader starts polling at once; other members never poll
        let pause_ms = if term.is_some() { DIRECTORY_POLL_MS } else { LEADER_RETRY_MS };
        actix_rt::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

async fn fetch_all(directory: &dyn Directory) -> Result<Vec<ListedServer>, String> {
    let (mut servers, mut token) = (vec![], None);
    loop {
        let url = directory.url(token.as_deref());
        let (status, body, _) = call("GET", &url, &[], String::new(), DIRECTORY_TIMEOUT_MS)
            .await
            .map_err(|_| format!("{url}: no answer"))?;
        if status != 200 {
            return Err(format!("{url}: {status}"));
        }
        let (page, next_token) = directory.page(&body)?;
        servers.extend(page);
        if servers.len() > MAX_SERVERS {
            return Err(format!("{url}: more than {MAX_SERVERS} servers"));
        }
        token = next_token;
        // a partial list would make the rest of the servers look removed
        if token.is_none() {
            return Ok(servers);
        }
    }
}
