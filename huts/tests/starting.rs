//! Start-up of the programs: help, version, and invalid settings.

use rstest::rstest;
use std::process::{Command, Output};

fn run(program: &str, words: &str) -> Output {
    let p = match program {
        "refuge" => env!("CARGO_BIN_EXE_refuge"),
        "bothy" => env!("CARGO_BIN_EXE_bothy"),
        "trailhead" => env!("CARGO_BIN_EXE_trailhead"),
        "waymark" => env!("CARGO_BIN_EXE_waymark"),
        _ => env!("CARGO_BIN_EXE_cairn"),
    };
    Command::new(p).args(words.split_whitespace()).output().expect("it starts")
}

#[rstest]
fn each_says_what_it_is(#[values("refuge", "bothy", "trailhead", "waymark", "cairn")] program: &str) {
    // given any program, when it is asked for help or its version, then it prints it and exits with 0
    let h = run(program, "--help");
    assert!(h.status.success() && String::from_utf8_lossy(&h.stdout).contains("Usage"));
    let v = run(program, "--version");
    assert!(v.status.success() && String::from_utf8_lossy(&v.stdout).starts_with(program));
    // and an unknown flag makes it exit with 2
    assert_eq!(run(program, "--sing").status.code(), Some(2));
}

#[rstest]
#[case("refuge", "--wire 127.0.0.1:0 --http x --cell a --data /nowhere/at/all", &["wire", "http", "seeds"])]
#[case("bothy", "--wire 127.0.0.1:4 --http 127.0.0.1:4 --cell a --seed 10.0.0.1", &["http", "data", "seeds[0]"])]
#[case("trailhead", "--wire 0.0.0.0:4 --http 127.0.0.1:5 --log loud stray", &["flags", "wire", "cell", "log", "seeds"])]
fn wrong_settings_are_all_told_before_anything_is_opened(
    #[case] program: &str,
    #[case] words: &str,
    #[case] places: &[&str],
) {
    // given settings with several errors, when it starts
    let o = run(program, words);
    let err = String::from_utf8_lossy(&o.stderr);
    // then it exits with 2, every error is on stderr with its place, and no folder was created
    assert_eq!(o.status.code(), Some(2), "{err}");
    places.iter().for_each(|p| assert!(err.contains(&format!(": {p}: ")), "{p} not in {err}"));
    assert!(!std::path::Path::new("/nowhere").exists());
}

#[test]
fn a_settings_file_is_read_and_its_unknown_keys_are_found() {
    // given a settings file with an unknown key
    let f = std::env::temp_dir().join(format!("corkdrum-settings-{}.json", std::process::id()));
    let good = r#"{"wire":"127.0.0.1:7101","http":"127.0.0.1:7102","cell":"ben","seeds":["127.0.0.1:7001"]"#;
    std::fs::write(&f, format!("{good},\"colour\":1}}")).unwrap();
    let o = run("trailhead", &format!("--settings {} --check", f.display()));
    assert_eq!(o.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&o.stderr).contains("colour"));
    // given it without that key, then it is valid
    std::fs::write(&f, format!("{good}}}")).unwrap();
    assert!(run("trailhead", &format!("--settings {} --check", f.display())).status.success());
    std::fs::remove_file(&f).unwrap();
}

#[test]
fn a_foreign_folder_is_refused() {
    // given a folder that contains something else
    let d = std::env::temp_dir().join(format!("corkdrum-folder-{}", std::process::id()));
    std::fs::create_dir_all(&d).unwrap();
    std::fs::write(d.join("thesis.txt"), "mine").unwrap();
    // when a store is started on it, then it exits with 3 and prints what to do
    let words =
        format!("--wire 127.0.0.1:7201 --http 127.0.0.1:7202 --cell a --seed 127.0.0.1:7001 --data {}", d.display());
    let o = run("bothy", &words);
    assert_eq!(o.status.code(), Some(3));
    assert!(String::from_utf8_lossy(&o.stderr).contains("empty folder"));
    std::fs::remove_dir_all(&d).unwrap();
}

#[test]
fn a_configuration_is_checked_without_a_fleet() {
    // given the example configurations and a broken one
    for f in ["glenmorven", "tianguis"] {
        assert!(run("waymark", &format!("config check ../examples/{f}.json")).status.success());
    }
    let o = run("waymark", "config check Cargo.toml");
    assert_eq!(o.status.code(), Some(1));
    // when no refuge can be reached, then the exit code shows it
    assert_eq!(run("waymark", "--core 127.0.0.1:1 status").status.code(), Some(3));
    assert_eq!(run("cairn", "127.0.0.1:1 127.0.0.1:1").status.code(), Some(3));
}

#[rstest]
#[case(
    "refuge",
    "--data /nowhere/at/all",
    40,
    "process 14.0 + state 8.8 + snapshot 4.0 + log 5.6 + disk cache 1.6 + texts 1.6 + api 6.0 = 41.6 MB of 40 MB; the least is 56 MB"
)]
#[case("bothy", "--data /nowhere/at/all", 55, " MB of 55 MB; the least is 56 MB")]
#[case("trailhead", "", 20, "the least is 40 MB")]
fn a_machine_too_small_for_the_fixed_parts_is_told_the_sum_before_anything_is_opened(
    #[case] program: &str,
    #[case] words: &str,
    #[case] memory_mb: u64,
    #[case] sum: &str,
) {
    // given settings that are valid except for the machine's memory, when it starts
    let place = "--wire 127.0.0.1:7301 --http 127.0.0.1:7302 --cell a --seed 127.0.0.1:7001";
    let o = run(program, &format!("{place} {words} --memory-mb {memory_mb}"));
    let err = String::from_utf8_lossy(&o.stderr);
    // then it exits with 2 and prints the parts, their sum and the minimum
    assert_eq!(o.status.code(), Some(2), "{err}");
    assert!(err.contains(": memory-mb: is too little for the fixed parts: process 14.0 + "), "{err}");
    assert!(err.contains(sum), "{sum} not in {err}");
    assert!(!std::path::Path::new("/nowhere").exists());
    // and a check of sufficient settings prints the parts of the sum
    let o = run(program, &format!("{place} {words} --memory-mb 58 --check"));
    let out = String::from_utf8_lossy(&o.stdout);
    assert!(o.status.success() && out.contains("memory: process 14.0 + ") && out.contains(" MB of 58 MB"), "{out}");
}
