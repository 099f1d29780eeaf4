#!/usr/bin/env bash
# Each library has one public header, FOLDER/FOLDER.h. Fails when code of another folder includes any other header of it.
# Tests may include the internals of the folder that they mirror.
set -euo pipefail
cd "$(dirname "$0")/.."

status=0
while IFS=: read -r file line text; do
  header=$(sed -E 's/.*"([^"]+)".*/\1/' <<<"$text")
  folder=${header%%/*}
  own=${file%%/*}
  if [ "$own" = tests ]; then
    own=$(cut -d/ -f2 <<<"$file")
  fi
  if [ -d "$folder" ] && [ "$folder" != "$own" ] && [ "$folder" != tests ] && [ "$header" != "$folder/$folder.h" ]; then
    echo "$file:$line: includes $header; include $folder/$folder.h" >&2
    status=1
  fi
done < <(git ls-files --cached --others --exclude-standard '*.h' '*.cc' | xargs grep -nE '^#include "[a-z_]+/' /dev/null)
exit "$status"
