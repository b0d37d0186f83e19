//! The known name that is nearest to a misspelt one.

/// Longest name that is compared, in characters.
const MAX_NAME_CHARS: usize = 64;

/// Returns the name with the smallest edit distance to `word`, if it is near enough to be meant.
///
/// At most a third of the characters may differ, and at least one always may. Of equally near
/// names the first wins.
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

/// Edit distance with insertions, deletions, replacements and swaps of neighbours, up to `limit`.
fn distance(word: &[char], name: &str, limit: usize) -> Option<usize> {
    let name: Vec<char> = name.chars().take(MAX_NAME_CHARS).collect();
    if name.len().abs_diff(word.len()) > limit {
        return None;
    }
    let mut before: Vec<usize> = Vec::new();
    let mut last: Vec<usize> = (0..=name.len()).collect();
    for i in 1..=word.len() {
        let mut row = vec![i];
        for j in 1..=name.len() {
            let replaced = last[j - 1] + usize::from(word[i - 1] != name[j - 1]);
            let mut best = replaced.min(last[j] + 1).min(row[j - 1] + 1);
            let swapped =
                i > 1 && j > 1 && word[i - 1] == name[j - 2] && word[i - 2] == name[j - 1];
            if swapped {
                best = best.min(before[j - 2] + 1);
            }
            row.push(best);
        }
        if row.iter().min() > Some(&limit) {
            return None;
        }
        before = last;
        last = row;
    }
    Some(last[name.len()]).filter(|distance| *distance <= limit)
}
