#!/usr/bin/env bash
# Builds every stand-in that the scripts 6 to 10 start, into target/stand2 of the repository. Needs no network: there are
# no dependencies.
set -euo pipefail
cd "$(dirname "$0")/stand2"
cargo build --release --locked --offline --target-dir ../../target/stand2
