#!/bin/sh
# Runs the jar that is appended to this stub. exec replaces the shell, so that there is only one
# process.
exec java ${COLTSFOOTPROXY_JAVA_OPTIONS:--Xms16m -Xmx128m -XX:+UseSerialGC -XX:TieredStopAtLevel=4 -Xss512k -XX:+ExitOnOutOfMemoryError} \
    --add-opens java.base/jdk.internal.misc=ALL-UNNAMED -jar "$0" "$@"
