//! The command groups.

pub mod audit;
pub mod bills;
pub mod budgets;
pub mod completions;
pub mod hosts;
pub mod keys;
pub mod progress;
pub mod restore;
pub mod settings;
pub mod spend;
pub mod upstreams;
pub mod withdraw;
pub mod workspaces;

mod selector;
mod value;

use {
    crate::{client::Client, output::Form},
    anyhow::Context as _,
    clap::{Arg, ArgMatches, value_parser},
    rand::RngCore,
    reqwest::{Certificate, Method},
    serde_json::Value,
    std::{fs, path::PathBuf},
};

/// Entries of one call for a list.
const PAGE_ENTRIES: usize = 1_000;
/// Bytes of a random request id before it is written in hexadecimal.
const REQUEST_BYTES: usize = 16;

/// What every command needs.
#[derive(Clone, Debug)]
pub struct Context {
    /// Client of the API.
    pub client: Client,
    /// Form of the output.
    pub form: Form,
    /// Request id of the command's write.
    pub request: String,
}

impl Context {
    /// Reads the options that all commands have.
    ///
    /// # Errors
    /// When the key is missing.
    pub fn new(matches: &ArgMatches) -> anyhow::Result<Self> {
        let text = |id: &str| matches.get_one::<String>(id).map(String::as_str);
        let key = text("key").context("no key: set --key or MARIGOLDCTL_KEY")?;
        let url = text("url").context("no URL: set --url or MARIGOLDCTL_URL")?;
        let random = || {
            let mut bytes = [0; REQUEST_BYTES];
            rand::rng().fill_bytes(&mut bytes);
            bytes.iter().map(|byte| format!("{byte:02x}")).collect()
        };
        Ok(Self {
            client: Client::new(url, key, trusted(matches)?)?,
            form: Form::of(matches),
            request: text("request-id").map_or_else(random, ToOwned::to_owned),
        })
    }

    /// Writes under the command's request id.
    async fn write(&self, method: Method, path: &str, body: &Value) -> anyhow::Result<Value> {
        let written = self.client.write(method, path, &self.request, body).await;
        written.with_context(|| format!("request id {}", self.request))
    }

    /// Reads a list page by page, as far as the command line asks.
    async fn list(
        &self,
        path: &str,
        query: &[(&str, String)],
        matches: &ArgMatches,
    ) -> anyhow::Result<Vec<Value>> {
        let most: usize = matches.get_one("limit").copied().unwrap_or(PAGE_ENTRIES);
        let mut after = matches.get_one::<String>("after").cloned();
        let mut items = Vec::new();
        loop {
            let mut query = query.to_vec();
            query.push(("limit", PAGE_ENTRIES.min(most - items.len()).to_string()));
            query.extend(after.map(|after| ("after", after)));
            let answer = self.client.get(path, &query).await?;
            let page = if path == "/settings" {
                &answer["nodes"]
            } else {
                &answer
            };
            items.extend(page["items"].as_array().into_iter().flatten().cloned());
            after = page["next"].as_str().map(ToOwned::to_owned);
            match &after {
                Some(next) if items.len() >= most => {
                    eprintln!("marigoldctl: more entries follow; continue with --after '{next}'");
                    return Ok(items);
                }
                Some(_) => {}
                None => return Ok(items),
            }
        }
    }
}

/// Reads the CA certificates that the command line names.
fn trusted(matches: &ArgMatches) -> anyhow::Result<Option<Vec<Certificate>>> {
    let Some(path) = matches.get_one::<PathBuf>("ca-certificate") else {
        return Ok(None);
    };
    let context = || format!("--ca-certificate {}", path.display());
    let pem = fs::read(path).with_context(context)?;
    let certificates = Certificate::from_pem_bundle(&pem).with_context(context)?;
    anyhow::ensure!(
        !certificates.is_empty(),
        "{}: no certificate in PEM form",
        context()
    );
    Ok(Some(certificates))
}

/// Returns the options of a list.
fn paging() -> [Arg; 2] {
    [
        Arg::new("limit")
            .long("limit")
            .value_name("N")
            .value_parser(value_parser!(usize))
            .help("Most entries; 1000 when absent"),
        Arg::new("after")
            .long("after")
            .value_name("ENTRY")
            .help("Continue a list after this entry"),
    ]
}

/// Returns a required positional argument.
fn name(id: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(id).value_name(value).required(true).help(help)
}

/// Returns the text of a required argument.
fn text<'a>(matches: &'a ArgMatches, id: &str) -> anyhow::Result<&'a str> {
    let text = matches.get_one::<String>(id);
    text.map(String::as_str)
        .with_context(|| format!("{id} is missing"))
}
