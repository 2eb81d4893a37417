#!/usr/bin/env bash
# Plays this case: exit status 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. With TROUBLE=0 nothing is disrupted.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 1 115 "build-review/$(basename "$here")" "$folder" "$here/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
