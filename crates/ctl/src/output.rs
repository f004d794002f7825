//! Output for people and programs.

use {
    anyhow::Context,
    clap::{ArgMatches, ValueEnum, builder::PossibleValue},
    comfy_table::{Table, presets},
    serde_json::Value,
    std::io::Write,
};

/// Form of the output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Form {
    /// Columns for people.
    #[default]
    Table,
    /// JSON for programs, with every field.
    Json,
    /// Comma-separated values.
    Csv,
}

impl ValueEnum for Form {
    fn value_variants<'a>() -> &'a [Self] {
        &[Self::Table, Self::Json, Self::Csv]
    }

    fn to_possible_value(&self) -> Option<PossibleValue> {
        Some(PossibleValue::new(match self {
            Self::Table => "table",
            Self::Json => "json",
            Self::Csv => "csv",
        }))
    }
}

impl Form {
    /// Returns the form that the command line asks for.
    pub fn of(matches: &ArgMatches) -> Self {
        matches.get_one("output").copied().unwrap_or_default()
    }

    /// Prints a list; `columns` are the fields that tables and CSV show.
    ///
    /// # Errors
    /// When the output cannot be written.
    pub fn list(self, columns: &[&str], rows: &[Value]) -> anyhow::Result<()> {
        match self {
            Self::Json => print(&serde_json::to_string_pretty(rows)?),
            Self::Csv => print_csv(columns, rows),
            Self::Table => print(&table(columns, rows)),
        }
    }

    /// Prints one object with all its fields.
    ///
    /// # Errors
    /// When the output cannot be written.
    pub fn object(self, object: &Value) -> anyhow::Result<()> {
        let fields = object.as_object().context("the answer is not an object")?;
        match self {
            Self::Json => print(&serde_json::to_string_pretty(object)?),
            Self::Csv => {
                let columns: Vec<_> = fields.keys().map(String::as_str).collect();
                print_csv(&columns, std::slice::from_ref(object))
            }
            Self::Table => {
                let mut table = plain();
                for (name, value) in fields {
                    table.add_row([name.clone(), cell(value)]);
                }
                print(&table.trim_fmt())
            }
        }
    }
}

fn plain() -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table
}

fn table(columns: &[&str], rows: &[Value]) -> String {
    let mut table = plain();
    table.set_header(columns.iter().map(|column| column.to_uppercase()));
    for row in rows {
        table.add_row(columns.iter().map(|column| cell(&row[*column])));
    }
    table.trim_fmt()
}

fn print_csv(columns: &[&str], rows: &[Value]) -> anyhow::Result<()> {
    let mut writer = csv::Writer::from_writer(std::io::stdout());
    writer.write_record(columns)?;
    for row in rows {
        writer.write_record(columns.iter().map(|column| cell(&row[*column])))?;
    }
    writer.flush().context("write the output")
}

fn print(text: &str) -> anyhow::Result<()> {
    writeln!(std::io::stdout(), "{text}").context("write the output")
}

/// Returns a value as text.
pub fn cell(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        Value::Array(members) => {
            let members: Vec<_> = members.iter().map(cell).collect();
            members.join(",")
        }
        other => other.to_string(),
    }
}
