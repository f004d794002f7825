//! Command line of the router.

fn main() {}
