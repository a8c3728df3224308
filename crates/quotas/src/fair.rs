//! How fair a division is, as figures.

/// Jain's index of what each got for what it deserved (Jain, Chiu, Hawe: "A Quantitative Measure of Fairness and
/// Discrimination", 1984): one where all got the same part of it, one by their number where a single one got all.
pub fn jain(parts: impl Iterator<Item = f64>) -> f64 {
    let (n, sum, squares) = parts.fold((0.0, 0.0, 0.0), |(n, s, q), p| (n + 1.0, s + p, q + p * p));
    if squares > 0.0 { sum * sum / (n * squares) } else { 1.0 }
}

/// By what factor a request is better off at the best of them than at the worst; none where the worst got nothing.
pub fn factor(parts: impl Iterator<Item = f64>) -> Option<f64> {
    let (least, most) = parts.fold((f64::MAX, 0.0_f64), |(least, most), p| (least.min(p), most.max(p)));
    (least > 0.0 && least <= most).then(|| most / least)
}
