//! The view that an edge may use to decide requests: a view and its routes, read atomically with the lease.
//!
//! A lease is granted for the newest revision that the edge has applied, so a view that is read while the lease is
//! valid is no older than the lease's term. Only [`Edge::leased_view`](super::edge::Edge::leased_view) creates one; a
//! view that was read before waiting for the lease must not be used afterwards.

use super::routes::RouteTable;
use super::view::View;
use crate::state::config::{Config, Group, ProxyRoute};
use std::sync::Arc;

/// A view and the routes of its configuration, always of the same revision.
#[derive(Clone, Default)]
pub(super) struct FollowedView {
    pub(super) view: Arc<View>,
    routes: Arc<RouteTable>,
}

impl FollowedView {
    /// Builds the successor of `before`. The route table is rebuilt only if the configuration has changed.
    pub(super) fn after(before: &FollowedView, view: View) -> FollowedView {
        let routes = match &view.config {
            Some(config) if before.view.config_revision != view.config_revision => Arc::new(RouteTable::new(config)),
            Some(_) => before.routes.clone(),
            None => Arc::default(),
        };
        FollowedView { view: Arc::new(view), routes }
    }

    /// Returns the name and settings of the route that matches a request.
    pub(super) fn find_route(&self, host: &str, path: &str) -> Option<(&str, &ProxyRoute)> {
        let name = self.routes.find(host, path)?;
        let route = self.view.config.as_ref()?.proxy_routes.get(name)?;
        Some((name, route))
    }
}

/// A view that was read while its edge held a lease.
#[derive(Clone)]
pub struct LeasedView(FollowedView);

impl LeasedView {
    pub(super) fn new(followed: FollowedView) -> LeasedView {
        LeasedView(followed)
    }

    /// Returns `None` if no configuration is in force yet.
    pub fn config(&self) -> Option<&Config> {
        self.0.view.config.as_ref()
    }

    /// Returns a service as it is configured, or as it was before its removal while requests may still wait for it.
    pub fn group(&self, name: &str) -> Option<&Group> {
        self.0.view.group(name)
    }

    pub fn config_revision(&self) -> u64 {
        self.0.view.config_revision
    }

    /// Returns the name and settings of the route that matches a request, by host and longest path prefix.
    pub fn find_route(&self, host: &str, path: &str) -> Option<(&str, &ProxyRoute)> {
        self.0.find_route(host, path)
    }
}
