//! Typed access to TOML values with their position, so that every error has a line number.

use std::ops::Range;

use toml::Spanned;
use toml::de::DeTable;
use toml::de::DeValue;

use crate::error::ErrorCollector;
use crate::error::suggest_word;

/// Maximum length of a name; names appear in URL paths, metrics and log lines.
const MAX_NAME_BYTES: usize = 64;

/// A value with its position and the full key for error messages.
#[derive(Debug, Clone)]
pub(crate) struct Item<'a, 'i> {
    pub(crate) key: String,
    pub(crate) span: Range<usize>,
    value: &'a DeValue<'i>,
}

/// A table whose unknown keys have been reported.
#[derive(Debug)]
pub(crate) struct Section<'a, 'i> {
    prefix: String,
    span: Range<usize>,
    table: &'a DeTable<'i>,
    // False if a syntax error may have hidden keys.
    complete: bool,
}

impl<'a, 'i> Section<'a, 'i> {
    /// Opens the root table and reports its unknown keys; `complete` is false if a syntax error may have hidden keys.
    pub(crate) fn root(
        table: &'a DeTable<'i>,
        complete: bool,
        known: &[&str],
        errors: &mut ErrorCollector<'_>,
    ) -> Section<'a, 'i> {
        let section = Section {
            prefix: String::new(),
            span: 0..0,
            table,
            complete,
        };
        section.check_keys(known, errors);
        section
    }

    /// Returns the value of an optional key.
    pub(crate) fn find(&self, key: &str) -> Option<Item<'a, 'i>> {
        let value: &'a Spanned<DeValue<'i>> = self.table.get(key)?;
        Some(Item {
            key: format!("{}{key}", self.prefix),
            span: value.span(),
            value: value.get_ref(),
        })
    }

    /// Returns the value of a required key, and reports the key if it is missing.
    pub(crate) fn require(
        &self,
        key: &str,
        errors: &mut ErrorCollector<'_>,
    ) -> Option<Item<'a, 'i>> {
        let item = self.find(key);
        if item.is_none() && self.complete {
            let name = format!("{}{key}", self.prefix);
            errors.report(self.span.clone(), &name, "the key is missing");
        }
        item
    }

    fn check_keys(&self, known: &[&str], errors: &mut ErrorCollector<'_>) {
        for key in self.table.keys() {
            let word: &str = key.get_ref();
            if !known.contains(&word) {
                let name = format!("{}{word}", self.prefix);
                let reason = format!("the key is not known{}", suggest_word(word, known));
                errors.report(key.span(), &name, reason);
            }
        }
    }
}

impl<'a, 'i> Item<'a, 'i> {
    pub(crate) fn report(&self, reason: impl Into<String>, errors: &mut ErrorCollector<'_>) {
        errors.report(self.span.clone(), &self.key, reason);
    }

    fn report_mismatch(&self, expected: &str, errors: &mut ErrorCollector<'_>) {
        let found = self.value.type_str();
        self.report(format!("expected {expected}, found {found}"), errors);
    }

    /// Reads a table and reports its unknown keys.
    pub(crate) fn read_section(
        &self,
        complete: bool,
        known: &[&str],
        errors: &mut ErrorCollector<'_>,
    ) -> Option<Section<'a, 'i>> {
        let DeValue::Table(table) = self.value else {
            self.report_mismatch("a table", errors);
            return None;
        };
        let section = Section {
            prefix: format!("{}.", self.key),
            span: self.span.clone(),
            table,
            complete,
        };
        section.check_keys(known, errors);
        Some(section)
    }

    /// Returns the string, or `None` if the value has another type.
    pub(crate) fn as_string(&self) -> Option<&'a str> {
        self.value.as_str()
    }

    /// Reads a string.
    pub(crate) fn read_string(&self, errors: &mut ErrorCollector<'_>) -> Option<&'a str> {
        let text = self.value.as_str();
        if text.is_none() {
            self.report_mismatch("a string", errors);
        }
        text
    }

    /// Reads a name, whose characters must be safe in URL paths and metrics.
    pub(crate) fn read_name(&self, errors: &mut ErrorCollector<'_>) -> Option<&'a str> {
        let name = self.read_string(errors)?;
        let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        if name.is_empty() {
            self.report("the name is empty", errors);
        } else if name.len() > MAX_NAME_BYTES {
            self.report(
                format!("the name is longer than {MAX_NAME_BYTES} characters"),
                errors,
            );
        } else if !name.chars().all(allowed) {
            self.report(
                "a name may contain only letters, digits, '-', '_' and '.'",
                errors,
            );
        } else {
            return Some(name);
        }
        None
    }

    /// Reads a string that must be one of several keywords.
    pub(crate) fn read_keyword<T: Copy>(
        &self,
        words: &[(&str, T)],
        errors: &mut ErrorCollector<'_>,
    ) -> Option<T> {
        let text = self.read_string(errors)?;
        let found = words.iter().find(|(word, _)| *word == text);
        if found.is_none() {
            let known: Vec<&str> = words.iter().map(|(word, _)| *word).collect();
            let hint = suggest_word(text, &known);
            let reason = format!("{text:?} is not one of {}{hint}", known.join(", "));
            self.report(reason, errors);
        }
        found.map(|(_, value)| *value)
    }

    /// Reads a boolean.
    pub(crate) fn read_bool(&self, errors: &mut ErrorCollector<'_>) -> Option<bool> {
        let value = self.value.as_bool();
        if value.is_none() {
            self.report_mismatch("a boolean", errors);
        }
        value
    }

    /// Reads a number between 0 and 1, both included.
    pub(crate) fn read_fraction(&self, errors: &mut ErrorCollector<'_>) -> Option<f64> {
        let number = match self.value {
            DeValue::Float(float) => float.as_str().parse::<f64>().ok(),
            DeValue::Integer(_) => self.parse_integer().map(|integer| integer as f64),
            _ => {
                self.report_mismatch("a number", errors);
                return None;
            }
        };
        let fraction = number.filter(|number| (0.0..=1.0).contains(number));
        if fraction.is_none() {
            self.report("the number must be between 0 and 1", errors);
        }
        fraction
    }

    /// Reads a shard ID.
    pub(crate) fn read_shard(&self, errors: &mut ErrorCollector<'_>) -> Option<u32> {
        if !self.value.is_integer() {
            self.report_mismatch("a shard number", errors);
            return None;
        }
        let shard = self
            .parse_integer()
            .and_then(|number| u32::try_from(number).ok());
        if shard.is_none() {
            let reason = format!("the shard number must be between 0 and {}", u32::MAX);
            self.report(reason, errors);
        }
        shard
    }

    /// Reads an array; errors in an element report its index.
    pub(crate) fn read_array(&self, errors: &mut ErrorCollector<'_>) -> Option<Vec<Item<'a, 'i>>> {
        let DeValue::Array(array) = self.value else {
            self.report_mismatch("an array", errors);
            return None;
        };
        let items = array.iter().enumerate().map(|(index, value)| Item {
            key: format!("{}[{index}]", self.key),
            span: value.span(),
            value: value.get_ref(),
        });
        Some(items.collect())
    }

    fn parse_integer(&self) -> Option<i64> {
        let integer = self.value.as_integer()?;
        i64::from_str_radix(integer.as_str(), integer.radix()).ok()
    }
}
