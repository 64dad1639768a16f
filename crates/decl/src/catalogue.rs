//! The merged catalogue of all declarations, which is the content of a configuration revision.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::Revision;
use base::ServiceName;
use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

use crate::Declaration;

/// Maximum number of publishes in the log.
///
/// At 940 publishes a day this covers more than six hours, which is longer than a planned outage of the platform. A node
/// or an operator that is further behind reads the whole catalogue instead.
const MAX_LOG_RECORDS: usize = 256;

/// A declaration in the catalogue, with its file and revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CatalogueEntry {
    /// File name, relative to the published directory.
    pub file: CompactString,
    /// Revision that last changed this entry.
    pub changed: Revision,
    /// Validated content of the file.
    pub declaration: Declaration,
}

/// Log record of one accepted publish.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PublishRecord {
    /// Revision that the publish created.
    pub revision: Revision,
    /// Publish ID, which resolves a lost reply even after later publishes.
    pub publish: CompactString,
    /// Files that the publish changed or removed.
    pub files: Vec<CompactString>,
    /// Services that the publish removed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub removed: Vec<ServiceName>,
}

/// All declarations in force at one revision.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Catalogue {
    /// Configuration revision; zero before the first publish.
    pub revision: Revision,
    /// ID of the publish that created this revision, which resolves a lost reply.
    pub publish: CompactString,
    /// Entries by service.
    pub entries: BTreeMap<ServiceName, CatalogueEntry>,
    /// Latest publishes, oldest first.
    #[serde(default)]
    pub log: Vec<PublishRecord>,
}

/// Changes by file name: a declaration replaces the entry of the file, and `None` removes it.
pub type Changes = BTreeMap<CompactString, Option<Declaration>>;

/// The service of a changed file is already declared by another file.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display(
    "{file}: service {service:?} is already declared by {other} at revision {revision}"
))]
pub struct ServiceConflict {
    /// Changed file.
    pub file: CompactString,
    /// Service that both files declare.
    pub service: ServiceName,
    /// File that already declares the service.
    pub other: CompactString,
    /// Revision that last changed the other file.
    pub revision: Revision,
}

/// Difference between two revisions, which peers exchange instead of whole catalogues.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Revision from which the delta starts; the receiver must have it or a later one.
    pub since: Revision,
    /// Revision that results from the delta.
    pub revision: Revision,
    /// Publish ID of the resulting revision.
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

    /// Returns the ID of the publish that created a revision, or `None` if the log does not contain it.
    pub fn find_publish_id(&self, revision: Revision) -> Option<&CompactString> {
        let record = self.log.iter().find(|record| record.revision == revision)?;
        Some(&record.publish)
    }

    /// Returns whether the log contains every publish after a revision.
    pub fn has_log_since(&self, since: Revision) -> bool {
        match self.log.first() {
            Some(first) => since <= self.revision && first.revision <= since.saturating_add(1),
            None => since == self.revision,
        }
    }

    /// Returns the last revision after `since` that changed a file.
    ///
    /// The result is valid only if [`Catalogue::has_log_since`] holds for `since`.
    pub fn find_last_change(&self, file: &str, since: Revision) -> Option<Revision> {
        self.log
            .iter()
            .rev()
            .take_while(|record| record.revision > since)
            .find(|record| record.files.iter().any(|changed| changed == file))
            .map(|record| record.revision)
    }

    /// Returns whether a file already has the given content, where `None` stands for an absent file.
    pub fn has_file(&self, file: &str, content: Option<&Declaration>) -> bool {
        let current: Vec<&Declaration> = self
            .entries
            .values()
            .filter(|entry| entry.file == file)
            .map(|entry| &entry.declaration)
            .collect();
        match content {
            Some(declaration) => current == [declaration],
            None => current.is_empty(),
        }
    }

    /// Returns the next revision with the changes applied, or `None` if they have no effect.
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

    /// Returns the changes after a revision, or `None` if the log does not reach back to it.
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

    /// Returns the catalogue that results from a delta, or `None` if the delta starts after this revision or does not lead
    /// to a later one.
    ///
    /// The log gets one record for the whole delta. That is enough to compute deltas for other nodes, but only the
    /// platform's catalogue contains a record of every publish.
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
        let excess = self.log.len().saturating_sub(MAX_LOG_RECORDS);
        self.log.drain(..excess);
    }
}
