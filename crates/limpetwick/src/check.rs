//! Validates declaration files without a platform.

use std::io;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use base::Code;
use decl::Catalogue;
use decl::DeclarationError;
use decl::merge;
use decl::parse_file;

/// Exit code if all files are valid.
pub const EXIT_VALID: u8 = 0;

/// Exit code if a file is invalid or cannot be read; nothing was sent to the platform.
pub const EXIT_INVALID: u8 = 2;

/// Prints the errors of all files and returns the exit code; a directory stands for its TOML files.
///
/// An empty list of files is an error, because otherwise a wrong pattern in a script would pass the check.
pub fn check_files(files: &[PathBuf], out: &mut impl Write) -> io::Result<u8> {
    let files = match expand_directories(files) {
        Ok(files) => files,
        Err(error) => return report_errors(&[error], out),
    };
    if files.is_empty() {
        writeln!(out, "check: no declaration files were found")?;
        return Ok(EXIT_INVALID);
    }
    let named: Vec<(String, &Path)> = files
        .iter()
        .map(|path| (path.display().to_string(), path.as_path()))
        .collect();
    match load_files(&named) {
        Ok(catalogue) => {
            let count = catalogue.entries.len();
            writeln!(out, "check: {count} declarations are valid")?;
            Ok(EXIT_VALID)
        }
        Err(errors) => report_errors(&errors, out),
    }
}

/// Prints errors, one per line, and returns the exit code.
pub fn report_errors(errors: &[DeclarationError], out: &mut impl Write) -> io::Result<u8> {
    for error in errors {
        writeln!(out, "{error}")?;
    }
    writeln!(out, "check: {} errors", errors.len())?;
    Ok(EXIT_INVALID)
}

/// Reads and merges the TOML files of a directory; catalogue entries have file names without the directory.
pub fn load_directory(dir: &Path) -> Result<Catalogue, Vec<DeclarationError>> {
    let files = list_directory(dir).map_err(|error| vec![error])?;
    let named: Vec<(String, &Path)> = files
        .iter()
        .map(|path| {
            let name = path.file_name().unwrap_or_default().to_string_lossy();
            (name.into_owned(), path.as_path())
        })
        .collect();
    load_files(&named)
}

fn expand_directories(files: &[PathBuf]) -> Result<Vec<PathBuf>, DeclarationError> {
    let mut expanded = Vec::new();
    for path in files {
        if path.is_dir() {
            expanded.extend(list_directory(path)?);
        } else {
            expanded.push(path.clone());
        }
    }
    Ok(expanded)
}

/// Lists the TOML files of a directory in alphabetical order.
fn list_directory(dir: &Path) -> Result<Vec<PathBuf>, DeclarationError> {
    let to_error = |error: io::Error| describe_read_error(&dir.display().to_string(), &error);
    let mut files = Vec::new();
    for entry in std::fs::read_dir(dir).map_err(to_error)? {
        let path = entry.map_err(to_error)?.path();
        if path
            .extension()
            .is_some_and(|extension| extension == "toml")
        {
            files.push(path);
        }
    }
    files.sort_unstable();
    Ok(files)
}

/// Reads and merges files; conflicts are reported only between files that are valid on their own.
fn load_files(named: &[(String, &Path)]) -> Result<Catalogue, Vec<DeclarationError>> {
    let mut errors = Vec::new();
    let mut parsed = Vec::new();
    for (name, path) in named {
        match std::fs::read_to_string(path) {
            Ok(text) => match parse_file(name, &text) {
                Ok(file) => parsed.push(file),
                Err(file_errors) => errors.extend(file_errors),
            },
            Err(error) => errors.push(describe_read_error(name, &error)),
        }
    }
    match merge(parsed) {
        Ok(catalogue) if errors.is_empty() => Ok(catalogue),
        Ok(_) => Err(errors),
        Err(conflicts) => {
            errors.extend(conflicts);
            Err(errors)
        }
    }
}

fn describe_read_error(name: &str, error: &io::Error) -> DeclarationError {
    DeclarationError {
        file: name.into(),
        line: 1,
        key: "file".into(),
        reason: format!("the file cannot be read: {error}"),
        code: Code::InvalidDeclaration,
    }
}
