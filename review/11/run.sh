#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# With TROUBLE=0 the same is done without the disruption.
cd "$(dirname "$0")/../.." || exit 2
case "${TROUBLE:=1}" in
0 | 1) ;;
*)
	echo "TROUBLE is 0 or 1" >&2
	exit 2
	;;
esac
export TROUBLE
[ -x target/bulrushpost ] && [ -x build/review-3/watches ] || exit 2
timeout -k 5 115 build/review-3/watches review/11/record.txt
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
