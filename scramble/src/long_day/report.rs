//! Human-readable report of a long day.

use super::invariants::Violation;
use super::record::{DayRecord, Outcome};

/// Interval between two lines on the stores' size, in milliseconds.
const LINE_INTERVAL_MS: u64 = 60_000;
const OUTCOMES: [(Outcome, &str); 5] = [
    (Outcome::Served, "served"),
    (Outcome::Refused, "refused"),
    (Outcome::EndNotAgreed, "end not agreed"),
    (Outcome::Unknown, "told unknown"),
    (Outcome::BudgetSpent, "budget spent"),
];

/// Formats the number of turns by outcome, the fullest store minute by minute, and the violations.
pub fn report(record: &DayRecord, breaches: &[Violation]) -> Vec<String> {
    let mut lines = vec![summary(record)];
    let mut next = record.from;
    for sample in &record.samples {
        if sample.at < next {
            continue;
        }
        next = sample.at + LINE_INTERVAL_MS;
        let served = record.served_share(sample.at, sample.at + LINE_INTERVAL_MS).unwrap_or(0.0);
        lines.push(format!(
            "second {:>4}: {:>9} of {} bytes, {:>6} accounts, {:>6} turns, {served:.3} served in the minute from then on",
            (sample.at - record.from) / 1_000,
            sample.bytes,
            sample.bound,
            sample.accounts,
            sample.turns,
        ));
    }
    lines.extend(breaches.iter().map(|breach| format!("BROKEN {}: {}", breach.invariant, breach.detail)));
    lines
}

fn summary(record: &DayRecord) -> String {
    let counts: Vec<String> =
        OUTCOMES.iter().map(|(outcome, name)| format!("{} {name}", record.count(*outcome))).collect();
    let longest = record.turns.iter().filter(|turn| turn.outcome == Outcome::Refused).map(|turn| turn.admission_ms);
    format!(
        "{} turns: {}; longest until a refusal {} ms; {} went on from another program's turn; {} came again; {} changes",
        record.turns.len(),
        counts.join(", "),
        longest.max().unwrap_or(0),
        record.continued_turns,
        record.returned_programs,
        record.changes_acknowledged,
    )
}
