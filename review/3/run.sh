#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/hostcase ] && [ -x ../../target/hazelfleet ] || { echo "build the programs first"; exit 2; }
exec timeout -k 3 116 ../bin/hostcase "$(cd ../.. && pwd)" record.txt
