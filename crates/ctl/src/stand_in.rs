//! Runs the stand-ins of outside systems.

use {
    anyhow::Context,
    clap::ArgMatches,
    std::{io::Write, net::SocketAddr},
};

/// Runs a stand-in until the process is stopped; prints the bound address first.
pub async fn run(matches: &ArgMatches) -> anyhow::Result<()> {
    let (name, matches) = matches.subcommand().context("no stand-in named")?;
    let address: SocketAddr = *matches.get_one("listen").context("--listen is missing")?;
    if name == "platform" {
        let (address, serve) = marigoldroute_platform::StandIn::default()
            .bind(address)
            .await?;
        print(address)?;
        serve.await;
    } else {
        let (address, serve) = marigoldroute_upstream::StandIn::default()
            .bind(address)
            .await?;
        print(address)?;
        serve.await;
    }
    Ok(())
}

fn print(address: SocketAddr) -> anyhow::Result<()> {
    println!("{address}");
    std::io::stdout().flush().context("write the address")
}
