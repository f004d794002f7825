//! Values of settings on the command line.

use {
    anyhow::Context,
    marigoldroute_core::config::{Setting, Unit, Value},
    std::sync::Arc,
};

/// Reads the text of a value by the unit of the setting. A list is separated by commas, and labels
/// are written as `NAME=VALUE`.
///
/// # Errors
/// When the setting is unknown or the text does not have its unit.
pub fn parse(setting: &str, text: &str) -> anyhow::Result<Value> {
    let known = Setting::parse(setting);
    let known = known.with_context(|| format!("no setting {setting}"))?;
    let unit = known.rule().unit;
    let number = || {
        let parsed = text.parse::<u64>();
        parsed.with_context(|| format!("{text:?}: must be a number of {unit}"))
    };
    Ok(match unit {
        Unit::Text => Value::Text(text.into()),
        Unit::Tokens => Value::Tokens(number()?),
        Unit::Seconds => Value::Seconds(number()?),
        Unit::Percent => Value::Percent(number()?),
        Unit::Weight => Value::Weight(number()?),
        Unit::Class => Value::Class(number()?),
        Unit::Count => Value::Count(number()?),
        Unit::Flag => {
            let flag = text.parse::<bool>();
            Value::Flag(flag.with_context(|| format!("{text:?}: must be true or false"))?)
        }
        Unit::Names => Value::Names(members(text)),
        Unit::Hashes => Value::Hashes(members(text)),
        Unit::Labels => {
            let pair = |member: &Arc<str>| {
                let pair = member.split_once('=');
                let (name, value) =
                    pair.with_context(|| format!("{member}: must be NAME=VALUE"))?;
                Ok((name.into(), value.into()))
            };
            let pairs = members(text);
            Value::Labels(pairs.iter().map(pair).collect::<anyhow::Result<_>>()?)
        }
    })
}

fn members(text: &str) -> Vec<Arc<str>> {
    let members = text.split(',').map(str::trim);
    members
        .filter(|member| !member.is_empty())
        .map(Arc::from)
        .collect()
}
