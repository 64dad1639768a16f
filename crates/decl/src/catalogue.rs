//! The merged catalogue of all declarations, which is what a configuration revision consists of.

use std::collections::BTreeMap;

use base::Revision;
use base::ServiceName;
use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::Declaration;

/// A declaration in the catalogue, with where it came from.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// File name, relative to the published directory.
    pub file: CompactString,
    /// Revision that last changed this entry.
    pub changed: Revision,
    /// The declaration.
    pub declaration: Declaration,
}

/// Every declaration in force, at one revision.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Catalogue {
    /// Number of the configuration; zero before the first publish.
    pub revision: Revision,
    /// Identifies the publish that made this revision, so that a lost reply can be settled.
    pub publish: CompactString,
    /// Entries by service.
    pub entries: BTreeMap<ServiceName, Entry>,
}

impl Catalogue {
    /// Looks up the declaration of a service.
    pub fn declaration(&self, service: &str) -> Option<&Declaration> {
        self.entries.get(service).map(|entry| &entry.declaration)
    }
}
