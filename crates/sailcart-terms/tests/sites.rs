//! Reads the settings of two invented deployments, as a sender receives them (`deploy/sites/`). They differ
//! widely from each other, so that the reader doesn't fit one deployment alone.

use std::path::Path;
use std::time::Duration;

use sailcart::{CreditDecay, Repeat, Settings};
use sailcart_terms::{Names, read, read_host_settings};

fn read_site(name: &str) -> (Settings, Names, Duration) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/sites");
    let text =
        std::fs::read_to_string(folder.join(format!("{name}.settings.json"))).expect("the settings file");
    let value = serde_json::from_str(&text).expect("valid JSON");
    let Ok((settings, names)) = read(&value) else { panic!("{name}: cannot read the settings") };
    let Ok(host_settings) = read_host_settings(&value) else {
        panic!("{name}: cannot read the host settings")
    };
    (settings, names, host_settings.idle_close)
}

#[test]
fn three_categories_of_which_one_is_unrepeatable_and_one_is_ordered() {
    let (settings, names, idle_close) = read_site("talca-avisos");
    let category = |name: &str| settings.categories[names.categories[name]];
    let deduplicated = Repeat::Deduplicated { memory: Duration::from_secs(1) };
    assert_eq!((category("boletas").repeat, category("boletas").in_order), (deduplicated, false));
    assert_eq!((category("cobros").repeat, category("cobros").in_order), (Repeat::Unrepeatable, false));
    assert_eq!((category("pedidos").repeat, category("pedidos").in_order), (deduplicated, true));
    assert_eq!(
        (settings.credit_decay, settings.key_block_time),
        (CreditDecay::Linear, Duration::from_millis(150))
    );
    assert_eq!((names.customers.len(), idle_close), (2, Duration::from_secs(4)));
}

#[test]
fn many_small_customers_and_no_retry_after() {
    let (settings, names, idle_close) = read_site("osorno-menudeo");
    assert_eq!((settings.categories.len(), settings.customers.len(), names.customers.len()), (1, 12, 12));
    assert_eq!((settings.max_retry_after, settings.credit_decay), (None, CreditDecay::Halving));
    assert_eq!((settings.max_dispatches, idle_close), (9, Duration::from_millis(2500)));
    assert!(settings.kinds.iter().all(|kind| kind.max_batch == 1));
}
