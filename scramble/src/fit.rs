//! Least-squares fits of figures that were measured at several sizes.

/// Result of a linear fit.
#[derive(Clone, Debug)]
pub struct Fit {
    /// One coefficient for each term, in the order of the rows' columns.
    pub coefficients: Vec<f64>,
    /// Root of the mean squared residual, in the unit of the figure.
    pub residual: f64,
    /// Share of the variance that the terms explain (R²); 1 is all of it.
    pub explained: f64,
}

/// Fits y = Σ coefficient·x. Returns None if the terms are not linearly independent.
pub fn fit(rows: &[Vec<f64>], y: &[f64]) -> Option<Fit> {
    let n = rows.first()?.len();
    if rows.len() < n || rows.len() != y.len() {
        return None;
    }
    // terms of very different magnitude are scaled alike, otherwise rounding errors dominate
    let scale: Vec<f64> = (0..n).map(|i| rows.iter().map(|r| r[i].abs()).fold(0.0, f64::max).max(1e-300)).collect();
    let mut matrix: Vec<Vec<f64>> = vec![vec![0.0; n + 1]; n];
    for (r, y) in rows.iter().zip(y) {
        for i in 0..n {
            for j in 0..n {
                matrix[i][j] += r[i] / scale[i] * r[j] / scale[j];
            }
            matrix[i][n] += r[i] / scale[i] * y;
        }
    }
    let x = solve(matrix)?;
    let coefficients: Vec<f64> = x.iter().zip(&scale).map(|(x, s)| x / s).collect();
    let mean = y.iter().sum::<f64>() / y.len() as f64;
    let squared_error =
        |r: &Vec<f64>, y: &f64| (r.iter().zip(&coefficients).map(|(x, b)| x * b).sum::<f64>() - y).powi(2);
    let residual_sum: f64 = rows.iter().zip(y).map(|(r, y)| squared_error(r, y)).sum();
    let total_sum: f64 = y.iter().map(|y| (y - mean).powi(2)).sum();
    let explained = if total_sum > 0.0 { 1.0 - residual_sum / total_sum } else { 1.0 };
    Some(Fit { coefficients, residual: (residual_sum / y.len() as f64).sqrt(), explained })
}

impl Fit {
    pub fn predict(&self, x: &[f64]) -> f64 {
        self.coefficients.iter().zip(x).map(|(b, x)| b * x).sum()
    }
}

/// Solves a linear system by Gaussian elimination with partial pivoting; the last column is the right-hand side.
fn solve(mut matrix: Vec<Vec<f64>>) -> Option<Vec<f64>> {
    let n = matrix.len();
    for i in 0..n {
        let pivot_row = (i..n).max_by(|a, b| matrix[*a][i].abs().total_cmp(&matrix[*b][i].abs()))?;
        if matrix[pivot_row][i].abs() < 1e-12 {
            return None;
        }
        matrix.swap(i, pivot_row);
        let pivot = matrix[i].clone();
        for row in matrix.iter_mut().skip(i + 1) {
            let factor = row[i] / pivot[i];
            row.iter_mut().zip(&pivot).for_each(|(a, b)| *a -= factor * b);
        }
    }
    let mut x = vec![0.0; n];
    for i in (0..n).rev() {
        let known_terms: f64 = (i + 1..n).map(|j| matrix[i][j] * x[j]).sum();
        x[i] = (matrix[i][n] - known_terms) / matrix[i][i];
    }
    Some(x)
}

/// Returns the power of `x` with which `y` grows, which is the slope of their logarithms; 1 is linear.
pub fn growth_exponent(x: &[f64], y: &[f64]) -> Option<f64> {
    let positive: Vec<(f64, f64)> =
        x.iter().zip(y).filter(|(x, y)| **x > 0.0 && **y > 0.0).map(|(x, y)| (*x, *y)).collect();
    let rows: Vec<Vec<f64>> = positive.iter().map(|(x, _)| vec![1.0, x.ln()]).collect();
    let logs: Vec<f64> = positive.iter().map(|(_, y)| y.ln()).collect();
    fit(&rows, &logs).map(|fit| fit.coefficients[1])
}
