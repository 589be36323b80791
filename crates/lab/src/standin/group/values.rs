//! PostgreSQL data types and their text and binary formats.
//!
//! Tables store values in PostgreSQL's text format; the binary format is used on the wire only.

use bytes::{BufMut, BytesMut};
use sqlparser::ast::DataType;

use super::evaluate::SqlError;
use super::tables::Value;

/// OID of type `boolean`.
pub const BOOLEAN: u32 = 16;
/// OID of type `bigint`.
pub const BIGINT: u32 = 20;
/// OID of type `integer`.
pub const INTEGER: u32 = 23;
/// OID of type `text`.
pub const TEXT: u32 = 25;
/// OID of type `double precision`.
pub const DOUBLE: u32 = 701;
/// OID of type `unknown`: a literal whose type depends on its context.
pub const UNKNOWN: u32 = 705;
/// OID of type `timestamp with time zone`.
pub const TIMESTAMP: u32 = 1184;
/// OID of type `void`.
pub const VOID: u32 = 2278;

/// Format code of the binary format; every other code means text.
pub const BINARY_FORMAT: i16 = 1;

const MICROSECONDS_PER_SECOND: i64 = 1_000_000;
const SECONDS_PER_DAY: i64 = 86_400;
/// Days from 0000-03-01 to 2000-01-01 in the proleptic Gregorian calendar.
const POSTGRES_EPOCH_DAY: i64 = 730_425;
const DAYS_PER_ERA: i64 = 146_097;
const YEARS_PER_ERA: i64 = 400;

/// OID of a declared type.
pub fn type_oid(declared: &DataType) -> u32 {
    match declared {
        DataType::BigInt(_) | DataType::Int8(_) => BIGINT,
        DataType::Int(_) | DataType::Integer(_) | DataType::Int4(_) | DataType::SmallInt(_) => {
            INTEGER
        }
        DataType::Boolean | DataType::Bool => BOOLEAN,
        DataType::Timestamp(..) => TIMESTAMP,
        DataType::Double(_) | DataType::DoublePrecision | DataType::Float8 => DOUBLE,
        _ => TEXT,
    }
}

/// Size in bytes of a value of the type, or -1 if it varies.
pub fn type_size(type_id: u32) -> i16 {
    match type_id {
        BOOLEAN => 1,
        INTEGER | VOID => 4,
        BIGINT | DOUBLE | TIMESTAMP => 8,
        _ => -1,
    }
}

/// Validates a value for a column of the given type and converts it to its stored form.
pub fn coerce(value: Value, type_id: u32) -> Result<Value, SqlError> {
    let Some(text) = value else { return Ok(None) };
    let invalid = |name: &str| {
        SqlError::new("22P02", format!("invalid input syntax for type {name}: {text:?}"))
    };
    match type_id {
        BIGINT => text.parse::<i64>().map(|_| ()).map_err(|_| invalid("bigint"))?,
        INTEGER => text.parse::<i32>().map(|_| ()).map_err(|_| invalid("integer"))?,
        BOOLEAN => match text.to_ascii_lowercase().as_str() {
            "t" | "true" | "on" | "yes" | "1" => return Ok(Some("t".into())),
            "f" | "false" | "off" | "no" | "0" => return Ok(Some("f".into())),
            _ => return Err(invalid("boolean")),
        },
        TIMESTAMP => {
            let micros = timestamp_micros(&text).ok_or_else(|| invalid("timestamptz"))?;
            return Ok(Some(timestamp_text(micros)));
        }
        _ => {}
    }
    Ok(Some(text))
}

/// Decodes a bind parameter from its wire format.
pub fn decode_parameter(bytes: &[u8], type_id: u32, format: i16) -> Result<Value, SqlError> {
    let malformed = || SqlError::new("22P03", "incorrect binary data format in bind parameter");
    if format != BINARY_FORMAT {
        let text = std::str::from_utf8(bytes)
            .map_err(|_| SqlError::new("22021", "parameter is not valid UTF-8"))?;
        return coerce(Some(text.to_owned()), type_id);
    }
    let text = match type_id {
        BOOLEAN => match bytes {
            [0] => "f".to_owned(),
            [1] => "t".to_owned(),
            _ => return Err(malformed()),
        },
        INTEGER => i32::from_be_bytes(bytes.try_into().map_err(|_| malformed())?).to_string(),
        BIGINT => i64::from_be_bytes(bytes.try_into().map_err(|_| malformed())?).to_string(),
        DOUBLE => f64::from_be_bytes(bytes.try_into().map_err(|_| malformed())?).to_string(),
        TIMESTAMP => timestamp_text(i64::from_be_bytes(bytes.try_into().map_err(|_| malformed())?)),
        _ => String::from_utf8(bytes.to_vec()).map_err(|_| malformed())?,
    };
    Ok(Some(text))
}

