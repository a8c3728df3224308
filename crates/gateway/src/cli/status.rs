//! `larchfall members`, `leases`, `quotas` and `engines`: prints a status table of a running gateway.

use super::CommandError;
use super::arguments::FilePaths;
use super::table::format_table;
use crate::cluster::status_query::{self, Topic};

pub(super) fn run(topic: Topic, paths: FilePaths) -> Result<(), CommandError> {
    let files = paths.load()?;
    let membership = files.operator_config.and_then(|file| file.config.membership);
    let membership = membership.ok_or(CommandError::NoClusterAddress)?;
    let rows = status_query::fetch_rows(membership.listen, &membership.settings.cluster, topic)
        .map_err(CommandError::Status)?;
    println!("{}", format_table(column_titles(topic), rows));
    Ok(())
}

/// The column titles of a status table. Operators' scripts match them, so they must not change.
fn column_titles(topic: Topic) -> &'static [&'static str] {
    match topic {
        Topic::Members => &["front", "standing", "generation", "address", "zone", "since s", "heard s ago"],
        Topic::Leases => &["duty", "holder", "token", "left ms", "last ended here"],
        Topic::Quotas => &["what", "part", "by", "kept here: fronts", "in use", "jain", "factor"],
        Topic::Engines => &[
            "engine",
            "listed",
            "is",
            "in reach",
            "load",
            "answered",
            "failed",
            "others",
            "answered",
            "failed",
            "heard s ago",
            "turn",
        ],
    }
}
