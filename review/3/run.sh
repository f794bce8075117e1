#!/usr/bin/env bash
# Case 3: see claim.txt. TROUBLE=0 sends the same requests without the part that crashes servers.
folder=$(cd "$(dirname "$0")" && pwd)
parts=${PARTS:-3}
events=1
BAD=${BAD:-3}
source "$folder/../poison.sh"
