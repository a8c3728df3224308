//! Rows of text as a table.

pub(super) fn format_table(header: &[&str], rows: Vec<Vec<String>>) -> String {
    let mut table = comfy_table::Table::new();
    table.load_preset(comfy_table::presets::NOTHING).set_header(header);
    table.add_rows(rows);
    table.to_string()
}
