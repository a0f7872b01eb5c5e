//! Plots of the measurements.

use std::path::{Path, PathBuf};

use anyhow::{Context, anyhow};
use gumdrop::Options;
use plotters::prelude::*;

use crate::fit::Line;
use crate::virtual_time::Row;

const SIZE: (u32, u32) = (760, 480);
/// Budget of control traffic sent by one daemon, in bytes per second.
const BUDGET: f64 = 4_096.0;

/// A data series of a plot.
#[derive(Clone, Debug)]
pub struct Series {
    /// Name in the legend.
    pub name: String,
    /// Data points (x, y).
    pub points: Vec<(f64, f64)>,
}

/// Plots bytes sent per second against the number of daemons.
pub fn virtual_rows(rows: &[Row], path: &Path) -> anyhow::Result<()> {
    let points = |filter: fn(&Row) -> bool, value: fn(&Row) -> f64| {
        rows.iter()
            .filter(|row| filter(row))
            .map(|row| ((row.data_centres * row.hosts) as f64, value(row)))
            .collect::<Vec<_>>()
    };
    let series = [
        Series {
            name: "one data centre, mean".to_owned(),
            points: points(|row| row.data_centres == 1, |row| row.mean_bytes_per_s),
        },
        Series {
            name: "data centres of 35, mean".to_owned(),
            points: points(|row| row.hosts == 35, |row| row.mean_bytes_per_s),
        },
        Series {
            name: "data centres of 35, maximum".to_owned(),
            points: points(|row| row.hosts == 35, |row| row.max_bytes_per_s),
        },
    ];
    draw("bytes/s sent for control by one daemon", &series, Some(BUDGET), path)
}

/// Plots `series` against the number of daemons.
pub fn draw(title: &str, series: &[Series], budget: Option<f64>, path: &Path) -> anyhow::Result<()> {
    draw_with(title, series, budget, path).map_err(|error| anyhow!("could not plot {title:?}: {error}"))
}

fn draw_with(
    title: &str,
    series: &[Series],
    budget: Option<f64>,
    path: &Path,
) -> Result<(), Box<dyn std::error::Error>> {
    let all = || series.iter().flat_map(|series| &series.points);
    let max_x = all().map(|(x, _)| *x).fold(1.0, f64::max);
    let max_y = all().map(|(_, y)| *y).chain(budget).fold(1.0, f64::max) * 1.1;
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..max_x, 0.0..max_y)?;
    chart.configure_mesh().x_desc("daemons").draw()?;
    for (index, line) in series.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        let mut points = line.points.clone();
        points.sort_by(|a, b| a.0.total_cmp(&b.0));
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)).point_size(3))?
            .label(line.name.clone())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
    }
    if let Some(budget) = budget {
        chart
            .draw_series(LineSeries::new([(0.0, budget), (max_x, budget)], BLACK))?
            .label("budget")
            .legend(|(x, y)| PathElement::new([(x, y), (x + 16, y)], BLACK));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .position(SeriesLabelPosition::LowerRight)
        .draw()?;
    root.present()?;
    Ok(())
}

/// Plots the CSV of real daemons and fits lines to its columns.
#[derive(Debug, Options)]
pub struct Draw {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "CSV of real daemons", required)]
    csv: PathBuf,
    #[options(help = "SVG to write", required)]
    out: PathBuf,
}

/// CSV columns to fit.
const COLUMNS: [&str; 4] = ["sent_mean_bytes_per_s", "control_ppm", "memory_bytes", "in_force_max_ms"];
/// Target number of daemons per data centre.
const TARGET_HOSTS: f64 = 35.0;

impl Draw {
    /// Writes the plot of bytes sent and prints the fitted line of each column.
    pub fn run(self) -> anyhow::Result<()> {
        let text = std::fs::read_to_string(&self.csv).context("could not read the CSV")?;
        let mut lines = text.lines();
        let names: Vec<&str> = lines.next().unwrap_or_default().split(',').collect();
        let rows: Vec<Vec<&str>> = lines.map(|line| line.split(',').collect()).collect();
        let column = |name: &str| -> Vec<(f64, f64)> {
            let index = names.iter().position(|found| *found == name);
            let at = |row: &Vec<&str>, index: usize| row.get(index).and_then(|field| field.parse().ok());
            rows.iter()
                .filter(|row| at(row, 1) == Some(1.0))
                .filter_map(|row| Some((at(row, 0)?, at(row, index?)?)))
                .collect()
        };
        for name in COLUMNS {
            let line = Line::through(&column(name));
            println!(
                "{name} = {:.1} + {:.3} x daemons; {:.0} at {TARGET_HOSTS}",
                line.base,
                line.slope,
                line.at(TARGET_HOSTS)
            );
        }
        let series =
            [Series { name: "one data centre, mean".to_owned(), points: column("sent_mean_bytes_per_s") }];
        draw("bytes/s sent for control by one real daemon", &series, Some(BUDGET), &self.out)
    }
}
