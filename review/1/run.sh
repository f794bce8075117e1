#!/usr/bin/env bash
# Case 1: see claim.txt. TROUBLE=0 sends the same requests without the part that crashes servers.
folder=$(cd "$(dirname "$0")" && pwd)
parts=${PARTS:-40}
events=0
source "$folder/../poison.sh"
