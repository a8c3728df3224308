//! The settings of a small deployment like `cardiff-scores`, as the wire page words them.

/// Times in microseconds. One front, one data hall, engines of two kinds.
pub const CARDIFF: &str = r#"{"az":0,"instances":1,"me":0,"tier":0,"tiers":["query-engines"],"period":5000,
"discovery":"automatic","domain_type":"queries","value_by":"request","weights":"rough","over_share_worth":0.1,
"models":["eight-core","sixteen-core"],"zones":["newport-hall"],"clients":{"marks_retry":true},
"caps":{"cancel":true,"connect_timeout":250000,"cpu_us_per_request":0.0,"cpu_us_per_s":500000,"idle_close":15000000,
 "max_attempts":3,"max_retry_after":500000,"open_cap":20000,"peers":false,"probes":true,"retry_after":true,
 "second_copies":true,"streams_per_conn":32},
"classes":[
 {"name":"score-lookup","effect":"read_like","aim":1000000,"aim_stretch":2.0,"hard_limit":5000000,"late_value":0.1,
  "worth":1.0,"stream":false,"key_scope":"all","dedup_window":5000000},
 {"name":"season-report","effect":"read_like","aim":2000000,"aim_stretch":2.5,"hard_limit":20000000,"late_value":0.4,
  "worth":12.0,"stream":false,"key_scope":"all","dedup_window":5000000,"models_open":[0]},
 {"name":"feed-load","effect":"idempotency_key","aim":3000000,"aim_stretch":2.5,"hard_limit":20000000,"late_value":0.6,
  "worth":12.0,"stream":false,"key_scope":"all","dedup_window":12000000,"keep_order":true}],
"domain":{"blocked_by_loads":[true,false,false],"cost_in_answers":false,"grants":true,"largest_share":0.4,
 "note_period":1000000,"out_of_memory":"trim","ranks_heeded":true,"size_cores":[8,16],"size_mb":[16384.0,32768.0],
 "threads_by_class":[1,4,2],"writes_tables":[false,false,true]},
"goal":{"whole":0.55,"worst_class":0.2,"worst_tenant":0.1,"worst_window":0.15},
"parties":[{"name":"valley-broadcast","allowance_per_s":60.0,"share":0.82},
 {"name":"dragon-odds","allowance_per_s":13.0,"share":0.18}],
"prices":{"connection":0.0,"cross_zone":0.0,"discovery":0.0,"handshake":0.0,"late_fail":0.05,"moves":0.0,"origin":0.0,
 "peer":0.0,"probe":0.011,"waste":0.05},
"safety":{"budget_free":2.0,"cold_from":0.32,"drain_grace":2000000,"extra_per_request":0.1,"extra_window":10000000,
 "fall":2000000,"fall_multiple":3.0,"grace_to_answer":20000,"key_quiet":0,"must_ask_in":10000000,"ramp_time":14000000},
"stats":{"fields":["concurrent","load_share"],"how":"answers"}}"#;
