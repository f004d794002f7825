//! Tests of the simulation.

use super::{Options, SIZES, repeat, variants};

/// Guards against a simulation whose figures depend on anything but the seed, and against holders
/// that overspend.
#[test]
fn figures_depend_on_the_seed_only() {
    let options = Options {
        runs: 1,
        duration: std::time::Duration::from_secs(240),
        ..Options::default()
    };
    for variant in variants().iter().take(2) {
        let run = || {
            let figures = repeat(&options, SIZES[0], variant).unwrap().to_string();
            let mut columns: Vec<_> = figures.split(',').map(str::to_owned).collect();
            // The time spent in the holder is measured on the real clock.
            columns.remove(columns.len() - 2);
            columns
        };
        let first = run();
        assert_eq!(first[0], "0", "{} overspends", variant.name);
        assert_eq!(first, run(), "{}", variant.name);
    }
}
