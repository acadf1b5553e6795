//! SVG plots of figures over the fleet size or over time.

/// One line of points. Points without a positive value are omitted.
pub struct Line {
    pub name: String,
    pub points: Vec<(f64, f64)>,
}

pub struct Panel {
    pub title: String,
    pub lines: Vec<Line>,
}

/// Size of one panel and the margins around its axes, in pixels.
const PANEL_WIDTH: f64 = 420.0;
const PANEL_HEIGHT: f64 = 300.0;
const MARGIN: (f64, f64) = (58.0, 40.0);
const COLOURS: [&str; 6] = ["#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad", "#b9770e", "#444444"];

/// Draws panels, two in a row, with logarithmic axes.
pub fn svg(panels: &[Panel]) -> String {
    let rows = panels.len().div_ceil(2);
    let (w, h) = (PANEL_WIDTH * 2.0, PANEL_HEIGHT * rows as f64);
    let mut out = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{w}\" height=\"{h}\" font-family=\"sans-serif\" font-size=\"11\">\n\
         <rect width=\"{w}\" height=\"{h}\" fill=\"white\"/>\n"
    );
    for (i, panel_data) in panels.iter().enumerate() {
        let (x, y) = ((i % 2) as f64 * PANEL_WIDTH, (i / 2) as f64 * PANEL_HEIGHT);
        out.push_str(&format!("<g transform=\"translate({x},{y})\">\n{}</g>\n", panel(panel_data)));
    }
    out.push_str("</svg>\n");
    out
}

/// Returns the exponents of the powers of ten that enclose all positive values.
fn decade_range(v: impl Iterator<Item = f64>) -> (f64, f64) {
    let (a, b) = v.filter(|x| *x > 0.0).fold((f64::MAX, f64::MIN), |(a, b), x| (a.min(x), b.max(x)));
    if a > b {
        return (0.0, 1.0);
    }
    let (a, b) = (a.log10().floor(), b.log10().ceil());
    (a, if b > a { b } else { a + 1.0 })
}

fn panel(panel_data: &Panel) -> String {
    let all = || panel_data.lines.iter().flat_map(|l| &l.points).filter(|q| q.0 > 0.0 && q.1 > 0.0);
    let (x0, x1) = decade_range(all().map(|q| q.0));
    let (y0, y1) = decade_range(all().map(|q| q.1));
    let (width, height) = (PANEL_WIDTH - MARGIN.0 - 12.0, PANEL_HEIGHT - 2.0 * MARGIN.1);
    let to_x = |x: f64| MARGIN.0 + (x.log10() - x0) / (x1 - x0) * width;
    let to_y = |y: f64| MARGIN.1 + height - (y.log10() - y0) / (y1 - y0) * height;
    let mut out =
        format!("<text x=\"{}\" y=\"16\" font-weight=\"bold\">{}</text>\n", MARGIN.0, escape_xml(&panel_data.title));
    let line = |x: f64, y: f64, x2: f64, y2: f64, c: &str| {
        format!("<line x1=\"{x:.1}\" y1=\"{y:.1}\" x2=\"{x2:.1}\" y2=\"{y2:.1}\" stroke=\"{c}\"/>\n")
    };
    for decade in x0 as i32..=x1 as i32 {
        let x = to_x(10f64.powi(decade));
        out.push_str(&line(x, MARGIN.1, x, MARGIN.1 + height, "#dddddd"));
        let y = MARGIN.1 + height + 14.0;
        out.push_str(&format!(
            "<text x=\"{x:.1}\" y=\"{y:.1}\" text-anchor=\"middle\">{}</text>\n",
            decade_label(decade)
        ));
    }
    for decade in y0 as i32..=y1 as i32 {
        let y = to_y(10f64.powi(decade));
        out.push_str(&line(MARGIN.0, y, MARGIN.0 + width, y, "#dddddd"));
        let x = MARGIN.0 - 5.0;
        out.push_str(&format!(
            "<text x=\"{x:.1}\" y=\"{:.1}\" text-anchor=\"end\">{}</text>\n",
            y + 4.0,
            decade_label(decade)
        ));
    }
    let x = MARGIN.0 + width / 2.0;
    out.push_str(&format!("<text x=\"{x:.1}\" y=\"{:.1}\" text-anchor=\"middle\">edges</text>\n", PANEL_HEIGHT - 8.0));
    for (i, l) in panel_data.lines.iter().enumerate() {
        let c = COLOURS[i % COLOURS.len()];
        let at: Vec<(f64, f64)> =
            l.points.iter().filter(|q| q.0 > 0.0 && q.1 > 0.0).map(|q| (to_x(q.0), to_y(q.1))).collect();
        let path: Vec<String> = at.iter().map(|(x, y)| format!("{x:.1},{y:.1}")).collect();
        out.push_str(&format!(
            "<polyline points=\"{}\" fill=\"none\" stroke=\"{c}\" stroke-width=\"1.5\"/>\n",
            path.join(" ")
        ));
        at.iter()
            .for_each(|(x, y)| out.push_str(&format!("<circle cx=\"{x:.1}\" cy=\"{y:.1}\" r=\"3\" fill=\"{c}\"/>\n")));
        let y = MARGIN.1 + 12.0 + 13.0 * i as f64;
        out.push_str(&format!(
            "<text x=\"{:.1}\" y=\"{y:.1}\" fill=\"{c}\">{}</text>\n",
            MARGIN.0 + 6.0,
            escape_xml(&l.name)
        ));
    }
    out
}

