//! Formats rows of text as a table with aligned columns and no borders.

pub(super) fn format_table(column_titles: &[&str], rows: Vec<Vec<String>>) -> String {
    let mut table = comfy_table::Table::new();
    table.load_preset(comfy_table::presets::NOTHING).set_header(column_titles);
    table.add_rows(rows);
    table.to_string()
}
