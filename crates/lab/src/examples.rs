//! The declarations of the example deployments, embedded so that the demo and the benchmark run from any directory.

use decl::Declaration;
use decl::DeclarationError;
use include_dir::Dir;
use include_dir::include_dir;

static EXAMPLES: Dir<'_> = include_dir!("$CARGO_MANIFEST_DIR/../../examples");

/// Returns the file name and text of every declaration of an example deployment; empty if the name is unknown.
pub fn list_declarations(name: &str) -> Vec<(&'static str, &'static str)> {
    let dir = EXAMPLES.get_dir(name);
    let files = dir.map(|dir| dir.files()).into_iter().flatten();
    files
        .filter_map(|file| Some((file.path().file_name()?.to_str()?, file.contents_utf8()?)))
        .filter(|(name, _)| name.ends_with(".toml"))
        .collect()
}

/// Parses every declaration of an example deployment.
///
/// # Errors
///
/// Returns the errors of the first invalid file.
pub fn parse_declarations(name: &str) -> Result<Vec<Declaration>, Vec<DeclarationError>> {
    let files = list_declarations(name).into_iter();
    files
        .map(|(file, text)| decl::parse_declaration(file, text))
        .collect()
}
