#!/bin/bash
# Runs one case, in a temporary folder. Usage: review/support-2/run-case.sh N
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't
# run. With TROUBLE=0, the case runs without its disruption.
set -u
cd "$(dirname "$0")/../.."
number=$1
program=target/review-2/case-$number
if [ ! -x "$program" ] || [ ! -x target/bin/bergamot-node ]; then
  echo "build the deploy file and run review/build-2.sh first" >&2
  exit 2
fi
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
RECORD=review/$number/record.txt timeout -k 2 110 "$program" "$folder" >/dev/null
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
