#!/bin/bash
# 1, 4 and 64 user agents in closed loop, at a server and through the router, the router on one core (README.md).
# Usage, from the project's directory after a build: benchmarks/matrix.sh [SECONDS [SERVERS [JAR [PIPELINE]]]]
seconds=${1:-5}
servers=${2:-1}
jar=${3:-target/slateseam.jar}
pipeline=${4:-1}
flags="-Xms24m -Xmx64m -XX:MaxDirectMemorySize=16m -XX:MaxMetaspaceSize=40m -XX:ReservedCodeCacheSize=24m -Xss512k
    -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:-UsePerfData -XX:+ExitOnOutOfMemoryError"
one=
rest=
if command -v taskset >/dev/null && [ "$(nproc)" -gt 1 ]; then
    list=$(taskset -cp $$ | sed 's/.*: //')
    for part in ${list//,/ }; do
        cores+=($(seq "${part%-*}" "${part#*-}"))
    done
    one="taskset -c ${cores[-1]}"
    rest="taskset -c $(IFS=,; echo "${cores[*]:0:${#cores[@]}-1}")"
fi
$rest java examples/ToyFarm.java "$servers" quiet >/dev/null &
farm=$!
$one java $flags -jar "$jar" serve --config examples/config.json &
router=$!
trap 'kill $router $farm' EXIT
for port in 7001 6379; do
    for try in {1..150}; do
        (exec 3<>/dev/tcp/127.0.0.1/$port) 2>/dev/null && break
        sleep 0.2
    done
done
loop="$rest java benchmarks/ClosedLoop.java"
$loop 127.0.0.1:6379 --seconds 5 >/dev/null # so that the router has compiled what is measured
for agents in 1 4 64; do
    $loop 127.0.0.1:7001 --agents $agents --seconds "$seconds" --pipeline "$pipeline" --direct
    $loop 127.0.0.1:6379 --agents $agents --seconds "$seconds" --pipeline "$pipeline" --process $router
done
