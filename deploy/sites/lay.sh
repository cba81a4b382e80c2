#!/bin/sh
# Lays what the bench wants beside a site file from the operators' kit; git ignores it.
# Usage: deploy/sites/lay.sh FOLDER-OF-A-SITE-IN-THE-KIT
set -eu
for file in real.json wire.json unlock.txt; do
    cp "$1/$file" "$(dirname "$0")/$file"
done
