#!/bin/sh
# Runs one case: sh run-case.sh FOLDER CLASS ARGUMENT TROUBLE. Exit code: 0 the rule held, 1 it was
# broken, 2 the case could not run. TROUBLE is 0 to leave the disruption out, else 1.
trouble=1
if [ "$4" = 0 ]; then
    trouble=0
fi
folder=$(cd "$1" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
classes="$root/target/review-2"
if [ ! -f "$root/target/rosespread.jar" ] || [ ! -d "$classes" ]; then
    echo "run the build of the deploy file and review/build-2.sh first" >&2
    exit 2
fi
temporary=$(mktemp -d) || exit 2
trap 'kill "$child" 2>/dev/null; wait "$child" 2>/dev/null; rm -rf "$temporary"; exit 2' INT TERM
java -Xmx256m -cp "$classes" "review2.$2" "$3" "$root" "$temporary" "$folder/record.txt" \
    "$trouble" &
child=$!
wait "$child"
code=$?
rm -rf "$temporary"
case $code in
    0 | 1) exit $code ;;
    *) exit 2 ;;
esac
