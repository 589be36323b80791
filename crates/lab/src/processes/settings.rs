//! Fills in the template of a node's settings as the users' platform does.

use std::collections::BTreeMap;

const OPEN: &str = "{{";
const CLOSE: &str = "}}";

/// Values of a template by the dotted names of its placeholders.
pub type Values = BTreeMap<&'static str, String>;

/// Fills in a template: `{{name}}` becomes the value, or nothing if there is none, and the text
/// between `{{#name}}` and `{{/name}}` stays only if there is a value.
pub fn fill(template: &str, values: &Values) -> String {
    let mut output = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once(OPEN) {
        output.push_str(before);
        let Some((name, after)) = after.split_once(CLOSE) else {
            output.push_str(OPEN);
            rest = after;
            continue;
        };
        rest = match name.strip_prefix('#') {
            None => {
                output.extend(values.get(name).map(String::as_str));
                after
            }
            Some(section) => {
                let end = format!("{OPEN}/{section}{CLOSE}");
                let (inner, behind) = after.split_once(end.as_str()).unwrap_or((after, ""));
                if values.contains_key(section) {
                    output.push_str(&fill(inner, values));
                }
                behind
            }
        };
    }
    output.push_str(rest);
    output
}
