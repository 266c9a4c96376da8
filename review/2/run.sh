#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")" || exit 2
command -v node > /dev/null || exit 2
exec node case.mjs "$PWD/record.txt"
