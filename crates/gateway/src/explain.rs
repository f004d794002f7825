//! Answers operators where a request would go now and why.

use {
    crate::{
        Clock,
        dispatch::Dispatcher,
        protocol::{PromptPart, RequestHead, Usage},
        view::View,
    },
    marigoldroute_core::{
        admission::Standing,
        forward::{Route, Service},
    },
    poem::{
        Request,
        http::{HeaderMap, Method, StatusCode, Uri},
    },
    serde::Deserialize,
    std::{
        fmt::{self, Write},
        sync::Arc,
    },
};

/// A request that an operator asks about.
#[derive(Debug, Deserialize)]
struct Query {
    /// Host name of the request.
    host: String,
    /// Path of the request.
    path: String,
    /// Prompt tokens, if the request states its tokens.
    prompt: Option<u64>,
    /// Limit on output tokens.
    #[serde(default)]
    output: u64,
    /// Parts of the prompt as `ID:TOKENS`, separated by commas.
    #[serde(default)]
    parts: String,
}

impl Query {
    /// Returns the head of such a request; `None` when a field cannot be parsed.
    fn head(&self) -> Option<RequestHead> {
        let part = |text: &str| {
            let (id, tokens) = text.split_once(':')?;
            Some(PromptPart {
                id: id.parse().ok()?,
                tokens: tokens.parse().ok()?,
            })
        };
        let parts = self.parts.split(',').filter(|text| !text.is_empty());
        Some(RequestHead {
            id: "explain".into(),
            method: Method::GET,
            host: self.host.clone(),
            target: self.path.parse::<Uri>().ok()?,
            headers: HeaderMap::new(),
            key: None,
            timeout: None,
            last_event: None,
            model: None,
            usage: self.prompt.map(|prompt| Usage {
                prompt,
                output: self.output,
            }),
            prompt_parts: parts.map(part).collect::<Option<_>>()?,
        })
    }
}

/// The parts of the process that choices depend on.
pub(crate) struct Explainer {
    pub(crate) clock: Clock,
    pub(crate) view: Arc<View>,
    pub(crate) dispatcher: Arc<Dispatcher>,
}

impl Explainer {
    /// Answers the question in the query of a URI in plain text. Changes no state and no counter.
    pub(crate) fn answer(&self, uri: &Uri) -> (StatusCode, Vec<u8>) {
        match self.explain(uri) {
            Ok(text) => (StatusCode::OK, text.into_bytes()),
            Err((status, reason)) => (status, format!("{reason}\n").into_bytes()),
        }
    }

    fn explain(&self, uri: &Uri) -> Result<String, (StatusCode, &'static str)> {
        let malformed = (
            StatusCode::BAD_REQUEST,
            "needs host and path, and takes prompt, output and parts",
        );
        let request = Request::builder().uri(uri.clone()).finish();
        let query = request.params::<Query>().map_err(|_| malformed)?;
        let head = query.head().ok_or(malformed)?;
        let directory = self.view.directory();
        let directory = directory.ok_or((StatusCode::SERVICE_UNAVAILABLE, "no configuration"))?;
        let route = directory.route(&head.host, head.target.path());
        let route = route.ok_or((StatusCode::NOT_FOUND, "no route"))?;
        let mut text = format!("configuration: version {}\n", directory.version());
        let written = self.describe(&mut text, route).and_then(|()| {
            for target in &route.targets {
                if let Some(service) = directory.service(&target.service) {
                    writeln!(text, "service {}: weight {}", service.name, target.weight)?;
                    self.describe_service(&mut text, service, &head, route)?;
                }
            }
            Ok(())
        });
        let unwritten = (StatusCode::INTERNAL_SERVER_ERROR, "not written");
        written.map_err(|fmt::Error| unwritten)?;
        Ok(text)
    }

    fn describe(&self, text: &mut String, route: &Route) -> fmt::Result {
        writeln!(
            text,
            "host: {}, {}",
            if self.view.is_ready(self.clock.now()) {
                "ready"
            } else {
                "not ready"
            },
            if self.view.is_draining() {
                "stopping"
            } else {
                "not stopping"
            }
        )?;
        writeln!(
            text,
            "route {}: {:?}, {} attempts, timeout {} ms, objective {} ms, priority {}",
            route.name,
            route.kind,
            route.attempts,
            route.timeout.as_millis(),
            route.objective.as_millis(),
            route.priority
        )
    }

    fn describe_service(
        &self,
        text: &mut String,
        service: &Service,
        head: &RequestHead,
        route: &Route,
    ) -> fmt::Result {
        let profile = self.dispatcher.profile(head, route.priority);
        let explanation = self.dispatcher.explain(service, &profile);
        for (id, standing) in &explanation.upstreams {
            match standing {
                Standing::Open => writeln!(text, "  upstream {id}: open")?,
                Standing::Limited(rate) => {
                    let rate = rate.per_second();
                    writeln!(text, "  upstream {id}: open with a permit of {rate}/s")?;
                }
                Standing::Barred(bar) => writeln!(text, "  upstream {id}: barred, {bar}")?,
            }
        }
        if let Some(scheduler) = &explanation.scheduler {
            writeln!(text, "  scheduler: {scheduler}")?;
        }
        if let Some(selection) = &explanation.selection {
            let (id, considered) = (&selection.upstream, selection.considered);
            writeln!(
                text,
                "  choice as the scheduler: {id}, {considered} considered: {}",
                selection.reason
            )?;
        }
        match &explanation.choice {
            Some((id, rationale)) => writeln!(text, "  choice: {id}, {rationale}"),
            None => writeln!(text, "  choice: none"),
        }
    }
}
