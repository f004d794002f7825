//! Runs the stand-ins of outside systems.

use {
    anyhow::Context,
    clap::ArgMatches,
    marigoldroute_store::StandIn as Platform,
    marigoldroute_upstream::{Loader, Settings, StandIn as Upstream, WeightSource, WeightStore},
    std::{io::Write, net::SocketAddr, time::Duration},
};

/// Time between the transfer of the weights and the first request.
const START_TIME: Duration = Duration::from_millis(500);

/// Runs a stand-in until the process is stopped; prints the bound address first.
pub async fn run(matches: &ArgMatches) -> anyhow::Result<()> {
    let (name, matches) = matches.subcommand().context("no stand-in named")?;
    let address: SocketAddr = *matches.get_one("listen").context("--listen is missing")?;
    match name {
        "platform" => serve(Platform::default().bind(address).await?).await,
        "weights" => serve(WeightStore::default().bind(address).await?).await,
        _ => serve(upstream(matches).bind(address).await?).await,
    }
}

fn upstream(matches: &ArgMatches) -> Upstream {
    let Some(weights) = matches.get_one::<String>("weights") else {
        return Upstream::default();
    };
    let loader = Loader {
        is_fencing: matches.get_flag("fencing"),
        start_time: START_TIME,
        weights: WeightSource::Remote(weights.as_str().into()),
    };
    Upstream::with_loader(Settings::default(), loader)
}

async fn serve((address, serve): (SocketAddr, impl Future<Output = ()>)) -> anyhow::Result<()> {
    println!("{address}");
    std::io::stdout().flush().context("write the address")?;
    serve.await;
    Ok(())
}
