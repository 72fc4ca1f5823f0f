#!/bin/sh
# Runs the case after review/build.sh; exits with 1 if the rule was broken, 0 if it held, 2 if the
# case couldn't run. TROUBLE=0 leaves out the disruptions.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -f target/wagtailpin.jar ] && [ -f target/review/review/SilentStore.class ] || exit 2
java -cp "target/review:target/lib/*" review.SilentStore "$here/record.txt" &
pid=$!
# The Java process ends all that it has started when it gets SIGTERM.
trap 'kill "$pid"; wait "$pid"; exit 2' HUP INT TERM
wait "$pid"
case $? in
  10) exit 0 ;;
  11) exit 1 ;;
  *) exit 2 ;;
esac
