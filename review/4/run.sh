#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=target/review/case-$(basename "$here")
[ -x target/bilberrywelld ] && [ -x "$program" ] || exit 2
timeout -k 5 115 "$program" "$here" &
trap 'kill $!; wait $!; exit 2' TERM INT
wait $!
code=$?
[ $code -le 1 ] && exit $code
exit 2
