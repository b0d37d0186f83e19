//! Suggests a known name for a misspelt one.

/// Maximum length of a compared name, in characters; bounds the cost of a comparison.
const MAX_NAME_CHARS: usize = 64;

/// Returns the name with the smallest edit distance to `word`, if it is close enough to be a typo.
///
/// The distance may be up to a third of the length of `word`, but at least 1. Among equally close
/// names the first one is returned.
pub fn nearest<'a, I>(word: &str, names: I) -> Option<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    let chars: Vec<char> = word.chars().take(MAX_NAME_CHARS + 1).collect();
    if chars.is_empty() || chars.len() > MAX_NAME_CHARS {
        return None;
    }
    let limit = (chars.len() / 3).max(1);
    names
        .into_iter()
        .filter_map(|name| Some((distance(&chars, name, limit)?, name)))
        .min_by_key(|(distance, _)| *distance)
        .map(|(_, name)| name)
}

/// Computes the edit distance with insertions, deletions, substitutions and transpositions of
/// adjacent characters (optimal string alignment). Returns `None` if it exceeds `limit`.
fn distance(word: &[char], name: &str, limit: usize) -> Option<usize> {
    let name: Vec<char> = name.chars().take(MAX_NAME_CHARS).collect();
    if name.len().abs_diff(word.len()) > limit {
        return None;
    }
    let mut row_before_last: Vec<usize> = Vec::new();
    let mut last_row: Vec<usize> = (0..=name.len()).collect();
    for i in 1..=word.len() {
        let mut row = vec![i];
        for j in 1..=name.len() {
            let substitution = last_row[j - 1] + usize::from(word[i - 1] != name[j - 1]);
            let mut best = substitution.min(last_row[j] + 1).min(row[j - 1] + 1);
            let transposed =
                i > 1 && j > 1 && word[i - 1] == name[j - 2] && word[i - 2] == name[j - 1];
            if transposed {
                best = best.min(row_before_last[j - 2] + 1);
            }
            row.push(best);
        }
        if row.iter().min() > Some(&limit) {
            return None;
        }
        row_before_last = last_row;
        last_row = row;
    }
    Some(last_row[name.len()]).filter(|distance| *distance <= limit)
}
