//! The options that name a batch.

use {
    anyhow::Context,
    clap::{Arg, ArgAction, ArgGroup, ArgMatches, Command},
    serde_json::{Map, Value, json},
};

/// Adds the options to a command.
pub fn add(command: Command) -> Command {
    let option = |id: &'static str, value: &'static str, help: &'static str| {
        Arg::new(id)
            .long(id)
            .value_name(value)
            .action(ArgAction::Append)
            .help(help)
    };
    command
        .arg(option("upstream", "UPSTREAM", "Upstream; may be repeated"))
        .arg(option(
            "model",
            "MODEL",
            "Model or service; may be repeated",
        ))
        .arg(option(
            "model-version",
            "VERSION",
            "Version of a model; may be repeated",
        ))
        .arg(option(
            "label",
            "NAME=VALUE",
            "Label that the upstream has; may be repeated",
        ))
        .group(
            ArgGroup::new("selector")
                .args(["upstream", "model", "model-version", "label"])
                .required(true)
                .multiple(true),
        )
}

/// Returns the selector for the API.
pub fn read(matches: &ArgMatches) -> anyhow::Result<Value> {
    let texts = |id: &str| -> Vec<&String> {
        let texts = matches.get_many::<String>(id);
        texts.into_iter().flatten().collect()
    };
    let labels = texts("label").into_iter().map(|label| pair(label));
    let labels: Map<String, Value> = labels.collect::<anyhow::Result<_>>()?;
    Ok(json!({
        "upstreams": texts("upstream"),
        "models": texts("model"),
        "versions": texts("model-version"),
        "labels": labels,
    }))
}

/// Splits `NAME=VALUE`.
pub fn pair(text: &str) -> anyhow::Result<(String, Value)> {
    let pair = text.split_once('=');
    let (name, value) = pair.with_context(|| format!("{text:?}: must be NAME=VALUE"))?;
    Ok((name.to_owned(), value.into()))
}
