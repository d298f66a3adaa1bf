#!/usr/bin/env bash
# Fails if a name of the users' platform stands outside platform/, deploy/ and docs: all else speaks the project's terms.
# Also fails if the packages of deploy/system.toml and of scripts/install-packages.sh differ.
set -euo pipefail
cd "$(dirname "$0")/.."

# Headers, calls, tables and programs that only the platform knows. This file and the words' own folder are left out.
names='Not-Executed|Response-Signature|Expect-Instance|Token-Usage|Prompt-Prefix|Deadline-Ms|Engine-Load|Request-Priority'
names+='|rows-tx|rows-feed|rows-get|rows-parts|blob-put|blob-get|blob-drop|blob-list|v1/picked|v1/report|v1/order|v1/readyz'
names+='|fleetbench|MAGNOLIARACK_NODE_FILE|api_keys|traffic_split|path_prefix|target_latency_ms|gap_aim_ms|non_idempotent|drain_ms'
found=$(git grep -nE "$names" -- . ':!platform' ':!deploy' ':!docs' ':!journal' ':!README.md' ':!scripts/check-names.sh' || true)
if [ -n "$found" ]; then
    echo "check-names: names of the platform outside platform/ and deploy/:" >&2
    echo "$found" >&2
    exit 1
fi

packages_of() {
    tr -s ' ,"[]()\n' '\n' <<<"$1" | grep -E '^[a-z0-9][a-z0-9+.-]+$' | sort -u
}
deployed=$(packages_of "$(sed -n 's/^packages = //p' deploy/system.toml)")
installed=$(packages_of "$(sed -n '/^packages=(/,/^)/p' scripts/install-packages.sh | sed '1d;$d')")
missing=$(comm -23 <(echo "$deployed") <(echo "$installed"))
if [ -n "$missing" ]; then
    echo "check-names: packages of deploy/system.toml that scripts/install-packages.sh lacks:" $missing >&2
    exit 1
fi
echo "check-names: names and packages are in their places"
