#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: no disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
[ -f "$root/target/rosespread.jar" ] && [ -d "$root/review/target/classes" ] || exit 2
cd "$root" || exit 2
exec java -Xmx256m -Droot="$root" -cp review/target/classes Main rolling-deploy "$folder"
