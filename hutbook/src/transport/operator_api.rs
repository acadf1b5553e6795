//! HTTP API of a controller for operators and the platform. Any member accepts a request and forwards it to the leader.

use super::http::{HttpRequest, HttpResponse, ResponseBody};
use super::leader_client::{LeaderClient, RpcClient};
use super::network_environment::random_u64;
use crate::constants::*;
use crate::coordination::control::{ControlRequest, ControlResponse};
use crate::protocol::config;
use crate::protocol::findings::{is_name, Finding, Reader};
use std::net::SocketAddr;

/// The command that an operator's request asks for.
pub enum OperatorCommand {
    Ask(ControlRequest),
    /// Changes named items of the config in force: computes the whole new text from the current one.
    Patch(ConfigPatch),
}

/// Applies a change to the text of the config in force. If that is another version than the one the change builds on,
/// the change is decided by its id: `ControlRequest::ConfigOutcome`.
pub type Apply = Box<dyn Fn(&str) -> Result<ControlRequest, HttpResponse> + Send>;

pub struct ConfigPatch {
    pub apply: Apply,
}

/// Translates between operators' HTTP requests and control requests. It decides nothing itself.
pub trait OperatorProtocol: Send + Sync {
    fn parse_command(&self, request: &HttpRequest) -> Result<OperatorCommand, HttpResponse>;
    fn render_response(&self, request: &HttpRequest, response: ControlResponse) -> HttpResponse;
    /// Returns whether the paths that all daemons answer are served beside this API.
    fn serves_common_paths(&self, request: &HttpRequest) -> bool;
}

/// corkdrum's own operator API.
pub struct NativeProtocol;

impl OperatorProtocol for NativeProtocol {
    fn parse_command(&self, request: &HttpRequest) -> Result<OperatorCommand, HttpResponse> {
        parse_command(request).map(OperatorCommand::Ask)
    }

    fn render_response(&self, _: &HttpRequest, response: ControlResponse) -> HttpResponse {
        http_response(response)
    }

    fn serves_common_paths(&self, _: &HttpRequest) -> bool {
        true
    }
}

/// Forwards a request to the leader; `addrs` are the members this node knows. After a stall, a command that a later one
/// can undo is rejected, since its client may have retried elsewhere long ago.
pub async fn handle_request<S: RpcClient>(
    leader_client: &LeaderClient<S>,
    addrs: Vec<String>,
    request: HttpRequest,
    protocol: &dyn OperatorProtocol,
    stalled: bool,
) -> HttpResponse {
    let control_request = match protocol.parse_command(&request) {
        Ok(OperatorCommand::Ask(control_request)) if stalled && control_request.subject().is_some() => {
            return HttpResponse::error(503, "stalled", "this member stood still until now")
                .with_header("retry-after", "1")
        }
        Ok(OperatorCommand::Ask(control_request)) => control_request,
        Ok(OperatorCommand::Patch(patch)) => {
            // the change is computed on the config in force, and is applied only if that has not changed since
            match leader_client
                .ask_controllers(&addrs, ControlRequest::GetConfig(0), OPERATOR_TIMEOUT_MS, RPC_TIMEOUT_MS)
                .await
            {
                Some(ControlResponse::Config { text, .. }) => match (patch.apply)(&text) {
                    Ok(control_request) => control_request,
                    Err(response) => return response,
                },
                // there is no config yet: an empty text is not a version that a change could build on
                Some(ControlResponse::Unknown(_)) => match (patch.apply)("") {
                    Ok(control_request) => control_request,
                    Err(response) => return response,
                },
                Some(response) => return protocol.render_response(&request, response),
                None => return no_leader(),
            }
        }
        Err(response) => return response,
    };
    match leader_client.run_operator_command(&addrs, control_request, OPERATOR_TIMEOUT_MS, RPC_TIMEOUT_MS).await {
        Some(response) => protocol.render_response(&request, response),
        None => no_leader(),
    }
}

fn no_leader() -> HttpResponse {
    HttpResponse::error(503, "no_leader", "the core has no leader with a quorum that could be reached")
        .with_header("retry-after", "1")
}

