#!/usr/bin/env bash
# Checks format and lints every source file. `scripts/lint.sh --fix` formats in place.
# `scripts/lint.sh FILE...` lints just these files.
#
# A source that was clean is linted again only once it, a header of the project that its build read, its compile
# command, the linter's settings or an installed package has changed. Without a build all are linted.
set -euo pipefail
cd "$(dirname "$0")/.."

if [ "${1:-}" = --fix ]; then
    git ls-files -z '*.h' '*.cpp' | xargs -0 clang-format -i
    exit 0
fi
if [ $# -gt 0 ]; then
    clang-format --dry-run -Werror "$@"
    printf '%s\n' "$@" | { grep '\.cpp$' || true; } | xargs -r -P "$(nproc)" -n 1 clang-tidy -p build --quiet
    exit 0
fi
git ls-files -z '*.h' '*.cpp' | xargs -0 clang-format --dry-run -Werror
echo "lint: format is clean"

clean="${XDG_CACHE_HOME:-$HOME/.cache}/magnoliarack-lint"
mkdir -p "$clean"
root=$PWD
export root clean
common=$({ clang-tidy --version; cat .clang-tidy; dpkg-query -W; } | sha256sum)
export common

# Prints "SOURCE FILE" for each file of the project that the build of SOURCE read.
readBySources() {
    ninja -C build -t deps | awk -v root="$root/" '
        /^[^ ]/ { source = ""; next }
        NF == 0 { next }
        { file = $1; sub("^" root, "", file); sub("^[.][.]/", "", file) }
        file ~ /^\// { next }
        source == "" { source = file }
        { print source, file }' | sort -u
}

# Prints "KEY SOURCE" for each source; sources that no build has read have a key of their own each time.
keys() {
    declare -A hashes read
    while read -r hash file; do
        hashes[$file]=$hash
    done < <(git ls-files -z '*.h' '*.cpp' | xargs -0 sha256sum)
    while read -r source file; do
        read[$source]+="$file ${hashes[$file]:-new} "
    done < <(readBySources)
    while read -r source; do
        command=$(grep -F -- "-c $root/$source\"" build/compile_commands.json || true)
        key=$(sha256sum <<<"$common ${command//$root/} ${read[$source]:-$RANDOM$RANDOM$RANDOM}")
        echo "${key%% *} $source"
    done < <(git ls-files '*.cpp')
}

lintOne() {
    [ -e "$clean/$1" ] && return 0
    clang-tidy -p build --quiet "$2" 2>/dev/null && touch "$clean/$1"
}
export -f lintOne

keys | xargs -P "$(nproc)" -L 1 bash -c 'lintOne "$0" "$1"'
echo "lint: clang-tidy is clean"
