//! Logs as JSON lines on stderr.

use crate::constants::DISK_LOG_INTERVAL_MS;
use jzon::object::Object;
use log::kv::{Error, Key, Value, VisitSource};
use log::{Level, Record};
use std::io::Write;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

pub fn start(program: &'static str, level: &str) {
    let mut builder = env_logger::Builder::new();
    builder.filter_level(log::LevelFilter::Warn);
    builder.filter_module("hutbook", level.parse().unwrap_or(log::LevelFilter::Info));
    builder.filter_module("huts", level.parse().unwrap_or(log::LevelFilter::Info));
    builder.filter_module(program, level.parse().unwrap_or(log::LevelFilter::Info));
    builder.format(move |formatter, record| {
        let at_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
        let mut line = jzon::object! {
            at_ms: at_ms, level: record.level().as_str().to_lowercase(), program: program,
            from: record.module_path().unwrap_or(""), text: record.args().to_string(),
        };
        let mut fields = JsonFields(Object::new());
        // this visitor never returns an error
        let _ = record.key_values().visit(&mut fields);
        if !fields.0.is_empty() {
            line["fields"] = jzon::JsonValue::Object(fields.0);
        }
        writeln!(formatter, "{}", line.dump())
    });
    // a second start in the same process keeps the first one's settings
    let _ = builder.try_init();
}

/// One field of a structured log line: its name, and a number or a text.
pub type Field<'a> = (&'static str, Value<'a>);

/// Logs a structured line: its text is the event's name, and `fields` holds the machine-readable values.
pub fn event(level: Level, name: &'static str, fields: &[Field]) {
    if !log::log_enabled!(level) {
        return;
    }
    let mut record = Record::builder();
    record.level(level).target(module_path!()).module_path_static(Some(module_path!())).key_values(&fields);
    log::logger().log(&record.args(format_args!("{name}")).build());
}

/// Collects a record's fields as JSON.
struct JsonFields(Object);

impl<'kvs> VisitSource<'kvs> for JsonFields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = match value.to_u64() {
            Some(number) => number.into(),
            None => value.to_string().into(),
        };
        self.0.insert(key.as_str(), json);
        Ok(())
    }
}

/// Rate limiter for the log line of a persisting condition; stores when it was last logged.
#[derive(Default)]
pub struct LogThrottle(Option<Instant>);

impl LogThrottle {
    /// Returns whether the condition is due to be logged again, and records that it was.
    pub fn is_due(&mut self) -> bool {
        let due = self.0.is_none_or(|t| t.elapsed().as_millis() as u64 >= DISK_LOG_INTERVAL_MS);
        if due {
            self.0 = Some(Instant::now());
        }
        due
    }
}
