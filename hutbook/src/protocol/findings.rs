//! Findings about an invalid input, each with its place in the document, all reported together.

use jzon::JsonValue;

#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    pub place: String,
    pub what: String,
}

impl std::fmt::Display for Finding {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}: {}", self.place, self.what)
    }
}

/// Reads JSON values and collects findings.
#[derive(Default)]
pub struct Reader {
    pub findings: Vec<Finding>,
}

/// Returns the place of a key in a document.
pub fn place_of(place: &str, key: &str) -> String {
    if place.is_empty() {
        key.to_string()
    } else {
        format!("{place}.{key}")
    }
}

impl Reader {
    pub fn report(&mut self, place: &str, what: impl Into<String>) {
        self.findings.push(Finding { place: place.to_string(), what: what.into() });
    }

    pub fn parse(&mut self, text: &str) -> Option<JsonValue> {
        match jzon::parse(text) {
            Ok(value) => Some(value),
            Err(error) => {
                self.report("(document)", format!("is not JSON: {error}"));
                None
            }
        }
    }

    /// Checks that a value is an object whose keys are all known.
    pub fn check_keys(&mut self, place: &str, value: &JsonValue, known: &[&str]) -> bool {
        if !value.is_object() {
            self.report(if place.is_empty() { "(document)" } else { place }, "must be an object");
            return false;
        }
        for (key, _) in value.entries() {
            if !known.contains(&key) {
                self.report(&place_of(place, key), format!("is not known; known here: {}", known.join(", ")));
            }
        }
        true
    }

    pub fn text(&mut self, place: &str, value: &JsonValue, key: &str, default: Option<&str>) -> String {
        match (&value[key], default) {
            (JsonValue::Null, Some(default_text)) => return default_text.to_string(),
            (JsonValue::Null, None) => self.report(&place_of(place, key), "is missing"),
            (field, _) => match field.as_str() {
                Some(text) if !text.is_empty() => return text.to_string(),
                _ => self.report(&place_of(place, key), "must be a text that is not empty"),
            },
        }
        String::new()
    }

    pub fn number(
        &mut self,
        place: &str,
        value: &JsonValue,
        key: &str,
        default: Option<f64>,
        min: f64,
        max: f64,
    ) -> f64 {
        match (&value[key], default) {
            (JsonValue::Null, Some(default_value)) => return default_value,
            (JsonValue::Null, None) => self.report(&place_of(place, key), "is missing"),
            (field, _) => match field.as_f64() {
                Some(number) if (min..=max).contains(&number) => return number,
                _ => self.report(&place_of(place, key), format!("must be a number from {min} to {max}")),
            },
        }
        min
    }

    pub fn integer(
        &mut self,
        place: &str,
        value: &JsonValue,
        key: &str,
        default: Option<u64>,
        min: u64,
        max: u64,
    ) -> u64 {
        match (&value[key], default) {
            (JsonValue::Null, Some(default_value)) => return default_value,
            (JsonValue::Null, None) => self.report(&place_of(place, key), "is missing"),
            (field, _) => match field.as_u64() {
                Some(number) if (min..=max).contains(&number) && field.is_number() => return number,
                _ => self.report(&place_of(place, key), format!("must be a whole number from {min} to {max}")),
            },
        }
        min
    }

    pub fn boolean(&mut self, place: &str, value: &JsonValue, key: &str, default: bool) -> bool {
        match &value[key] {
            JsonValue::Null => default,
            field => field.as_bool().unwrap_or_else(|| {
                self.report(&place_of(place, key), "must be true or false");
                default
            }),
        }
    }
}

/// Returns whether a text is a valid name of a program, key, route, zone and so on.
pub fn is_name(text: &str) -> bool {
    let is_allowed = |character: char| character.is_ascii_alphanumeric() || "-_.:".contains(character);
    !text.is_empty() && text.len() <= 128 && text.chars().all(is_allowed)
}
