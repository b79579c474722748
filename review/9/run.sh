#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx128m -cp target/review-2 Case9 review/9