fn decade_label(decade: i32) -> String {
    match decade {
        0..=5 => format!("{}", 10u64.pow(decade as u32)),
        -3..=-1 => format!("{:.*}", -decade as usize, 10f64.powi(decade)),
        _ => format!("1e{decade}"),
    }
}

fn escape_xml(s: &str) -> String {
    s.replace('&', "&amp;").replace('<', "&lt;")
}

/// Size of a timeline and the margins around it, in pixels.
const TIMELINE_SIZE: (f64, f64) = (1_000.0, 260.0);
const TIMELINE_MARGIN: (f64, f64) = (48.0, 30.0);

/// Draws a share (0 to 1) over time in seconds, with named marks, on linear axes.
pub fn timeline(title: &str, points: &[(f64, f64)], marks: &[(f64, String)]) -> String {
    let (width, height) = (TIMELINE_SIZE.0 - 2.0 * TIMELINE_MARGIN.0, TIMELINE_SIZE.1 - 2.0 * TIMELINE_MARGIN.1);
    let last = points.iter().map(|point| point.0).chain(marks.iter().map(|mark| mark.0)).fold(1.0, f64::max);
    let to_x = |x: f64| TIMELINE_MARGIN.0 + x / last * width;
    let to_y = |y: f64| TIMELINE_MARGIN.1 + (1.0 - y.clamp(0.0, 1.0)) * height;
    let mut out = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" height=\"{}\" font-family=\"sans-serif\" font-size=\"11\">\n\
         <rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n<text x=\"{}\" y=\"16\" font-weight=\"bold\">{}</text>\n",
        TIMELINE_SIZE.0,
        TIMELINE_SIZE.1,
        TIMELINE_MARGIN.0,
        escape_xml(title)
    );
    for share in [0.0, 0.5, 1.0] {
        let y = to_y(share);
        out.push_str(&format!(
            "<line x1=\"{:.1}\" y1=\"{y:.1}\" x2=\"{:.1}\" y2=\"{y:.1}\" stroke=\"#dddddd\"/>\n<text x=\"8\" y=\"{y:.1}\">{share}</text>\n",
            to_x(0.0),
            to_x(last)
        ));
    }
    for (at, name) in marks {
        let (x, y) = (to_x(*at), to_y(0.0));
        out.push_str(&format!(
            "<line x1=\"{x:.1}\" y1=\"{y:.1}\" x2=\"{x:.1}\" y2=\"{:.1}\" stroke=\"#c0392b\"><title>{} at {at:.2} s</title></line>\n",
            y - 8.0,
            escape_xml(name)
        ));
    }
    let path: Vec<String> = points.iter().map(|(x, y)| format!("{:.1},{:.1}", to_x(*x), to_y(*y))).collect();
    out.push_str(&format!(
        "<polyline points=\"{}\" fill=\"none\" stroke=\"{}\"/>\n<text x=\"{:.1}\" y=\"{:.1}\">{last:.0} s</text>\n</svg>\n",
        path.join(" "),
        COLOURS[0],
        to_x(last) - 30.0,
        TIMELINE_SIZE.1 - 8.0
    ));
    out
}
