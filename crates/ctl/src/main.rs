//! Command line of the operators.

fn main() {}
