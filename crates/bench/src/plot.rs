//! Plots the goodput of each policy by load.

use anyhow::{Result, anyhow};
use plotters::prelude::*;

use crate::report::{GoodputPoint, Report};
use crate::scheduler::Policy;

/// The width and height of one workload's chart.
const SIZE: (u32, u32) = (640, 400);

/// Returns the SVG text, with one chart for each workload below one another.
pub fn goodput(report: &Report) -> Result<String> {
    let mut svg = String::new();
    let rows = report.workloads.len().max(1);
    let height = SIZE.1 * u32::try_from(rows)?;

    {
        let root = SVGBackend::with_string(&mut svg, (SIZE.0, height)).into_drawing_area();
        root.fill(&WHITE)?;

        for (area, workload) in root.split_evenly((rows, 1)).iter().zip(&report.workloads) {
            let points = report.goodput.iter().filter(|point| point.workload == workload.name);
            let points: Vec<&GoodputPoint> = points.collect();

            chart(area, workload.name, &points).map_err(|e| anyhow!("bench: no plot: {e}"))?;
        }

        root.present()?;
    }

    Ok(svg)
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;
type ChartResult<'a> =
    std::result::Result<(), DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>>;

fn chart<'a>(area: &Area<'a>, name: &str, points: &[&GoodputPoint]) -> ChartResult<'a> {
    let load_max = points.iter().map(|point| point.load).fold(0.1, f64::max);
    let goodput_max = points.iter().map(|point| point.goodput.max).fold(0.1, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption(format!("{name}: programs finished in time a second, by load"), ("sans-serif", 16))
        .margin(12)
        .x_label_area_size(30)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..load_max * 1.05, 0.0..goodput_max * 1.1)?;

    chart.configure_mesh().x_desc("load (1 is the policy's own capacity)").draw()?;

    for (number, policy) in Policy::ALL.into_iter().enumerate() {
        let colour = Palette99::pick(number).to_rgba();
        let line = points
            .iter()
            .filter(|point| point.policy == policy)
            .map(|point| (point.load, point.goodput.median));

        chart
            .draw_series(LineSeries::new(line, colour.stroke_width(2)))?
            .label(policy.name())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }

    chart.configure_series_labels().border_style(BLACK).draw()?;

    Ok(())
}
