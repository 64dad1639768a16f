//! The merged catalogue of all declarations, which is what a configuration revision consists of.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::Revision;
use base::ServiceName;
use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

use crate::Declaration;

/// Publishes that the log keeps.
///
/// At 940 publishes a day this covers more than six hours, which is longer than a planned outage of the platform; a node
/// or an operator that is further behind reads the whole catalogue instead.
const LOG_LIMIT: usize = 256;

/// A declaration in the catalogue, with where it came from.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CatalogueEntry {
    /// File name, relative to the published directory.
    pub file: CompactString,
    /// Revision that last changed this entry.
    pub changed: Revision,
    /// The declaration.
    pub declaration: Declaration,
}

/// One accepted publish, as the log keeps it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PublishRecord {
    /// Revision that the publish made.
    pub revision: Revision,
    /// Publish id, by which a lost reply is settled even after later publishes.
    pub publish: CompactString,
    /// Files that the publish changed or removed.
    pub files: Vec<CompactString>,
    /// Services that the publish removed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub removed: Vec<ServiceName>,
}

/// Every declaration in force, at one revision.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Catalogue {
    /// Number of the configuration; zero before the first publish.
    pub revision: Revision,
    /// Identifies the publish that made this revision, so that a lost reply can be settled.
    pub publish: CompactString,
    /// Entries by service.
    pub entries: BTreeMap<ServiceName, CatalogueEntry>,
    /// The latest publishes, oldest first.
    #[serde(default)]
    pub log: Vec<PublishRecord>,
}

/// Files to change: a declaration replaces the file's entry, and `None` removes it.
pub type Changes = BTreeMap<CompactString, Option<Declaration>>;

/// The service of a changed file is already declared by another file.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display(
    "{file}: service {service:?} is already declared by {other} at revision {revision}"
))]
pub struct ServiceConflict {
    /// File that was to be changed.
    pub file: CompactString,
    /// Service that it declares.
    pub service: ServiceName,
    /// File that already declares the service.
    pub other: CompactString,
    /// Revision that last changed the other file.
    pub revision: Revision,
}

/// What changed between two revisions, so that peers exchange only that.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Revision that the delta starts from; a receiver must have it or a later one.
    pub since: Revision,
    /// Revision that the delta leads to.
    pub revision: Revision,
    /// Publish id of that revision.
    pub publish: CompactString,
    /// Entries that changed after `since`.
    pub entries: BTreeMap<ServiceName, CatalogueEntry>,
    /// Services that were removed after `since`.
    pub removed: Vec<ServiceName>,
}

impl Catalogue {
    /// Looks up the declaration of a service.
    pub fn declaration(&self, service: &str) -> Option<&Declaration> {
        self.entries.get(service).map(|entry| &entry.declaration)
    }

    /// Returns the publish id that made a revision, as far back as the log reaches.
    pub fn find_publish_id(&self, revision: Revision) -> Option<&CompactString> {
        let record = self.log.iter().find(|record| record.revision == revision)?;
        Some(&record.publish)
    }

    /// Tells whether the log lists every publish after a revision.
    pub fn has_log_since(&self, since: Revision) -> bool {
        match self.log.first() {
            Some(first) => since <= self.revision && first.revision <= since.saturating_add(1),
            None => since == self.revision,
        }
    }

    /// Returns the last revision after `since` that changed a file; meaningful only where the log covers `since`.
    pub fn find_last_change(&self, file: &str, since: Revision) -> Option<Revision> {
        self.log
            .iter()
            .rev()
            .take_while(|record| record.revision > since)
            .find(|record| record.files.iter().any(|held| held == file))
            .map(|record| record.revision)
    }

    /// Tells whether a file already has the given content.
    pub fn has_file(&self, file: &str, content: Option<&Declaration>) -> bool {
        let held: Vec<&Declaration> = self
            .entries
            .values()
            .filter(|entry| entry.file == file)
            .map(|entry| &entry.declaration)
            .collect();
        match content {
            Some(declaration) => held == [declaration],
            None => held.is_empty(),
        }
    }

    /// Returns the next revision with the changes made, or `None` when they change nothing.
    ///
    /// Files that already have the given content keep their revision.
    pub fn with_changes(
        &self,
        changes: &Changes,
        publish: &str,
    ) -> Result<Option<Catalogue>, ServiceConflict> {
        let changes: Vec<(&CompactString, &Option<Declaration>)> = changes
            .iter()
            .filter(|(file, content)| !self.has_file(file, content.as_ref()))
            .collect();
        if changes.is_empty() {
            return Ok(None);
        }
        let mut next = self.clone();
        next.revision += 1;
        next.publish = publish.into();
        next.entries
            .retain(|_, entry| !changes.iter().any(|(file, _)| **file == entry.file));
        for (file, content) in &changes {
            if let Some(declaration) = content {
                next.insert(file, declaration)?;
            }
        }
        let removed = self.entries.keys();
        let removed = removed.filter(|service| !next.entries.contains_key(*service));
        next.log.push(PublishRecord {
            revision: next.revision,
            publish: publish.into(),
            files: changes.iter().map(|(file, _)| (*file).clone()).collect(),
            removed: removed.cloned().collect(),
        });
        next.trim_log();
        Ok(Some(next))
    }

    /// Returns what changed after a revision, or `None` when only the whole catalogue shows it.
    pub fn delta_since(&self, since: Revision) -> Option<Delta> {
        if !self.has_log_since(since) {
            return None;
        }
        let entries = self.entries.iter();
        let log = self.log.iter();
        let removed: BTreeSet<&ServiceName> = log
            .filter(|record| record.revision > since)
            .flat_map(|record| &record.removed)
            .filter(|service| !self.entries.contains_key(*service))
            .collect();
        Some(Delta {
            since,
            revision: self.revision,
            publish: self.publish.clone(),
            entries: entries
                .filter(|(_, entry)| entry.changed > since)
                .map(|(service, entry)| (service.clone(), entry.clone()))
                .collect(),
            removed: removed.into_iter().cloned().collect(),
        })
    }

    /// Returns the catalogue that a delta leads to, or `None` when the delta does not start at or before this revision or
    /// does not lead beyond it.
    ///
    /// The log gets one record for the whole delta. That is enough to pass deltas on, but only the platform's catalogue
    /// lists every publish.
    pub fn with_delta(&self, delta: Delta) -> Option<Catalogue> {
        if delta.since > self.revision || delta.revision <= self.revision {
            return None;
        }
        let mut next = self.clone();
        next.revision = delta.revision;
        next.publish = delta.publish.clone();
        next.entries
            .retain(|service, _| !delta.removed.contains(service));
        next.log.push(PublishRecord {
            revision: delta.revision,
            publish: delta.publish,
            files: delta.entries.values().map(|e| e.file.clone()).collect(),
            removed: delta.removed,
        });
        next.entries.extend(delta.entries);
        next.trim_log();
        Some(next)
    }

    fn insert(
        &mut self,
        file: &CompactString,
        declaration: &Declaration,
    ) -> Result<(), ServiceConflict> {
        let service = declaration.service.clone();
        if let Some(entry) = self.entries.get(&service) {
            return Err(ServiceConflict {
                file: file.clone(),
                service,
                other: entry.file.clone(),
                revision: entry.changed,
            });
        }
        let entry = CatalogueEntry {
            file: file.clone(),
            changed: self.revision,
            declaration: declaration.clone(),
        };
        self.entries.insert(service, entry);
        Ok(())
    }

    fn trim_log(&mut self) {
        let excess = self.log.len().saturating_sub(LOG_LIMIT);
        self.log.drain(..excess);
    }
}
