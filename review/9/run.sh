#!/bin/sh
# Plays the case "reserve" and writes record.txt. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/stand2 ] || exit 2
exec ../../target/stand2 reserve ../.. .
