#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/review-standin2 ] || [ ! -x target/pimentospread ]; then
	echo "build the hosts and run review/build-2.sh first"
	exit 2
fi
exec bin/review-standin2 copies review/10/record.txt
