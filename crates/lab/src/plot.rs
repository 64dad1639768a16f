//! Draws plots as SVG text.

use plotters::coord::Shift;
use plotters::prelude::DrawingArea;
use plotters::prelude::IntoDrawingArea;
use plotters::prelude::SVGBackend;
use plotters::prelude::WHITE;

/// Result of drawing; the error is boxed because the library has several error types.
pub(crate) type PlotResult<T> = Result<T, Box<dyn std::error::Error>>;

/// Drawing area of an SVG plot.
pub(crate) type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Draws on a white area of `size` pixels and returns the SVG.
pub(crate) fn draw_svg(
    size: (u32, u32),
    draw: impl FnOnce(&Area<'_>) -> PlotResult<()>,
) -> PlotResult<String> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, size).into_drawing_area();
        area.fill(&WHITE)?;
        draw(&area)?;
        area.present()?;
    }
    Ok(svg)
}
