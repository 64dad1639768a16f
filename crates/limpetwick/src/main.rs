//! Command line of the limpetwick query tier.

fn main() {}
