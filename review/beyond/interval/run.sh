#!/bin/sh
# Like the scripts of the cases; no case, see README.txt.
cd "$(dirname "$0")/../../.." || exit 2
[ -x review/build/interval ] || { echo "run review/build.sh first"; exit 2; }
exec review/build/interval review/beyond/interval
