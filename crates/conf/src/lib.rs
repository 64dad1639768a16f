//! The configuration in force on a node, and the rules of publishing a new one.
