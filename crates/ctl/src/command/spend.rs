//! `marigoldctl spend`.

use {
    super::{Context, bills},
    anyhow::Context as _,
    clap::{Arg, ArgMatches, Command},
    serde_json::{Map, Value},
    std::collections::BTreeMap,
    time::{OffsetDateTime, format_description::well_known::Rfc3339},
};

/// Columns; those after the name are sums.
const COLUMNS: [&str; 4] = ["name", "bills", "charged", "uncovered"];

/// Returns the command line.
pub fn command() -> Command {
    let by = Arg::new("by")
        .long("by")
        .value_name("GROUP")
        .value_parser(["workspace", "budget", "model", "upstream"])
        .default_value("budget")
        .help("What to group by");
    let time = |id: &'static str, help: &'static str| {
        let time = Arg::new(id).long(id).value_name("TIME");
        time.value_parser(seconds).help(help)
    };
    Command::new("spend")
        .about("Add up the bills")
        .arg(by)
        .arg(bills::budget())
        .arg(time(
            "from",
            "Only bills from this time on: 2026-12-01 (UTC) or 2026-12-01T08:00:00+05:30",
        ))
        .arg(time("to", "Only bills before this time"))
}

/// Runs the command.
pub async fn run(context: &Context, matches: &ArgMatches) -> anyhow::Result<()> {
    let mut query = vec![("by", super::text(matches, "by")?.to_owned())];
    let budget = matches.get_one::<String>("budget");
    query.extend(budget.map(|budget| ("budget", budget.clone())));
    for id in ["from", "to"] {
        let time = matches.get_one::<u64>(id);
        query.extend(time.map(|time| (id, time.to_string())));
    }
    let mut sums = BTreeMap::new();
    let mut after = None;
    loop {
        let mut query = query.clone();
        query.extend(after.map(|after| ("after", after)));
        let page = context.client.get("/spend", &query).await?;
        add(&mut sums, &page["totals"])?;
        after = page["next"].as_str().map(ToOwned::to_owned);
        if after.is_none() {
            if page["complete"] == false {
                eprintln!(
                    "marigoldctl: the newest bills were not all counted; name a --budget or an earlier --to"
                );
            }
            break;
        }
    }
    let totals: Vec<_> = sums
        .into_iter()
        .map(|(name, sums)| total(name, sums))
        .collect();
    context.form.list(&COLUMNS, &totals)
}

type Sums = [u64; COLUMNS.len() - 1];

/// Adds the sums of a page.
fn add(sums: &mut BTreeMap<String, Sums>, totals: &Value) -> anyhow::Result<()> {
    let totals = totals.as_array().context("the answer has no totals")?;
    for total in totals {
        let name = total["name"].as_str().context("a total has no name")?;
        let sums = sums.entry(name.to_owned()).or_default();
        for (sum, column) in sums.iter_mut().zip(&COLUMNS[1..]) {
            *sum += total[column].as_u64().unwrap_or_default();
        }
    }
    Ok(())
}

fn total(name: String, sums: Sums) -> Value {
    let columns = COLUMNS.map(ToOwned::to_owned).into_iter();
    let values = [Value::from(name)].into_iter().chain(sums.map(Value::from));
    columns.zip(values).collect::<Map<_, _>>().into()
}

/// Reads a time as seconds since the Unix epoch.
fn seconds(text: &str) -> Result<u64, String> {
    // A date alone is its first second.
    let midnight = |text: &str| OffsetDateTime::parse(&format!("{text}T00:00:00Z"), &Rfc3339);
    let time = OffsetDateTime::parse(text, &Rfc3339).or_else(|_| midnight(text));
    let time = time.map_err(|_| "neither a date nor a date and time with its offset")?;
    u64::try_from(time.unix_timestamp()).map_err(|_| "before 1970".to_owned())
}
