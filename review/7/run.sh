#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no hang.
here=$(cd "$(dirname "$0")" && pwd)
[ -f "$here/../standins-2/target/HungStream.class" ] || { echo "run review/build-2.sh first" >&2; exit 2; }
exec java -Xmx256m -cp "$here/../standins-2/target" HungStream "$here"
