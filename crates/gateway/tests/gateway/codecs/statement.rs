//! Extraction of the data set number from the statement of a SQL statement.

use larchfall_gateway::codec::statement::data_set;

#[test]
fn the_data_set_is_extracted_from_any_spelling_of_the_table_name() {
    let cases: &[(&str, Option<u32>)] = &[
        ("select * from sales_17.orders", Some(17)),
        ("SELECT a FROM Sales_17 . Orders", Some(17)),
        ("select * from \"sales_17\".\"orders\"", Some(17)),
        ("select * from `sales_17`.orders", Some(17)),
        ("insert into a_b_3.t select * from staging.s_9", Some(3)),
        ("select 'it''s sales_1.x', * from sales_2.y", Some(2)),
        ("select \"odd \"\" sales_1.x\" from sales_2.y", Some(2)),
        ("-- from sales_1.x\nselect * from sales_2.y", Some(2)),
        ("/* from sales_1.x /* and sales_4.z */ */ select * from sales_2.y", Some(2)),
        ("select 1 -- from sales_1.x", None),
        ("select * from sales_2.y /* sales_1.x", Some(2)),
        ("select 'sales_1.x", None),
        ("select t_1.id from sales_2.y t_1 where t_1.id > 3", Some(2)),
        ("select t_1.id from sales_2.y as T_1", Some(2)),
        ("select sales_2.y.id from sales_2.y", Some(2)),
        ("select * from warehouse.sales_2.y", Some(2)),
        ("update sales_5.orders set n_1 = 2", Some(5)),
        ("delete from sales_6.orders where a='x'", Some(6)),
        ("select * from sales_7.a join sales_7.b on 1.5 = 1.5", Some(7)),
        ("select * from staging.orders_3", None),
        ("select * from orders", None),
        ("select * from sales_x.orders", None),
        ("select * from sales_99999999999.orders", None),
        ("select * from _4.orders", None),
        ("", None),
    ];
    for (statement, expected) in cases {
        assert_eq!(data_set(statement.as_bytes()), *expected, "{statement}");
    }
}
