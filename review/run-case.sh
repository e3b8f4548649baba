#!/usr/bin/env bash
# Runs the case of the folder given. Exits with 1 if the rule was broken, with
# 0 if it held and with 2 if the case couldn't run.
set -uo pipefail
cd "$(dirname "$0")/.."

number=$1
program=target/review/case-$number
if [ ! -x target/bin/bergamot-node ] || [ ! -x "$program" ]; then
  echo "build the deploy file and review/build.sh first" >&2
  exit 2
fi
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
# timeout makes a process group, in which all processes of the case are.
timeout --kill-after=2 110 "$program" "$folder" "review/$number/record.txt" &
group=$!
wait "$group"
status=$?
kill -KILL -- "-$group" 2>/dev/null
[ "$status" -le 1 ] && exit "$status"
exit 2
