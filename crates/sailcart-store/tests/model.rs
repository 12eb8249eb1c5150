//! Property tests: random operations with crashes, compared with a map as the model, and recovery from
//! arbitrary bytes.

mod common;

use common::{MemoryFiles, Model, Operation, contents, matches_model, open, options, write_until_crash};
use proptest::prelude::*;
use sailcart_store::{Store, SyncPolicy};

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, ..ProptestConfig::default() })]

    /// Consecutive processes on one folder, each of which crashes within some file call.
    #[test]
    fn crashing_processes_keep_one_consistent_state(seed in any::<u64>(), crashes in prop::collection::vec((1u64..120, 0.0f64..1.0), 1..5)) {
        let files = MemoryFiles::default();
        let mut model = Model::new();
        for (process, (call, completed_share)) in crashes.into_iter().enumerate() {
            files.restart();
            files.crash_at(call, completed_share);
            let operations = Operation::random(seed.wrapping_add(process as u64), 40, 2500);
            let interrupted = match Store::open(files.clone(), options(SyncPolicy::None)) {
                Ok((mut store, _)) => write_until_crash(&mut store, &operations, &mut model),
                Err(_) => None,
            };
            let found = contents(&mut open(&files, SyncPolicy::None));
            prop_assert!(matches_model(&found, &model, interrupted.as_ref()), "process {process} of seed {seed}");
            model = found;
        }
    }

    /// A file overwritten with arbitrary bytes is refused or read, without a panic.
    #[test]
    fn recovery_from_arbitrary_bytes_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..600), offset in 0usize..2000, seed in any::<u64>()) {
        let files = MemoryFiles::default();
        let mut store = open(&files, SyncPolicy::None);
        write_until_crash(&mut store, &Operation::random(seed, 6, 300), &mut Model::new());
        drop(store);
        let names = files.file_names();
        let name = &names[seed as usize % names.len()];
        let mut overwritten = files.read_file(name);
        let offset = offset.min(overwritten.len());
        overwritten.splice(offset..(offset + bytes.len()).min(overwritten.len()), bytes);
        files.write_file(name, &overwritten);
        files.restart();
        if let Ok((mut store, _)) = Store::open(files.clone(), options(SyncPolicy::EachWrite)) {
            contents(&mut store);
        }
    }
}
