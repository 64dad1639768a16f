//! Errors of declaration files, and the collector that gathers all of them in one run.

use std::ops::Range;

use base::Code;
use compact_str::CompactString;
use snafu::Snafu;

/// An error in a declaration file.
#[derive(Debug, Clone, PartialEq, Snafu)]
#[snafu(display("{file}:{line}: {key}: {reason} (code {})", code.number()))]
pub struct Fault {
    /// File name.
    pub file: CompactString,
    /// Line number, starting at 1.
    pub line: usize,
    /// Key that the error is about.
    pub key: CompactString,
    /// Reason in plain words.
    pub reason: String,
    /// Result code.
    pub code: Code,
}

/// Collects the faults of one file and turns byte offsets into line numbers.
#[derive(Debug)]
pub(crate) struct Collector<'a> {
    file: &'a str,
    text: &'a str,
    faults: Vec<Fault>,
}

impl<'a> Collector<'a> {
    pub(crate) fn new(file: &'a str, text: &'a str) -> Collector<'a> {
        Collector {
            file,
            text,
            faults: Vec::new(),
        }
    }

    /// Returns the line of an offset; an offset after the final line break belongs to the last line.
    pub(crate) fn line(&self, offset: usize) -> usize {
        let before = &self.text.as_bytes()[..offset.min(self.text.len())];
        let breaks = before.iter().filter(|byte| **byte == b'\n').count();
        (breaks + 1).min(self.text.lines().count().max(1))
    }

    pub(crate) fn report(&mut self, span: Range<usize>, key: &str, reason: impl Into<String>) {
        let line = self.line(span.start);
        self.faults.push(Fault {
            file: self.file.into(),
            line,
            key: key.into(),
            reason: reason.into(),
            code: Code::InvalidDeclaration,
        });
    }

    /// Adds syntax errors and drops the other faults on their lines, which only follow from them.
    pub(crate) fn keep_after_syntax(&mut self, syntax: Vec<Fault>) {
        let broken = |fault: &Fault| syntax.iter().any(|error| error.line == fault.line);
        self.faults.retain(|fault| !broken(fault));
        self.faults.extend(syntax);
    }

    /// Takes the faults reported so far.
    pub(crate) fn take(&mut self) -> Vec<Fault> {
        std::mem::take(&mut self.faults)
    }

    /// Returns every fault in the order of the lines.
    pub(crate) fn finish(mut self) -> Vec<Fault> {
        self.faults.sort_by_key(|fault| fault.line);
        self.faults
    }
}

/// Returns a suggestion for a misspelt word, or an empty text when no known word is close.
pub(crate) fn suggest_word(word: &str, known: &[&str]) -> String {
    // One error in three letters is the most that a reader still recognizes as the same word.
    let limit = (word.chars().count() / 3).max(1);
    known
        .iter()
        .map(|candidate| (strsim::osa_distance(word, candidate), candidate))
        .filter(|(distance, _)| *distance <= limit)
        .min()
        .map_or_else(String::new, |(_, best)| format!("; did you mean {best:?}?"))
}
