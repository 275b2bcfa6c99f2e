//! Checks that each log line that the on-call page quotes exists in the module that the page names.
use std::fs;
use std::path::{Path, PathBuf};

/// Minimum length of a fragment that is looked up; shorter ones are punctuation between two placeholders.
const MIN_FRAGMENT_LENGTH: usize = 3;

fn source_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("src")
}

fn read(path: &Path) -> String {
    fs::read_to_string(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Returns all source files in a folder and its subfolders.
fn source_files(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).expect("a source folder") {
        let path = entry.expect("a folder entry").path();
        if path.is_dir() {
            files.extend(source_files(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
    files
}

/// Returns whether the file may write log lines with this module name. A module is a file, or a folder with all its files.
fn belongs_to(path: &Path, module: &str) -> bool {
    let is_program_target = module == "birchhubd" && read(path).contains("target: \"birchhubd\"");
    let is_main = module == "birchhubd" && path.ends_with("main.rs");
    let is_file = path.file_stem().is_some_and(|stem| stem == module);
    let is_in_folder = path.iter().any(|part| part == module);
    is_program_target || is_main || is_file || is_in_folder
}

/// Returns the text of a module's files, with string literals that span several lines joined as the compiler joins them.
fn source_of(module: Option<&str>) -> String {
    let mut folders = vec![source_folder()];
    if module.is_none_or(|name| name == "logger") {
        folders.push(source_folder().join("../../logging/src"));
    }
    let files = folders.iter().flat_map(|folder| source_files(folder));
    let module_files =
        files.filter(|path| module.is_none_or(|name| name == "logger" || belongs_to(path, name)));
    let text: String = module_files.map(|path| read(&path)).collect();
    let mut joined = String::new();
    for part in text.split("\\\n") {
        joined.push_str(part.trim_start());
    }
    joined
}

/// Returns the log lines that the page quotes: the code spans in the second column of the table.
fn quoted_lines() -> Vec<String> {
    let page = read(&source_folder().join("../../../docs/on-call.md"));
    let (_, section) = page
        .split_once("## Log lines")
        .expect("a section with the log lines");
    let (section, _) = section.split_once("\n## ").expect("a section after it");
    let rows = section.lines().filter(|line| line.starts_with("| "));
    let cells = rows.skip(2).filter_map(|row| row.split(" | ").nth(1));
    cells
        .flat_map(|cell| cell.split('`').skip(1).step_by(2).map(str::to_owned))
        .collect()
}

/// Splits a log line into the module at its start, if any, and the text after it.
fn split_module(line: &str) -> (Option<&str>, &str) {
    let is_module_name = |name: &str| name.chars().all(|c| c.is_ascii_lowercase() || c == '_');
    match line.split_once(": ") {
        Some((module, text)) if is_module_name(module) => (Some(module), text),
        _ => (None, line),
    }
}

/// Returns whether a word stands for a value: a word in capitals, a field with a value, or an ellipsis.
fn is_placeholder(word: &str) -> bool {
    let core = word.trim_matches(|c: char| !c.is_alphanumeric());
    let is_capital = |c: char| c.is_ascii_uppercase() || c.is_ascii_digit();
    let is_value =
        !core.is_empty() && core.chars().all(is_capital) && core != "RPC" && core != "RPCS";
    let is_signal_name = core.chars().all(|c| c.is_ascii_uppercase()) && core.starts_with("SIG");
    let is_field = word.contains('=');
    let is_ellipsis = word.contains('…') || word.contains("...");
    (is_value && !is_signal_name) || is_field || is_ellipsis
}

/// Returns the parts of a quoted line between its placeholders, which the source contains literally.
fn literal_fragments(text: &str) -> Vec<String> {
    let mut fragments = vec![String::new()];
    for word in text.split(' ') {
        if is_placeholder(word) {
            fragments.push(String::new());
            continue;
        }
        let fragment = fragments.last_mut().expect("at least one fragment");
        if !fragment.is_empty() {
            fragment.push(' ');
        }
        fragment.push_str(word);
    }
    fragments.retain(|fragment| fragment.len() >= MIN_FRAGMENT_LENGTH);
    fragments
}

#[test]
fn quoted_log_lines_exist_in_the_module_that_the_page_names() {
    let lines = quoted_lines();
    assert!(lines.len() > 30, "only {} lines were found", lines.len());
    let mut missing = Vec::new();
    for line in &lines {
        let (module, text) = split_module(line);
        let source = source_of(module);
        let fragments = literal_fragments(text);
        assert!(!fragments.is_empty(), "no literal text in: {line}");
        for fragment in fragments {
            if !source.contains(&fragment) {
                missing.push(format!(
                    "{line}: the source does not contain \"{fragment}\""
                ));
            }
        }
    }
    assert!(missing.is_empty(), "{}", missing.join("\n"));
}
