#!/bin/sh
# Exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -f "$root/gateway/target/shelffront.jar" ] || { echo "build the project first" >&2; exit 2; }
sh "$root/review/build.sh" || exit 2
exec java -cp "$root/review/target/classes" review.FormerPrimaryReturns "$root" "$here"
