//! `larchfall check`: validates both files. An error is printed by the caller.

use super::arguments::FilePaths;
use super::files::FilesError;

pub(super) fn run(paths: FilePaths) -> Result<(), FilesError> {
    let files = paths.load()?;
    println!("{}: sound", files.config_path);
    if let Some(file) = files.operator_config {
        println!("{}: sound", file.path);
    }
    Ok(())
}
