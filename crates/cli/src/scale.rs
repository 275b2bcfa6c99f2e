//! `birchhub scale`: measures the cost of size and generates the tables of the capacity page.
use crate::{CommandError, print};
use birchhub_capacity::{Options, Plan, Report, measure, page};
use clap::{Args, Subcommand};
use std::path::{Path, PathBuf};

/// Measure what a fleet of the planned size costs, on this machine's loopback
#[derive(Args)]
pub(crate) struct Arguments {
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Subcommand)]
enum Verb {
    Run(Run),
    Page(Page),
}

/// Measure the slopes and write them as JSON
///
/// Starts real birchhubd in front of stub backends, and simulated proxies at a discovery service, one size after another, and
/// fits a line through the points of each series. Takes minutes, one to three cores and up to a few GB; with --quick seconds.
#[derive(Args)]
struct Run {
    /// Seed of the order of the sizes and of all random numbers
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Small sizes for a few seconds: shows that all parts work, but says nothing about the planned size
    #[arg(long)]
    quick: bool,
    /// The proxies' program; by default birchhubd beside this one
    #[arg(long, value_name = "PATH")]
    proxies: Option<PathBuf>,
    /// File for the result
    #[arg(long, value_name = "FILE", default_value = "scale.json")]
    out: PathBuf,
    /// Folder for the proxies' configurations and logs
    #[arg(long, value_name = "DIR", default_value = "scale")]
    folder: PathBuf,
    /// No progress lines
    #[arg(long)]
    quiet: bool,
}

/// Regenerate the tables of a page from a result
///
/// Each table is between <!-- scale: NAME --> and <!-- end of NAME -->; the rest of the page is not changed.
#[derive(Args)]
struct Page {
    /// The file that `birchhub scale run` has written
    result: PathBuf,
    /// The page
    #[arg(long, value_name = "FILE", default_value = "docs/CAPACITY.md")]
    page: PathBuf,
    /// Write nothing; exit with 1 if the page's tables are not those of the result
    #[arg(long)]
    check: bool,
}

pub(crate) fn run(arguments: Arguments) -> Result<u8, CommandError> {
    match arguments.verb {
        Verb::Run(run) => measure_slopes(run),
        Verb::Page(page) => renew_page(&page),
    }
}

fn measure_slopes(arguments: Run) -> Result<u8, CommandError> {
    let Run {
        seed,
        quick,
        proxies,
        out,
        folder,
        quiet,
    } = arguments;
    let program = crate::proxy_program(proxies)?;
    // Checked first, because the measurement takes minutes.
    if !is_writable_place(&out) {
        return Err(CommandError::Input(format!(
            "{}: no file can be written there",
            out.display()
        )));
    }
    let plan = if quick {
        Plan::quick(seed)
    } else {
        Plan::long(seed)
    };
    let report = measure(
        &plan,
        &Options {
            program,
            folder,
            progress: !quiet,
        },
    )
    .map_err(CommandError::failed)?;
    report.write(&out).map_err(CommandError::failed)?;
    print(&format!(
        "{}: {} series in {:.0} s\n",
        out.display(),
        report.series.len(),
        report.duration_seconds
    ));
    Ok(0)
}

fn renew_page(arguments: &Page) -> Result<u8, CommandError> {
    let Page {
        result,
        page: path,
        check,
    } = arguments;
    let report = Report::read(result).map_err(CommandError::input)?;
    let with_path = |error: &dyn std::fmt::Display| format!("{}: {error}", path.display());
    let text = std::fs::read_to_string(path).map_err(|e| CommandError::Input(with_path(&e)))?;
    let renewed = page::renew(&text, &report).map_err(|e| CommandError::Input(with_path(&e)))?;
    if text == renewed {
        print(&format!(
            "{} is that of {}\n",
            path.display(),
            result.display()
        ));
        return Ok(0);
    }
    if *check {
        print(&format!(
            "{} is stale: make it anew with birchhub scale page {}\n",
            path.display(),
            result.display()
        ));
        return Ok(1);
    }
    replace_file(path, &renewed).map_err(|e| CommandError::Failed(with_path(&e)))?;
    print(&format!("{} made anew\n", path.display()));
    Ok(0)
}

/// Returns whether a file of this name can be created: its folder exists, and it is not a folder itself.
fn is_writable_place(path: &Path) -> bool {
    let has_folder = path
        .parent()
        .is_none_or(|parent| parent.as_os_str().is_empty() || parent.is_dir());
    has_folder && !path.is_dir()
}

/// Replaces a file atomically, so that it is never truncated.
fn replace_file(path: &Path, text: &str) -> std::io::Result<()> {
    let temporary_path = path.with_extension("part");
    std::fs::write(&temporary_path, text)?;
    std::fs::rename(temporary_path, path)
}
