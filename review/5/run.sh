#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run.  TROUBLE=0: without the
# disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/cherryarch ] && [ -x review/bin/case5 ] || exit 2
TROUBLE=${TROUBLE:-1} exec review/bin/case5 "$here"
