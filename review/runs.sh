#!/usr/bin/env bash
# Plays a case several times: runs.sh N [TIMES]; prints how each run ended.
cd "$(dirname "$0")" || exit 2
for _ in $(seq "${2:-5}"); do
  "./$1/run.sh"
  echo "case $1, TROUBLE=${TROUBLE:-1}: exit $?"
  grep result: "$1/record.txt" | cut -c10-
done
