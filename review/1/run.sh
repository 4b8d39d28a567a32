#!/bin/sh
# Writes to record.txt, beside this file, what was sent, answered and run.
# With TROUBLE=0 it does the same without the disruption: no second copies.
# Exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
record=$here/record.txt
trouble=${TROUBLE:-1}
: > "$record" || exit 2
[ -f "$root/gateway/target/shelffront.jar" ] || { echo "build the project first" | tee "$record" >&2; exit 2; }
sh "$root/review/build.sh" || exit 2
exec java -cp "$root/review/target/classes" review.SecondCopyBehindAnswer "$root" "$record" "$trouble"
