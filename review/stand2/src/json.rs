//! As much JSON as the cases need: the values of text members, in the order in which they occur.

/// The values of all members `name` whose value is text.
pub fn texts(json: &str, name: &str) -> Vec<String> {
    let quoted = format!("\"{name}\"");
    let mut found = Vec::new();
    let mut rest = json;
    while let Some(at) = rest.find(&quoted) {
        rest = &rest[at + quoted.len()..];
        let value = rest.trim_start();
        let Some(value) = value.strip_prefix(':') else { continue };
        let Some(value) = value.trim_start().strip_prefix('"') else { continue };
        let Some(end) = value.find('"') else { break };
        found.push(value[..end].to_owned());
        rest = &value[end + 1..];
    }
    found
}
