//! Random acts, crashes and faults against a plain map.

mod common;

use common::{Act, Memory, Plain, contents, open, room, stands, until_death};
use proptest::prelude::*;
use sailcart_store::{Store, Sync};

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, ..ProptestConfig::default() })]

    /// Lives one after the other, each cut short somewhere.
    #[test]
    fn many_lives_are_as_one(seed in any::<u64>(), deaths in prop::collection::vec((1u64..120, 0.0f64..1.0), 1..5)) {
        let files = Memory::default();
        let mut plain = Plain::new();
        for (nth, (call, part)) in deaths.into_iter().enumerate() {
            files.again();
            files.dies_at(call, part);
            let acts = Act::some(seed.wrapping_add(nth as u64), 40, 2500);
            let under_way = match Store::open(files.clone(), room(Sync::None)) {
                Ok((mut store, _)) => until_death(&mut store, &acts, &mut plain),
                Err(_) => None,
            };
            let found = contents(&mut open(&files, Sync::None));
            prop_assert!(stands(&found, &plain, under_way.as_ref()), "life {nth} of seed {seed}");
            plain = found;
        }
    }

    /// Any bytes in place of any file: refused, or read without a panic.
    #[test]
    fn recovery_takes_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..600), at in 0usize..2000, seed in any::<u64>()) {
        let files = Memory::default();
        let mut store = open(&files, Sync::None);
        until_death(&mut store, &Act::some(seed, 6, 300), &mut Plain::new());
        drop(store);
        let names = files.names();
        let name = &names[seed as usize % names.len()];
        let mut whole = files.bytes(name);
        let at = at.min(whole.len());
        whole.splice(at..(at + bytes.len()).min(whole.len()), bytes);
        files.set(name, &whole);
        files.again();
        if let Ok((mut store, _)) = Store::open(files.clone(), room(Sync::Each)) {
            contents(&mut store);
        }
    }
}
