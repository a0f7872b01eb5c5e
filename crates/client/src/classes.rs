//! Class files: a partner's classes with their targets, in TOML.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;

use hibiscusvale::operators::views::TargetView;
use hibiscusvale_core::config::{ClassTarget, MAX_CHANGES_PER_RECORD};
use hibiscusvale_core::ids::ClassName;
use serde::Deserialize;
use toml::Spanned;

use crate::context::{line_number, read_text, toml_error};
use crate::error::ClientError;

/// Targets by class name.
pub type Classes = BTreeMap<ClassName, ClassTarget>;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ClassFile {
    classes: BTreeMap<ClassName, Spanned<ClassEntry>>,
}

/// Class entry of the file. `kind` is a plain field rather than serde's enum tag, so that unknown keys in the entry are
/// rejected.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ClassEntry {
    kind: Kind,
    first_token_ms: Option<u64>,
    per_token_ms: Option<u64>,
    response_ms: Option<u64>,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Kind {
    Language,
    Plain,
}

/// Reads and validates a class file.
///
/// # Errors
///
/// [`ClientError::Read`] if the file cannot be read, [`ClientError::BadFile`] with the line if it is not valid.
pub fn load(path: &Path) -> Result<Classes, ClientError> {
    let text = read_text(path)?;
    parse(path, &text)
}

/// Parses and validates the text of a class file; `path` is used in error messages.
///
/// # Errors
///
/// [`ClientError::BadFile`] with the line if the text is not valid.
pub fn parse(path: &Path, text: &str) -> Result<Classes, ClientError> {
    let file: ClassFile = toml::from_str(text).map_err(|error| toml_error(path, text, &error))?;
    if file.classes.len() > MAX_CHANGES_PER_RECORD {
        return Err(invalid_file(
            path,
            None,
            format!(
                "has {} classes, at most {MAX_CHANGES_PER_RECORD} are accepted per file",
                file.classes.len()
            ),
        ));
    }
    let classes = file.classes.into_iter().map(|(class, entry)| {
        let line = line_number(text, entry.span().start);
        let target = target(entry.get_ref())
            .and_then(|target| target.check().map(|()| target).map_err(|error| error.to_string()))
            .map_err(|message| invalid_file(path, Some(line), format!("class {class}: {message}")))?;
        Ok((class, target))
    });
    classes.collect()
}

fn target(entry: &ClassEntry) -> Result<ClassTarget, String> {
    use hibiscusvale_core::units::Millis;
    let target = match (entry.kind, entry.first_token_ms, entry.per_token_ms, entry.response_ms) {
        (Kind::Language, Some(first), Some(per), None) => ClassTarget::language(Millis(first), Millis(per)),
        (Kind::Plain, None, None, Some(response)) => ClassTarget::plain(Millis(response)),
        (Kind::Language, ..) => return Err("kind language takes first_token_ms and per_token_ms".to_owned()),
        (Kind::Plain, ..) => return Err("kind plain takes response_ms".to_owned()),
    };
    Ok(target)
}

fn invalid_file(path: &Path, line: Option<usize>, message: String) -> ClientError {
    ClientError::BadFile { path: path.to_owned(), line, message }
}

/// Formats classes as a class file.
pub fn write<'a, List>(classes: List) -> String
where
    List: IntoIterator<Item = (&'a ClassName, TargetView)>,
{
    let mut text = String::new();
    for (class, target) in classes {
        // Writing to a `String` cannot fail.
        let _ = match target {
            TargetView::Language { first_token_ms, per_token_ms } => writeln!(
                text,
                "[classes.{:?}]\nkind = \"language\"\nfirst_token_ms = {}\nper_token_ms = {}\n",
                class.as_str(),
                first_token_ms.0,
                per_token_ms.0
            ),
            TargetView::Plain { response_ms } => writeln!(
                text,
                "[classes.{:?}]\nkind = \"plain\"\nresponse_ms = {}\n",
                class.as_str(),
                response_ms.0
            ),
        };
    }
    text
}