/// Appends a value with its length prefix, as in a DataRow message.
pub fn encode_value(value: &Value, type_id: u32, format: i16, output: &mut BytesMut) {
    let Some(text) = value else { return output.put_i32(-1) };
    if format != BINARY_FORMAT {
        return put_bytes(text.as_bytes(), output);
    }
    match type_id {
        BOOLEAN => put_bytes(&[u8::from(text == "t")], output),
        INTEGER => put_bytes(&text.parse::<i32>().unwrap_or(0).to_be_bytes(), output),
        BIGINT => put_bytes(&text.parse::<i64>().unwrap_or(0).to_be_bytes(), output),
        DOUBLE => put_bytes(&text.parse::<f64>().unwrap_or(0.0).to_be_bytes(), output),
        TIMESTAMP => {
            put_bytes(&timestamp_micros(text).unwrap_or(0).to_be_bytes(), output);
        }
        _ => put_bytes(text.as_bytes(), output),
    }
}

fn put_bytes(bytes: &[u8], output: &mut BytesMut) {
    output.put_i32(bytes.len() as i32);
    output.put_slice(bytes);
}

/// Formats a timestamp given in microseconds since PostgreSQL's epoch, 2000-01-01 UTC.
pub fn timestamp_text(micros: i64) -> String {
    let seconds = micros.div_euclid(MICROSECONDS_PER_SECOND);
    let fraction = micros.rem_euclid(MICROSECONDS_PER_SECOND);
    let day = seconds.div_euclid(SECONDS_PER_DAY) + POSTGRES_EPOCH_DAY;
    let second = seconds.rem_euclid(SECONDS_PER_DAY);
    let era = day.div_euclid(DAYS_PER_ERA);
    let of_era = day.rem_euclid(DAYS_PER_ERA);
    let year_of_era = (of_era - of_era / 1460 + of_era / 36_524 - of_era / 146_096) / 365;
    let of_year = of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let shifted_month = (5 * of_year + 2) / 153;
    let day_of_month = of_year - (153 * shifted_month + 2) / 5 + 1;
    let month = if shifted_month < 10 { shifted_month + 3 } else { shifted_month - 9 };
    let year = year_of_era + era * YEARS_PER_ERA + i64::from(month <= 2);
    format!(
        "{year:04}-{month:02}-{day_of_month:02} {:02}:{:02}:{:02}.{fraction:06}+00",
        second / 3600,
        second / 60 % 60,
        second % 60,
    )
}

/// Microseconds since 2000-01-01 UTC of a moment in PostgreSQL's text format.
pub fn timestamp_micros(text: &str) -> Option<i64> {
    let (date, time) = text.split_once([' ', 'T'])?;
    let mut date = date.splitn(3, '-').map(|part| part.parse::<i64>().ok());
    let (year, month, day) = (date.next()??, date.next()??, date.next()??);
    let time = time.strip_suffix("+00").or_else(|| time.strip_suffix('Z')).unwrap_or(time);
    let mut parts = time.splitn(3, ':');
    let hour: i64 = parts.next()?.parse().ok()?;
    let minute: i64 = parts.next()?.parse().ok()?;
    let (second, fraction) = seconds_and_fraction(parts.next().unwrap_or("0"))?;
    let shifted_year = year - i64::from(month <= 2);
    let era = shifted_year.div_euclid(YEARS_PER_ERA);
    let year_of_era = shifted_year.rem_euclid(YEARS_PER_ERA);
    let shifted_month = if month > 2 { month - 3 } else { month + 9 };
    let of_year = (153 * shifted_month + 2) / 5 + day - 1;
    let of_era = year_of_era * 365 + year_of_era / 4 - year_of_era / 100 + of_year;
    let days = era * DAYS_PER_ERA + of_era - POSTGRES_EPOCH_DAY;
    let seconds = days * SECONDS_PER_DAY + hour * 3600 + minute * 60 + second;
    Some(seconds * MICROSECONDS_PER_SECOND + fraction)
}

fn seconds_and_fraction(text: &str) -> Option<(i64, i64)> {
    let (whole, fraction) = text.split_once('.').unwrap_or((text, ""));
    let digits: String = fraction.chars().chain("000000".chars()).take(6).collect();
    Some((whole.parse().ok()?, digits.parse().ok()?))
}
