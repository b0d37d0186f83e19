//! Tables of text with aligned columns.

use std::fmt;

/// Side on which a column is aligned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Align {
    /// Text.
    Left,
    /// Numbers.
    Right,
}

/// A table of text.
#[derive(Clone, Debug)]
pub struct TextTable {
    aligns: Vec<Align>,
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Builds a table of columns with their titles.
    pub fn new(columns: &[(&str, Align)]) -> TextTable {
        TextTable {
            aligns: columns.iter().map(|(_, align)| *align).collect(),
            rows: vec![columns.iter().map(|(title, _)| title.to_string()).collect()],
        }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Returns whether no row was added.
    pub fn is_empty(&self) -> bool {
        self.rows.len() == 1
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    }

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

/// Returns a number of things in words, such as `1 node` or `2 nodes`.
pub fn pluralize(n: usize, what: &str) -> String {
    match n {
        1 => format!("1 {what}"),
        _ => format!("{n} {what}s"),
    }
}
