#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: no disruption.
# Writes record.txt beside this script: what was sent, answered and run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
record="$folder/record.txt"
echo "case 3, rolling-deploy, TROUBLE=${TROUBLE:-1}" > "$folder/record.txt" || exit 2
if [ ! -f "$root/target/rosespread.jar" ] || [ ! -d "$root/review/target/classes" ]; then
    echo "not built: run the build of deploy/balancer.toml and review/build.sh" >> "$record"
    exit 2
fi
cd "$root" || exit 2
exec java -Xmx256m -Droot="$root" -cp review/target/classes Main rolling-deploy "$record"
