//! Command line of limpethook.

fn main() {}
