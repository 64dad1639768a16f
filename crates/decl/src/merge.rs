//! Merging of the files of one publish into a catalogue.

use std::collections::BTreeMap;

use base::Code;
use base::ServiceName;

use crate::Catalogue;
use crate::CatalogueEntry;
use crate::Changes;
use crate::DeclarationError;
use crate::ParsedFile;

/// Builds the catalogue of a set of files, or reports every service that more than one file declares.
///
/// The catalogue has revision zero; a publish assigns the real one.
pub fn merge(files: Vec<ParsedFile>) -> Result<Catalogue, Vec<DeclarationError>> {
    let errors = find_conflicts(&files);
    if !errors.is_empty() {
        return Err(errors);
    }
    let entries = files.into_iter().map(|parsed| {
        let entry = CatalogueEntry {
            file: parsed.file,
            changed: 0,
            declaration: parsed.declaration,
        };
        (entry.declaration.service.clone(), entry)
    });
    Ok(Catalogue {
        entries: entries.collect(),
        ..Catalogue::default()
    })
}

/// Returns the changes that a publish of all files of a catalogue consists of.
pub fn collect_changes(merged: Catalogue) -> Changes {
    let entries = merged.entries.into_values();
    entries
        .map(|entry| (entry.file, Some(entry.declaration)))
        .collect()
}

fn find_conflicts(files: &[ParsedFile]) -> Vec<DeclarationError> {
    let mut first: BTreeMap<&ServiceName, &ParsedFile> = BTreeMap::new();
    let mut errors = Vec::new();
    for parsed in files {
        let service = &parsed.declaration.service;
        let earlier = *first.entry(service).or_insert(parsed);
        if !std::ptr::eq(earlier, parsed) {
            errors.push(DeclarationError {
                file: parsed.file.clone(),
                line: parsed.line,
                key: "service".into(),
                reason: format!(
                    "service {service:?} is already declared at {}:{}",
                    earlier.file, earlier.line
                ),
                code: Code::InvalidDeclaration,
            });
        }
    }
    errors
}
