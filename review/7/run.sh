#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
# After the build of the deploy file and review/build-2.sh. What was sent, answered and run stands in record.txt.
cd "$(dirname "$0")" || exit 2
stand=../../target/stand2/release/stand2
[ -x "$stand" ] && [ -x ../../target/release/sailcart ] || { echo "not built"; exit 2; }
exec "$stand" burst "$(cd ../.. && pwd)" "$(pwd)"
