//! Entry point of the router process.

use {
    anyhow::Context,
    marigoldroute::{Settings, cli, logs},
    std::process::ExitCode,
    tokio::signal::unix::{SignalKind, signal},
};

/// Exit code for mistakes in the settings.
const EXIT_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let matches = cli::command().get_matches();
    let settings = match cli::settings(&matches) {
        Ok(settings) => settings,
        Err(mistakes) => {
            eprintln!("marigoldroute: {mistakes}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    match run(&matches, settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("marigoldroute: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(matches: &clap::ArgMatches, settings: Settings) -> anyhow::Result<()> {
    if matches.get_flag("print-settings") {
        print!("{settings}");
    }
    if matches.get_flag("check") || matches.get_flag("print-settings") {
        return Ok(());
    }
    logs::init(settings.log_level)?;
    tokio::runtime::Runtime::new()
        .context("start the runtime")?
        .block_on(serve(settings))
}

async fn serve(settings: Settings) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("watch SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("watch SIGINT")?;
    let router = marigoldroute::start(settings).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    router.stop().await;
    Ok(())
}
