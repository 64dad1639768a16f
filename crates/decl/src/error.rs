//! Errors in declaration files, and a collector that reports all errors of a file at once.

use std::ops::Range;

use base::Code;
use compact_str::CompactString;
use snafu::Snafu;

/// An error in a declaration file.
#[derive(Debug, Clone, PartialEq, Snafu)]
#[snafu(display("{file}:{line}: {key}: {reason} (code {})", code.number()))]
pub struct DeclarationError {
    /// File name.
    pub file: CompactString,
    /// Line number, starting at 1.
    pub line: usize,
    /// Key with the error, such as `hedge.budget`; `syntax` for a TOML syntax error.
    pub key: CompactString,
    /// Description of the error.
    pub reason: String,
    /// Result code.
    pub code: Code,
}

/// Collects the errors of one file and turns byte offsets into line numbers.
#[derive(Debug)]
pub(crate) struct ErrorCollector<'a> {
    file: &'a str,
    text: &'a str,
    errors: Vec<DeclarationError>,
}

impl<'a> ErrorCollector<'a> {
    pub(crate) fn new(file: &'a str, text: &'a str) -> ErrorCollector<'a> {
        ErrorCollector {
            file,
            text,
            errors: Vec::new(),
        }
    }

    /// Returns the line number of a byte offset; an offset after the final line break belongs to the last line.
    pub(crate) fn find_line(&self, offset: usize) -> usize {
        let prefix = &self.text.as_bytes()[..offset.min(self.text.len())];
        let breaks = prefix.iter().filter(|byte| **byte == b'\n').count();
        (breaks + 1).min(self.text.lines().count().max(1))
    }

    pub(crate) fn report(&mut self, span: Range<usize>, key: &str, reason: impl Into<String>) {
        let line = self.find_line(span.start);
        self.errors.push(DeclarationError {
            file: self.file.into(),
            line,
            key: key.into(),
            reason: reason.into(),
            code: Code::InvalidDeclaration,
        });
    }

    /// Adds syntax errors and drops the other errors on the same lines, which are consequences of them.
    pub(crate) fn add_syntax_errors(&mut self, syntax_errors: Vec<DeclarationError>) {
        let invalid = |line: usize| syntax_errors.iter().any(|error| error.line == line);
        self.errors.retain(|error| !invalid(error.line));
        self.errors.extend(syntax_errors);
    }

    /// Removes and returns the errors reported so far.
    pub(crate) fn take_errors(&mut self) -> Vec<DeclarationError> {
        std::mem::take(&mut self.errors)
    }

    /// Returns all errors in the order of their lines.
    pub(crate) fn into_sorted(mut self) -> Vec<DeclarationError> {
        self.errors.sort_by_key(|error| error.line);
        self.errors
    }
}

/// Returns a suggestion for a misspelt word, or an empty string if no known word is similar.
pub(crate) fn suggest_word(word: &str, known: &[&str]) -> String {
    // With more than one wrong letter in three, a suggestion would rarely be the intended word.
    let max_distance = (word.chars().count() / 3).max(1);
    known
        .iter()
        .map(|candidate| (strsim::osa_distance(word, candidate), candidate))
        .filter(|(distance, _)| *distance <= max_distance)
        .min()
        .map_or_else(String::new, |(_, best)| format!("; did you mean {best:?}?"))
}
