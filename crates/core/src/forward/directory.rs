//! Lookup of routes, services and workspaces in one configuration version.

use {
    super::snapshot::{Limits, Route, Service, Snapshot, Workspace},
    crate::id::{ServiceId, Version},
    derive_more::{Display, Error},
    std::{collections::HashMap, sync::Arc},
};

/// Error of [`Directory::find`].
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum AccessError {
    /// No route matches the host name and the path.
    #[display("no route")]
    NoRoute,
    /// The key belongs to no workspace, or none was given.
    #[display("unknown key")]
    UnknownKey,
}

/// Route and workspace of a request.
#[derive(Clone, Debug)]
pub struct Access {
    /// Route that matches the host name and the path.
    pub route: Arc<Route>,
    /// Workspace that owns the key; absent on public routes and when the configuration has no
    /// workspaces.
    pub workspace: Option<Arc<Workspace>>,
}

impl Access {
    /// Returns the priority of the request: that of its workspace, if set, or else that of the
    /// route; 0 is served first.
    pub fn priority(&self) -> u8 {
        let own = self.workspace.as_ref().and_then(|w| w.priority);
        own.unwrap_or(self.route.priority)
    }

    /// Returns the urgency for upstreams. The priority of the workspace goes first; between requests
    /// of equal workspaces, that of the route decides.
    pub fn urgency(&self) -> Urgency {
        let route = self.route.priority.min(LEVELS_PER_PRIORITY - 1);
        let urgency = self.priority().saturating_mul(LEVELS_PER_PRIORITY);
        urgency.saturating_add(route).min(MAX_URGENCY)
    }
}

/// Urgency with which upstreams serve a request, from 0 to 9; 0 is served first.
pub type Urgency = u8;

/// Urgency levels for each priority of a workspace, in which the priority of the route decides.
const LEVELS_PER_PRIORITY: u8 = 3;
/// Last urgency.
const MAX_URGENCY: Urgency = 9;

/// Index of the routes, services and keys of one configuration version.
#[derive(Debug, Default)]
pub struct Directory {
    version: Version,
    /// Routes by host name, the longest prefix first.
    routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    services: HashMap<ServiceId, Arc<Service>>,
    keys: HashMap<Arc<str>, Arc<Workspace>>,
    workspaces: Vec<Arc<Workspace>>,
    limits: Limits,
}

impl Directory {
    /// Builds the index of a snapshot.
    pub fn new(snapshot: Snapshot) -> Self {
        let mut routes: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in snapshot.routes {
            let host = routes.entry(route.host.clone()).or_default();
            host.push(Arc::new(route));
        }
        for host in routes.values_mut() {
            host.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = snapshot.services.into_iter();
        let workspaces: Vec<_> = snapshot.workspaces.into_iter().map(Arc::new).collect();
        let keys = workspaces.iter().flat_map(|workspace| {
            let keys = workspace.keys.iter();
            keys.map(|key| (key.clone(), workspace.clone()))
        });
        Self {
            version: snapshot.version,
            routes,
            services: services.map(|s| (s.name.clone(), Arc::new(s))).collect(),
            keys: keys.collect(),
            workspaces,
            limits: snapshot.limits,
        }
    }

    /// Returns the configuration version of the snapshot.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the limits on what callers may send.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns a service by its name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns every service.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Returns every workspace.
    pub fn workspaces(&self) -> &[Arc<Workspace>] {
        &self.workspaces
    }

    /// Finds the route and the workspace of a request; a port in `host` is ignored.
    ///
    /// # Errors
    /// [`AccessError::NoRoute`], or [`AccessError::UnknownKey`] when the route requires a key.
    pub fn find(&self, host: &str, path: &str, key: Option<&str>) -> Result<Access, AccessError> {
        let route = self.route(host, path).ok_or(AccessError::NoRoute)?.clone();
        if route.is_public || self.workspaces.is_empty() {
            let workspace = None;
            return Ok(Access { route, workspace });
        }
        let workspace = key.and_then(|key| self.keys.get(key));
        let workspace = Some(workspace.ok_or(AccessError::UnknownKey)?.clone());
        Ok(Access { route, workspace })
    }

    /// Returns the route that matches the host name and the path; a port in `host` is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split_once(':').map_or(host, |(name, _)| name);
        let routes = self.routes.get(name.to_ascii_lowercase().as_str())?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }
}
