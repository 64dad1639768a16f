//! Names as fields of a line of text.

use std::fmt::Display;

use compact_str::CompactString;
use percent_encoding::AsciiSet;
use percent_encoding::CONTROLS;
use percent_encoding::percent_decode_str;
use percent_encoding::utf8_percent_encode;

/// Characters that would end a field or a line, and the one that escapes them.
const ESCAPED: &AsciiSet = &CONTROLS.add(b' ').add(b'%');

/// Escapes a name as one field of a line whose fields are separated by spaces.
pub fn escape_field(name: &str) -> impl Display {
    utf8_percent_encode(name, ESCAPED)
}

/// Returns the name that [`escape_field`] has escaped, or `None` if it is not UTF-8.
pub fn unescape_field(field: &str) -> Option<CompactString> {
    let name = percent_decode_str(field).decode_utf8().ok()?;
    Some(CompactString::from(name))
}
