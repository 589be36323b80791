//! Known PostgreSQL functions and system relations: which of them may run on any instance, need the
//! primary, or depend on the connection. A function that is not listed may have any effect.

use sqlparser::ast::{Ident, ObjectName, ObjectNamePart};

use crate::session_state::Unsupported;

/// The effect of calling a function.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FunctionKind {
    /// Changes nothing and returns the same on every instance that has applied the same log.
    Safe,
    /// Needs the primary, but leaves no state on the connection.
    Primary,
    /// `set_config`, whose effect depends on its third argument.
    SetConfig,
    /// Refers to an earlier statement on the same connection, so it needs a transaction.
    OnlyInTransaction(Unsupported),
    /// Not supported.
    Refused(Unsupported),
    /// May have any effect.
    Unknown,
}

const SYSTEM_SCHEMA: &str = "pg_catalog";

/// Sorted for binary search.
const SAFE: &[&str] = &[
    "abs",
    "age",
    "any_value",
    "array",
    "array_agg",
    "array_append",
    "array_cat",
    "array_length",
    "array_position",
    "array_prepend",
    "array_remove",
    "array_to_json",
    "array_to_string",
    "ascii",
    "avg",
    "bit_and",
    "bit_length",
    "bit_or",
    "bool_and",
    "bool_or",
    "btrim",
    "cardinality",
    "ceil",
    "ceiling",
    "char_length",
    "character_length",
    "chr",
    "coalesce",
    "concat",
    "concat_ws",
    "count",
    "cume_dist",
    "current_catalog",
    "current_database",
    "current_date",
    "current_schema",
    "current_time",
    "current_timestamp",
    "date_bin",
    "date_part",
    "date_trunc",
    "decode",
    "degrees",
    "dense_rank",
    "div",
    "encode",
    "every",
    "exp",
    "extract",
    "first_value",
    "floor",
    "format",
    "format_type",
    "generate_series",
    "greatest",
    "initcap",
    "isfinite",
    "json_agg",
    "json_array_elements",
    "json_array_length",
    "json_build_array",
    "json_build_object",
    "json_each",
    "json_object_agg",
    "jsonb_agg",
    "jsonb_array_elements",
    "jsonb_array_length",
    "jsonb_build_array",
    "jsonb_build_object",
    "jsonb_each",
    "jsonb_object_agg",
    "lag",
    "last_value",
    "lead",
    "least",
    "left",
    "length",
    "ln",
    "localtime",
    "localtimestamp",
    "log",
    "lower",
    "lpad",
    "ltrim",
    "make_date",
    "make_interval",
    "make_timestamp",
    "max",
    "md5",
    "min",
    "mod",
    "now",
    "nth_value",
    "ntile",
    "nullif",
    "octet_length",
    "overlay",
    "percent_rank",
    "percentile_cont",
    "percentile_disc",
    "phraseto_tsquery",
    "pi",
    "plainto_tsquery",
    "position",
    "power",
    "quote_ident",
    "quote_literal",
    "radians",
    "rank",
    "regexp_match",
    "regexp_matches",
    "regexp_replace",
    "repeat",
    "replace",
    "reverse",
    "right",
    "round",
    "row",
    "row_number",
    "row_to_json",
    "rpad",
    "rtrim",
    "sign",
    "split_part",
    "sqrt",
    "starts_with",
    "stddev",
    "stddev_pop",
    "stddev_samp",
    "string_agg",
    "string_to_array",
    "strpos",
    "substr",
    "substring",
    "sum",
    "to_char",
    "to_date",
    "to_hex",
    "to_json",
    "to_jsonb",
    "to_number",
    "to_timestamp",
    "to_tsquery",
    "to_tsvector",
    "translate",
    "trim",
    "trunc",
    "ts_rank",
    "unnest",
    "upper",
    "var_pop",
    "var_samp",
    "variance",
    "width_bucket",
];

