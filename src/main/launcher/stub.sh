#!/bin/sh
# Runs the jar that follows this stub in the same file; exec keeps it one process.
exec java ${COLTSFOOTPROXY_JAVA_OPTIONS:--Xms16m -Xmx128m -XX:+UseSerialGC -XX:TieredStopAtLevel=4 -Xss512k} \
    --add-opens java.base/jdk.internal.misc=ALL-UNNAMED -jar "$0" "$@"
