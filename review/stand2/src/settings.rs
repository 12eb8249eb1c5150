//! The settings object of a small deployment, as the platform hands it to a sender.

pub struct Category {
    pub name: &'static str,
    /// `retryable`, `dedup` or `fragile`.
    pub repeat: &'static str,
    pub window_ms: u64,
    pub aim_ms: u64,
    pub patience_ms: u64,
    pub in_order: bool,
}

pub struct Settings {
    pub senders: u64,
    pub slots: u64,
    pub held: u64,
    pub kinds: &'static [&'static str],
    pub batch: &'static [u64],
    pub routes_apart: &'static [bool],
    pub categories: Vec<Category>,
    /// `nominal` or `none`.
    pub weights: &'static str,
    pub drain_grace_ms: u64,
    pub cold_from: f64,
    pub cold_ms: u64,
    pub fall_multiple: f64,
    pub fall_ms: u64,
    pub settle_ms: Option<u64>,
    pub idle_close_ms: u64,
    /// `rules.ask_within_ms`, where the list comes only when asked for; pushed otherwise.
    pub ask_within_ms: Option<u64>,
}

impl Settings {
    pub fn json(&self) -> String {
        let join = |texts: Vec<String>| texts.join(",");
        let categories = join(self.categories.iter().map(Category::json).collect());
        let kinds = join(self.kinds.iter().map(|kind| format!("\"{kind}\"")).collect());
        let batch = join(self.batch.iter().map(u64::to_string).collect());
        let apart = join(self.routes_apart.iter().map(bool::to_string).collect());
        let settle = self.settle_ms.map(|ms| format!(",\"settle_after_doubt_ms\":{ms}")).unwrap_or_default();
        let mode = if self.ask_within_ms.is_some() { "subscribe" } else { "automatic" };
        let ask = self.ask_within_ms.map(|ms| format!(",\"ask_within_ms\":{ms}")).unwrap_or_default();
        format!(
            "{{\"balancers\":{},\"index\":0,\"period_ms\":5,\"weights\":\"{}\",\"over_share_worth\":0.05,\
             \"registry_mode\":\"{mode}\",\"kinds\":[{kinds}],\"lanes\":[{categories}],\"customers\":[],\
             \"domain\":{{\"call_slots\":{},\"kind_batch\":[{batch}],\"own_limits\":[{apart}],\"late\":\"line\"}},\
             \"bounds\":{{\"max_open\":{},\"send_cap\":6,\"cancel\":true,\"connect_timeout_ms\":1000,\
             \"idle_close_ms\":{},\"retry_after\":true,\"max_retry_after_ms\":2000,\"parallel_tries\":false}},\
             \"rules\":{{\"answer_slack_ms\":0,\"stop_sending_within_ms\":{},\"cold_from\":{},\"cold_ms\":{},\
             \"fall_multiple\":{},\"fall_ms\":{}{settle}{ask}}}}}",
            self.senders,
            self.weights,
            self.slots,
            self.held,
            self.idle_close_ms,
            self.drain_grace_ms,
            self.cold_from,
            self.cold_ms,
            self.fall_multiple,
            self.fall_ms
        )
    }
}

impl Category {
    fn json(&self) -> String {
        let window = if self.repeat == "dedup" {
            format!(",\"group\":\"all\",\"dedup_window_ms\":{}", self.window_ms)
        } else {
            String::new()
        };
        let order = if self.in_order { ",\"fifo_by_key\":true" } else { "" };
        format!(
            "{{\"name\":\"{}\",\"repeat\":\"{}\"{window}{order},\"aim_ms\":{},\"hard_limit_ms\":{},\
             \"gain\":1,\"late_share\":0.4,\"stream\":false}}",
            self.name, self.repeat, self.aim_ms, self.patience_ms
        )
    }
}
