//! Runs one case: `stand2 CASE ROOT FOLDER`.

mod cases;

use std::path::PathBuf;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, root, folder] = &arguments[..] else {
        eprintln!("usage: stand2 CASE ROOT FOLDER");
        std::process::exit(stand2::world::COULD_NOT_RUN)
    };
    let print = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        print(panic);
        if std::thread::current().name() == Some("main") {
            stand2::world::end_all();
            std::process::exit(stand2::world::COULD_NOT_RUN)
        }
    }));
    // No case takes longer than this.
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(110));
        eprintln!("the case takes too long");
        stand2::world::end_all();
        std::process::exit(stand2::world::COULD_NOT_RUN)
    });
    cases::run(case, &PathBuf::from(root), &PathBuf::from(folder))
}
