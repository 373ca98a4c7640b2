#!/bin/bash
# What a router pinned by itself spends on large values, hits and misses (README.md, docs/CAPACITY.md).
# Usage, from the project's directory after a build: benchmarks/values.sh [SECONDS [AGENTS [JAR]]]
seconds=${1:-5}
agents=${2:-4}
jar=${3:-target/slateseam.jar}
flags="-Xms24m -Xmx64m -XX:MaxDirectMemorySize=16m -XX:MaxMetaspaceSize=40m -XX:ReservedCodeCacheSize=24m -Xss512k
    -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:-UsePerfData -XX:+ExitOnOutOfMemoryError"
list=$(taskset -cp $$ | sed 's/.*: //')
for part in ${list//,/ }; do
    cores+=($(seq "${part%-*}" "${part#*-}"))
done
one="taskset -c ${cores[-1]}"
rest="taskset -c $(IFS=,; echo "${cores[*]:0:${#cores[@]}-1}")"
trap 'kill $farm $router 2>/dev/null' EXIT

# BYTES [forget]: a farm and a router of their own, a warm-up, then the play.
play() {
    $rest java -Xmx1g examples/ToyFarm.java 1 quiet "$@" >/dev/null &
    farm=$!
    $one java $flags -jar "$jar" serve --config examples/config.json 2>/dev/null &
    router=$!
    for port in 7001 6379; do
        for try in {1..300}; do
            (exec 3<>/dev/tcp/127.0.0.1/$port) 2>/dev/null && break
            sleep 0.1
        done
    done
    loop="$rest java benchmarks/ClosedLoop.java 127.0.0.1:6379 --agents $agents --keys 8 --process $router"
    $loop --seconds 3 >/dev/null
    echo "values of $1 bytes${2:+, $2}; load of the machine $(cut -d' ' -f1 /proc/loadavg)"
    $loop --seconds "$seconds"
    grep -E 'VmHWM' /proc/$router/status
    kill $router $farm
    wait $router $farm 2>/dev/null
}

for bytes in 100 65536 1048576; do
    play $bytes
    play $bytes forget
done
