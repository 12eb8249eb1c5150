#!/bin/sh
# Prepares the stand-ins of the cases. They are Python programs that use the standard library only, so there is
# nothing to compile: this checks that the interpreter reads them. The sender comes from the deploy file's build.
set -e
cd "$(dirname "$0")"
for file in lib/*.py [0-9]*/case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
test -x ../target/release/sailcart || echo "the sender is not built yet: run the build of deploy/balancer.toml" >&2
echo "stand-ins: ready"
