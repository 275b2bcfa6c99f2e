//! `birchhub scale`: measures what a fleet of the planned size costs, and makes the page's tables of it.
use crate::{Fault, print};
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
/// Starts real birchhubd before hollow backends, and hollow proxies at a list service, one size after another, and fits a line
/// through the points of each series. Takes some minutes, one to three cores and up to a few GB; with --quick seconds and little.
#[derive(Args)]
struct Run {
    /// The order of the sizes and all chance start from this number
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Small sizes for some seconds: shows that all parts work, and nothing of the planned size
    #[arg(long)]
    quick: bool,
    /// The proxies' program; else birchhubd beside this one
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

/// Make the tables of a page anew from a result
///
/// Each table stands between <!-- scale: NAME --> and <!-- end of NAME -->; the rest of the page stays as it is.
#[derive(Args)]
struct Page {
    /// What `birchhub scale run` has written
    result: PathBuf,
    /// The page
    #[arg(long, value_name = "FILE", default_value = "docs/CAPACITY.md")]
    page: PathBuf,
    /// Write nothing; 1 where the page's tables are not those of the result
    #[arg(long)]
    check: bool,
}

pub(crate) fn run(arguments: Arguments) -> Result<u8, Fault> {
    match arguments.verb {
        Verb::Run(run) => slopes(run),
        Verb::Page(page) => tables(&page),
    }
}

fn slopes(arguments: Run) -> Result<u8, Fault> {
    let Run {
        seed,
        quick,
        proxies,
        out,
        folder,
        quiet,
    } = arguments;
    let program = crate::daemon(proxies)?;
    // Found out before minutes are spent.
    if out.is_dir()
        || !out
            .parent()
            .is_none_or(|parent| parent.as_os_str().is_empty() || parent.is_dir())
    {
        return Err(Fault::Input(format!(
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
    .map_err(Fault::failed)?;
    report.write(&out).map_err(Fault::failed)?;
    print(&format!(
        "{}: {} series in {:.0} s\n",
        out.display(),
        report.series.len(),
        report.duration_seconds
    ));
    Ok(0)
}

fn tables(arguments: &Page) -> Result<u8, Fault> {
    let Page {
        result,
        page: path,
        check,
    } = arguments;
    let report = Report::read(result).map_err(Fault::input)?;
    let told = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    let text = std::fs::read_to_string(path).map_err(|e| Fault::Input(told(&e)))?;
    let renewed = page::renew(&text, &report).map_err(|e| Fault::Input(told(&e)))?;
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
    replace(path, &renewed).map_err(|e| Fault::Failed(told(&e)))?;
    print(&format!("{} made anew\n", path.display()));
    Ok(0)
}

/// Whole or not at all.
fn replace(path: &Path, text: &str) -> std::io::Result<()> {
    let part = path.with_extension("part");
    std::fs::write(&part, text)?;
    std::fs::rename(part, path)
}
