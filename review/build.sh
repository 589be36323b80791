#!/bin/bash
# Builds what the cases need: the daemon, as deploy/system.toml builds it. The stand-ins of the
# cases are Python 3 programs that use the standard library only and need no build.
cd "$(dirname "$0")/.." || exit 1
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))' || {
  echo "the cases need Python 3.9 or later" >&2
  exit 1
}
cargo build --release --locked --offline -p kestrellock-daemon
