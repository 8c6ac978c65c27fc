#!/usr/bin/env sh
# Checks that the stand-ins and the cases compile. They need Python 3.11 and its standard library only,
# and nothing is installed. The nodes are those of `sh deploy/build`.
set -eu
cd "$(dirname "$0")/.."
python3 - review/standins-2/*.py review/6/*.py review/7/*.py review/8/*.py review/9/*.py \
    review/10/*.py <<'END'
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
print(f"{len(sys.argv) - 1} files compile")
END
[ -d target/deps/jacinthsail ] || { echo "run sh deploy/build first" >&2; exit 1; }
