//! What the operators of the demonstration set up before the first request.

use {super::fleet::Fleet, marigoldroute_core::config::hash_key, serde_json::json};

/// Puts the upstreams into service, buys tokens and creates the workspaces.
pub async fn run(fleet: &Fleet, urls: &[String]) -> anyhow::Result<()> {
    let edits = json!([
        {"add": {"path": "drafting", "kind": "model"}},
        {"add": {"path": "orders", "kind": "service"}},
        {"set": {"path": "orders", "setting": "price", "value": {"tokens": 25}}},
        {"set": {"path": "", "setting": "region", "value": {"text": "region-1"}}},
        {"set": {"path": "", "setting": "availability_zone", "value": {"text": "zone-1"}}},
        {"set": {"path": "", "setting": "output_limit", "value": {"tokens": 256}}},
    ]);
    let apply = json!({"base": 0, "edits": edits});
    fleet.write("demo-tree", "/settings/apply", &apply).await?;
    let paths = ["drafting/engine-a", "drafting/engine-b", "orders/orders-1"];
    for (number, (path, url)) in paths.into_iter().zip(urls).enumerate() {
        let body = json!({"path": path, "url": url});
        let request = format!("demo-upstream-{number}");
        fleet.write(&request, "/upstreams", &body).await?;
    }
    let budgets = [("hems", 20_000), ("confetti", 600)];
    for (budget, tokens) in budgets {
        let path = format!("/budgets/{budget}/top-up");
        let request = format!("demo-top-up-{budget}");
        let body = json!({"tokens": tokens});
        fleet.write(&request, &path, &body).await?;
    }
    workspace(fleet, "kolkata", "hems").await?;
    workspace(fleet, "palermo", "confetti").await
}

async fn workspace(fleet: &Fleet, path: &str, budget: &str) -> anyhow::Result<()> {
    let hash = hash_key(&format!("{path}-key"));
    let body = json!({"path": path, "budget": budget, "key_hashes": [hash]});
    let request = format!("demo-workspace-{path}");
    let accepted = fleet.write(&request, "/workspaces", &body).await?;
    fleet.settled(&accepted).await
}
