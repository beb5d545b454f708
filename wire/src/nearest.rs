//! Suggests the known word that a mistyped word probably stands for.

/// Largest edit distance of a suggestion.
const EDIT_DISTANCE_MAX: usize = 2;

/// Returns the known word with the smallest edit distance to `word`, if it differs in at most two letters and at most half of the word's.
#[must_use]
pub fn nearest<'a>(word: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let max_distance = EDIT_DISTANCE_MAX.min(word.chars().count() / 2);
    let distances = known.into_iter().map(|each| (edit_distance(word, each), each));
    let (_, found) = distances.filter(|(distance, _)| *distance <= max_distance).min()?;
    Some(found)
}

/// The Levenshtein distance: the number of letters to insert, delete or replace to turn one word into the other.
fn edit_distance(from: &str, to: &str) -> usize {
    let to: Vec<char> = to.chars().collect();
    let mut row: Vec<usize> = (0..=to.len()).collect();
    for (index, letter) in from.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = index + 1;
        for (at, other) in to.iter().enumerate() {
            let replaced = diagonal + usize::from(letter != *other);
            diagonal = row[at + 1];
            row[at + 1] = replaced.min(row[at] + 1).min(diagonal + 1);
        }
    }
    row[to.len()]
}
