#!/usr/bin/env bash
# Scores the deployments that a landing must not make worse, one after the other.
#
#   deploy/regression.sh BENCH FOLDER [--jobs N]
#
# BENCH is the users' bench, FOLDER holds their site files. The large deployment stands in for the oldest, small ones; those are played now and then.
set -euo pipefail

if [ $# -lt 2 ]; then
    echo "usage: deploy/regression.sh BENCH FOLDER [--jobs N]" >&2
    exit 2
fi
bench=$1
folder=$2
shift 2

sites=(
    large/klc-floor-large
    further-grown/tabua-leave-grown
    further/tabua-leave
    grown/klc-floor-grown
    grown/flue-commons-grown
)
for site in "${sites[@]}"; do
    if [ ! -f "$folder/$site.toml" ]; then
        echo "regression: no site file $folder/$site.toml" >&2
        exit 2
    fi
done
cd "$(dirname "$0")/.."
for site in "${sites[@]}"; do
    "$bench" score "$folder/$site.toml" --why "regression" "$@"
done