fn parse_command(request: &HttpRequest) -> Result<ControlRequest, HttpResponse> {
    let path: Vec<&str> = request.path.iter().map(String::as_str).collect();
    let name = |text: &&str| {
        is_name(text)
            .then(|| text.to_string())
            .ok_or_else(|| HttpResponse::error(422, "bad_name", format!("{text} is not a name")))
    };
    let node = |text: &&str| {
        u64::from_str_radix(text, 16)
            .map_err(|_| HttpResponse::error(422, "bad_node", format!("{text} is not a node id")))
    };
    Ok(match (request.method.as_str(), path.as_slice()) {
        ("GET", ["v1", "config"]) => {
            let revision = request.query.get("revision").map_or(Ok(0), |number| number.parse());
            ControlRequest::GetConfig(
                revision.map_err(|_| HttpResponse::error(422, "bad_revision", "a revision is a number"))?,
            )
        }
        ("PUT", ["v1", "config"]) => put_config(request)?,
        ("GET", ["v1", "config", "history"]) => ControlRequest::Configs,
        ("GET", ["v1", "servers"]) => ControlRequest::Servers,
        ("PUT", ["v1", "servers", id]) => parse_listing(name(id)?, &request.body)?,
        ("POST", ["v1", "servers", id, "leaving"]) => ControlRequest::Leave(name(id)?),
        ("DELETE", ["v1", "servers", id]) => ControlRequest::Remove {
            name: name(id)?,
            force: request.query.get("anyway").is_some_and(|value| value == "true"),
        },
        ("PUT", ["v1", "cells", zone, "evacuation"]) => ControlRequest::Evacuate { zone: name(zone)?, evacuated: true },
        ("DELETE", ["v1", "cells", zone, "evacuation"]) => {
            ControlRequest::Evacuate { zone: name(zone)?, evacuated: false }
        }
        ("GET", ["v1", "cells", zone, "evacuation"]) => ControlRequest::Evacuation(name(zone)?),
        ("PUT", ["v1", "stores", id, "retirement"]) => ControlRequest::Retire(node(id)?),
        ("GET", ["v1", "stores", id, "retirement"]) => ControlRequest::Retirement(node(id)?),
        ("GET", ["v1", "core", "members"]) => ControlRequest::Members,
        ("DELETE", ["v1", "core", "members", id]) => ControlRequest::RemoveControlNode(node(id)?),
        ("GET", ["v1", "places"]) => ControlRequest::Placements,
        ("GET", ["v1", "scaler"]) => ControlRequest::Scaler,
        ("GET", ["v1", "status"]) => ControlRequest::Status,
        (_, ["v1", "config" | "servers" | "cells" | "stores" | "core" | "places" | "scaler" | "status", ..]) => {
            return Err(HttpResponse::error(405, "wrong_method", "not with this method, or not at this path"))
        }
        _ => return Err(HttpResponse::error(404, "unknown_path", "nothing is served there")),
    })
}

fn findings_response(findings: &[Finding]) -> HttpResponse {
    let list: Vec<jzon::JsonValue> = findings
        .iter()
        .map(|finding| jzon::object! { place: finding.place.as_str(), what: finding.what.as_str() })
        .collect();
    HttpResponse::json(422, jzon::object! { error: "bad_config", findings: list })
}

fn put_config(request: &HttpRequest) -> Result<ControlRequest, HttpResponse> {
    let config = config::read(&request.body).map_err(|findings| findings_response(&findings))?;
    let Some(if_match) = request.headers.get("if-match") else {
        return Err(HttpResponse::error(
            428,
            "no_base",
            "say with If-Match which revision this builds on; 0 where there is none",
        ));
    };
    let base = if_match
        .trim_matches('"')
        .parse()
        .map_err(|_| HttpResponse::error(422, "bad_base", "If-Match must be a revision"))?;
    let change = match request.headers.get("change-id") {
        Some(id) if is_name(id) => id.clone(),
        Some(_) => return Err(HttpResponse::error(422, "bad_change_id", "a change id is a name")),
        None => format!("{:016x}", random_u64()),
    };
    Ok(ControlRequest::PutConfig {
        base_version: base,
        change_id: change,
        text: request.body.clone(),
        config: Box::new(config),
        number: 0,
        content_digest: 0,
    })
}

fn parse_listing(name: String, body: &str) -> Result<ControlRequest, HttpResponse> {
    let mut reader = Reader::default();
    let json = reader.parse(body).unwrap_or(jzon::JsonValue::Null);
    reader.check_keys("", &json, &["group", "address", "cell"]);
    let (group, addr, zone) = (
        reader.text("", &json, "group", None),
        reader.text("", &json, "address", None),
        reader.text("", &json, "cell", None),
    );
    if !addr.is_empty() && addr.parse::<SocketAddr>().is_err() {
        reader.report("address", "must be an IP number and a port");
    }
    if !zone.is_empty() && !is_name(&zone) {
        reader.report("cell", "is not a name");
    }
    if !reader.findings.is_empty() {
        return Err(findings_response(&reader.findings));
    }
    Ok(ControlRequest::List { name, group, addr, zone })
}

fn http_response(response: ControlResponse) -> HttpResponse {
    match response {
        ControlResponse::Committed(revision) => {
            HttpResponse::json(200, jzon::object! { revision: revision }).with_header("etag", format!("\"{revision}\""))
        }
        ControlResponse::Config { revision, text } => {
            let answer =
                HttpResponse { status: 200, headers: vec![], body: ResponseBody::Full("application/json", text) };
            answer.with_header("etag", format!("\"{revision}\""))
        }
        ControlResponse::Json(json) => {
            HttpResponse { status: 200, headers: vec![], body: ResponseBody::Full("application/json", json) }
        }
        ControlResponse::Conflict(revision) => {
            let json = jzon::object! { error: "lost_race", why: "another change came first", revision: revision };
            HttpResponse::json(412, json).with_header("etag", format!("\"{revision}\""))
        }
        ControlResponse::Refused { code, why } => HttpResponse::error(409, &code, why),
        ControlResponse::Unknown(why) => HttpResponse::error(404, "unknown", why),
        ControlResponse::Unclear(why) => HttpResponse::error(503, "unclear", why).with_header("retry-after", "1"),
        _ => HttpResponse::error(503, "no_answer", "the core gave no answer to this").with_header("retry-after", "1"),
    }
}
