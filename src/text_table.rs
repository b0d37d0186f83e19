//! Plain text tables with aligned columns.

use std::fmt;

/// Alignment of a column.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Align {
    /// Left-aligned, for text.
    Left,
    /// Right-aligned, for numbers.
    Right,
}

/// A plain text table with a title row.
#[derive(Clone, Debug)]
pub struct TextTable {
    aligns: Vec<Align>,
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Creates a table without rows from the titles and alignments of its columns.
    pub fn new(columns: &[(&str, Align)]) -> TextTable {
        TextTable {
            aligns: columns.iter().map(|(_, align)| *align).collect(),
            rows: vec![columns.iter().map(|(title, _)| title.to_string()).collect()],
        }
    }

    /// Appends a row with one cell for each column.
    pub fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Returns whether the table has no rows besides the titles.
    pub fn is_empty(&self) -> bool {
        self.rows.len() == 1
    }

    /// Returns the width of a column in characters.
    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    }

    /// Formats a row, with two spaces between columns.
    fn line(&self, row: &[String]) -> String {
        let cells = row.iter().zip(&self.aligns).enumerate();
        let cells = cells.map(|(i, (cell, align))| {
            let width = self.width(i);
            match align {
                Align::Left => format!("{cell:<width$}"),
                Align::Right => format!("{cell:>width$}"),
            }
        });
        cells.collect::<Vec<_>>().join("  ")
    }
}

impl fmt::Display for TextTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for row in &self.rows {
            writeln!(f, "{}", self.line(row).trim_end())?;
        }
        Ok(())
    }
}

/// Formats a count with its noun in singular or plural, such as `1 node` or `2 nodes`.
pub fn pluralize(n: usize, noun: &str) -> String {
    match n {
        1 => format!("1 {noun}"),
        _ => format!("{n} {noun}s"),
    }
}
