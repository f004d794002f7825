//! Runs the routing measurement: `measure-routing [case]...`.

#[path = "../src/measure"]
mod measure {
    pub mod routing;
}

use measure::routing::{Settings, run};

fn main() -> anyhow::Result<()> {
    let settings = Settings {
        cases: std::env::args().skip(1).collect(),
        ..Settings::default()
    };
    run(&settings, &mut std::io::stdout())
}
