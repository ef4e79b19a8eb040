#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
timeout 115 java -Xmx512m -Djdk.httpclient.allowRestrictedHeaders=host \
    -cp target/review Routes review/2
case $? in
    0) exit 0 ;;
    11) exit 1 ;;
    *) exit 2 ;;
esac
