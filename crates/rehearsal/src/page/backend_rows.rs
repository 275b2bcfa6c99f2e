//! Plot of the RPCs in flight at each backend: one row a backend, one field a second.
use super::svg::{FaultExtent, LABEL_GAP, LEFT, TimeAxis, escape, fault_colour, frame};
use birchhub_audit::{Entry, Event, Header};
use std::collections::HashMap;
use std::fmt::Write;

/// Height of a row, in pixels.
const ROW_HEIGHT: f64 = 14.0;
/// Height of a field in its row, in pixels.
const FIELD_HEIGHT: f64 = ROW_HEIGHT - 2.0;
/// Distance of the line of a fault from the top of its row, in pixels.
const FAULT_LINE_TOP: f64 = ROW_HEIGHT - 2.5;
/// Distance of the baseline of a backend's name from the top of its row, in pixels.
const NAME_BASELINE: f64 = 11.0;
/// Overlap of neighbouring fields, in pixels; without it browsers draw gaps between them.
const FIELD_OVERLAP: f64 = 0.2;
/// Maximum number of rows; more would be too many to read.
const MAX_ROWS: usize = 80;

/// RPCs in flight at each backend while the ledger is read.
struct InFlight {
    /// By backend and second, the highest number in that second.
    highest: Vec<Vec<u32>>,
    /// By backend, the current number.
    current: Vec<u32>,
    backend_of_incarnation: HashMap<u32, usize>,
    backend_of_attempt: HashMap<u64, usize>,
}

impl InFlight {
    fn new(backends: usize, seconds: usize) -> Self {
        Self {
            highest: vec![vec![0; seconds]; backends],
            current: vec![0; backends],
            backend_of_incarnation: HashMap::new(),
            backend_of_attempt: HashMap::new(),
        }
    }

    /// Starts a second with what is in flight at the end of the one before.
    fn begin_second(&mut self, second: usize) {
        for (row, current) in self.highest.iter_mut().zip(&self.current) {
            row[second] = *current;
        }
    }

    fn apply(&mut self, event: &Event, second: usize) {
        match event {
            Event::BackendStarted {
                incarnation,
                backend,
                ..
            } => {
                self.backend_of_incarnation
                    .insert(*incarnation, *backend as usize);
            }
            Event::AttemptReceived(received) => {
                self.begin_attempt(received.incarnation, received.attempt_id, second);
            }
            Event::AttemptEnded { attempt_id, .. } => {
                if let Some(backend) = self.backend_of_attempt.remove(attempt_id) {
                    self.current[backend] -= 1;
                }
            }
            _ => {}
        }
    }

    fn begin_attempt(&mut self, incarnation: u32, attempt_id: u64, second: usize) {
        let Some(&backend) = self.backend_of_incarnation.get(&incarnation) else {
            return;
        };
        if backend >= self.current.len() {
            return;
        }
        self.backend_of_attempt.insert(attempt_id, backend);
        self.current[backend] += 1;
        let highest = &mut self.highest[backend][second];
        *highest = (*highest).max(self.current[backend]);
    }
}

/// Returns the highest number of RPCs in flight, by backend and second.
fn highest_in_flight(header: &Header, entries: &[Entry], seconds: usize) -> Vec<Vec<u32>> {
    let mut in_flight = InFlight::new(header.backends.len(), seconds);
    let mut second = 0;
    for entry in entries {
        while second + 1 < seconds && entry.at >= (second + 1) as f64 {
            second += 1;
            in_flight.begin_second(second);
        }
        in_flight.apply(&entry.event, second);
    }
    in_flight.highest
}

/// Returns the plot with its explanation.
pub(super) fn render(header: &Header, entries: &[Entry], axis: &TimeAxis) -> String {
    let rows = header.backends.len().min(MAX_ROWS);
    let seconds = axis.length_seconds.ceil().max(1.0) as usize;
    let in_flight = highest_in_flight(header, entries, seconds);
    let highest = in_flight.iter().flatten().copied().max().unwrap_or(1);
    let highest = highest.max(1);
    let height = rows as f64 * ROW_HEIGHT;
    let mut body = String::new();
    for (row, backend) in display_order(header).into_iter().take(rows).enumerate() {
        let top = row as f64 * ROW_HEIGHT;
        let name = escape(&header.backends[backend].name);
        let _ = write!(
            body,
            "<text x='{}' y='{:.1}' text-anchor='end'>{name}</text>",
            LEFT - LABEL_GAP,
            top + NAME_BASELINE
        );
        write_fields(&mut body, axis, &name, top, &in_flight[backend], highest);
        write_fault_lines(&mut body, axis, header, backend, top);
    }
    axis.write_ticks(&mut body, height);
    let omitted = header.backends.len() - rows;
    let remark = if omitted > 0 {
        format!("<p class='k'>{omitted} more nodes are not drawn.</p>")
    } else {
        String::new()
    };
    format!(
        "{}<p class='k'>The darkest field stands for {highest} RPCs. Lines below a row: troubles of that node.</p>{remark}",
        frame(height, &body)
    )
}

/// Returns the backends by zone, rack and name; a successor follows the backend that it replaces.
fn display_order(header: &Header) -> Vec<usize> {
    let mut order: Vec<_> = (0..header.backends.len()).collect();
    order.sort_by_key(|index| {
        let backend = &header.backends[*index];
        (backend.zone, backend.rack, &backend.name)
    });
    order
}

/// Adds a field for each second in which the backend had RPCs in flight, darker for more of them.
fn write_fields(
    body: &mut String,
    axis: &TimeAxis,
    name: &str,
    top: f64,
    in_flight: &[u32],
    highest: u32,
) {
    for (second, count) in in_flight.iter().enumerate() {
        if *count == 0 {
            continue;
        }
        let left = axis.x(second as f64);
        let right = axis.x(second as f64 + 1.0);
        let opacity = (f64::from(*count) / f64::from(highest)).sqrt();
        let _ = write!(
            body,
            "<rect x='{left:.1}' y='{top:.1}' width='{:.1}' height='{FIELD_HEIGHT:.1}' fill='#106ba3' opacity='{opacity:.2}'>\
             <title>{name}, {second} s: {count}</title></rect>",
            right - left + FIELD_OVERLAP
        );
    }
}

/// Adds a line for each fault of the backend.
fn write_fault_lines(
    body: &mut String,
    axis: &TimeAxis,
    header: &Header,
    backend: usize,
    top: f64,
) {
    for (index, fault) in header.faults.iter().enumerate() {
        if !fault.backends.contains(&(backend as u32)) {
            continue;
        }
        let FaultExtent { left, width } = axis.fault_extent(fault.from, fault.until);
        let colour = fault_colour(index);
        let y = top + FAULT_LINE_TOP;
        let _ = write!(
            body,
            "<rect x='{left:.1}' y='{y:.1}' width='{width:.1}' height='2' fill='{colour}'/>"
        );
    }
}
