//! Runs the measurement of bills and claims.

#[path = "../src/measure"]
mod measure {
    pub mod bills;
}

fn main() -> anyhow::Result<()> {
    let settings = measure::bills::Settings::default();
    measure::bills::run(&settings, &mut std::io::stdout())
}
