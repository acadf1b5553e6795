//! Reads structured lines from logs, as the daemons wrote them or as a log collector forwarded them.

use jzon::object::Object;
use jzon::JsonValue;

/// One structured line of a log.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Wall clock of the writer, in milliseconds.
    pub at_ms: u64,
    /// Process that wrote the line: the prefix that a collector added, or else the log's name.
    pub source: String,
    pub program: String,
    pub event: String,
    pub fields: Object,
}

impl Record {
    /// Returns a field that holds an integer.
    pub fn number(&self, field: &str) -> Option<u64> {
        self.fields.get(field)?.as_u64()
    }

    /// Returns a field that holds a string.
    pub fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }
}

/// Returns the structured lines of one log. Others are skipped, because a log also contains plain text.
pub fn read_records(log_name: &str, text: &str) -> Vec<Record> {
    text.lines().filter_map(|line| read_record(log_name, line)).collect()
}

fn read_record(log_name: &str, line: &str) -> Option<Record> {
    let begin = line.find('{')?;
    let mut json = jzon::parse(line[begin..].trim()).ok()?;
    let at_ms = json["at_ms"].as_u64()?;
    let program = json["program"].as_str()?.to_string();
    let event = json["text"].as_str()?.to_string();
    let JsonValue::Object(fields) = json["fields"].take() else { return None };
    let source = source(&line[..begin]).unwrap_or(log_name).to_string();
    Some(Record { at_ms, source, program, event, fields })
}

/// Returns the last word of the prefix that is not a timestamp.
fn source(before: &str) -> Option<&str> {
    let is_name = |word: &&str| word.starts_with(|c: char| c.is_alphabetic());
    before.split(|c: char| c.is_whitespace() || "[]|".contains(c)).map(|word| word.trim_end_matches(':')).rfind(is_name)
}
