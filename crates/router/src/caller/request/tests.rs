//! Tests of prompts and request ids.

use {
    super::{Prompt, id},
    serde_json::json,
};

fn parse(text: &str) -> Prompt {
    let body = json!({"model": "m", "messages": [{"role": "user", "content": text}]});
    Prompt::parse(body.to_string().as_bytes(), 16).unwrap()
}

/// Guards against prompts with a common prefix that get different hashes, and against different
/// prompts that get equal ones.
#[test]
fn prompts_share_hashes_as_far_as_they_are_alike() {
    let common = "a".repeat(3_000);
    let (left, right) = (
        parse(&format!("{common}{}", "b".repeat(2_000))),
        parse(&format!("{common}{}", "c".repeat(2_000))),
    );
    assert_eq!(left.prefixes[..2], right.prefixes[..2]);
    assert!(left.prefixes[3] != right.prefixes[3]);
    assert_ne!(parse(&"d".repeat(3_000)).prefixes[0], left.prefixes[0]);
}

/// Guards against a prompt bound below what a tokenizer can make of the body.
#[test]
fn prompt_bound_covers_a_token_per_byte() {
    let body = json!({"model": "m", "prompt": "x"}).to_string();
    let prompt = Prompt::parse(body.as_bytes(), 16).unwrap();
    assert!(prompt.prompt_bound >= body.len() as u64);
    assert_eq!(prompt.bound(), prompt.prompt_bound + 16);
}

/// Guards against a retry through another host that gets another request id, which would be
/// billed twice.
#[test]
fn retries_with_a_key_have_the_same_id() {
    let workspace = "kolkata".into();
    assert_eq!(id(&workspace, Some("k1")), id(&workspace, Some("k1")));
    assert_ne!(id(&workspace, Some("k1")), id(&workspace, Some("k2")));
    assert_ne!(
        id(&workspace, Some("k1")),
        id(&"palermo".into(), Some("k1"))
    );
    assert_ne!(id(&workspace, None), id(&workspace, None));
}
