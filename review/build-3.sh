#!/bin/bash
# Builds the stand-ins that the scripts of review/11 to review/15 start. They are Python programs of the standard
# library, so that there is nothing to compile: this checks that the interpreter can load them.
cd "$(dirname "$0")/standin-3" || exit 1
for module in site_parts checked_site; do
    PYTHONDONTWRITEBYTECODE=1 python3 -c "import $module" || exit 1
done
echo 'the stand-ins can be loaded'
