#!/bin/sh
# Runs the case of a folder: run.sh FOLDER
cd "$1/../.." || exit 2
exec env PYTHONPATH=review/lib3 PYTHONDONTWRITEBYTECODE=1 python3 "$1/case.py"