/// Sorted for binary search.
const PRIMARY: &[&str] = &[
    "clock_timestamp",
    "current_role",
    "current_setting",
    "current_user",
    "gen_random_uuid",
    "nextval",
    "pg_advisory_xact_lock",
    "pg_advisory_xact_lock_shared",
    "pg_backend_pid",
    "pg_current_wal_flush_lsn",
    "pg_current_wal_insert_lsn",
    "pg_current_wal_lsn",
    "pg_is_in_recovery",
    "pg_last_wal_receive_lsn",
    "pg_last_wal_replay_lsn",
    "pg_notify",
    "pg_sleep",
    "pg_try_advisory_xact_lock",
    "pg_try_advisory_xact_lock_shared",
    "pg_walfile_name",
    "random",
    "session_user",
    "setval",
    "statement_timestamp",
    "timeofday",
    "transaction_timestamp",
    "txid_current",
    "txid_status",
    "user",
    "uuid_generate_v4",
    "version",
];

/// Sorted for binary search.
const SESSION_LOCKS: &[&str] = &[
    "pg_advisory_lock",
    "pg_advisory_lock_shared",
    "pg_advisory_unlock",
    "pg_advisory_unlock_all",
    "pg_advisory_unlock_shared",
    "pg_try_advisory_lock",
    "pg_try_advisory_lock_shared",
];

/// System tables whose content is replicated through the log. Other relations named `pg_...`
/// describe a single instance. Sorted for binary search.
const REPLICATED_RELATIONS: &[&str] = &[
    "pg_attrdef",
    "pg_attribute",
    "pg_class",
    "pg_collation",
    "pg_constraint",
    "pg_database",
    "pg_description",
    "pg_enum",
    "pg_index",
    "pg_indexes",
    "pg_inherits",
    "pg_namespace",
    "pg_operator",
    "pg_proc",
    "pg_range",
    "pg_roles",
    "pg_tables",
    "pg_trigger",
    "pg_type",
    "pg_views",
];

/// Settings whose value is the same on every instance unless the session changes it. Sorted for
/// binary search.
const COMMON_SETTINGS: &[&str] = &[
    "application_name",
    "client_encoding",
    "datestyle",
    "extra_float_digits",
    "integer_datetimes",
    "intervalstyle",
    "search_path",
    "server_encoding",
    "server_version",
    "server_version_num",
    "standard_conforming_strings",
    "statement_timeout",
    "timezone",
];

fn contains(sorted: &[&str], name: &str) -> bool {
    sorted.binary_search(&name).is_ok()
}

/// Folds an identifier to lower case unless it is quoted, as PostgreSQL does.
pub fn normalized_identifier(identifier: &Ident) -> String {
    match identifier.quote_style {
        Some(_) => identifier.value.clone(),
        None => identifier.value.to_lowercase(),
    }
}

/// The last part of a name that is unqualified or qualified by the system schema.
fn system_name(name: &ObjectName) -> Option<String> {
    let identifier = |part: &ObjectNamePart| part.as_ident().map(normalized_identifier);
    match name.0.as_slice() {
        [last] => identifier(last),
        [schema, last] if identifier(schema)? == SYSTEM_SCHEMA => identifier(last),
        _ => None,
    }
}

/// The effect of calling `name`.
pub fn function_kind(name: &ObjectName) -> FunctionKind {
    let Some(name) = system_name(name) else { return FunctionKind::Unknown };
    match name.as_str() {
        "set_config" => FunctionKind::SetConfig,
        "currval" | "lastval" => FunctionKind::OnlyInTransaction(Unsupported::SequenceValue),
        name if contains(SAFE, name) => FunctionKind::Safe,
        name if contains(PRIMARY, name) => FunctionKind::Primary,
        name if contains(SESSION_LOCKS, name) => FunctionKind::Refused(Unsupported::AdvisoryLock),
        _ => FunctionKind::Unknown,
    }
}

/// Whether a read of the relation returns the same on every instance that has applied the same log.
pub fn is_replicated(name: &ObjectName) -> bool {
    let last = name.0.last().and_then(ObjectNamePart::as_ident).map(normalized_identifier);
    last.is_some_and(|last| !last.starts_with("pg_") || contains(REPLICATED_RELATIONS, &last))
}

/// Whether the setting's value is the same on every instance unless the session changes it.
pub fn is_common_setting(name: &str) -> bool {
    contains(COMMON_SETTINGS, name)
}
