#!/bin/sh
# Runs this case. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 leaves out the disruption. The deploy file's build and review/build-2.sh come first.
cd "$(dirname "$0")" || exit 2
classes=../common-2/target/classes
if [ ! -f "$classes/review2/ReloadRow.class" ] || [ ! -f ../../gateway/target/shelffront.jar ]; then
  echo "not built: run the build of deploy/balancer.toml, then review/build-2.sh" >&2
  exit 2
fi
exec java -cp "$classes" -Dreview2.root=../.. -Dreview2.record=record.txt review2.ReloadRow
