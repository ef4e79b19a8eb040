#!/bin/sh
# Builds the executable file and, from a run of the demonstration, an archive of the classes that a
# host loads. Hosts start without the archive as well, in about twice the processor time.
set -eu
cd "$(dirname "$0")/.."
mvn -B -q -ntp -DskipTests package
if ! java -XX:ArchiveClassesAtExit=target/coltsfootproxy.jsa -Xshare:auto -Xlog:cds=off \
    -Xlog:cds+dynamic=off -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 \
    -jar target/coltsfootproxy.jar fleet-demo > target/fleet-demo.log 2>&1; then
    tail -5 target/fleet-demo.log
    echo "there is no class archive: the demonstration failed"
fi
