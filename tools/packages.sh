#!/usr/bin/env bash
# Installs the Debian packages that the build needs; does nothing when all are there.
set -euo pipefail

packages=(
  g++ cmake ninja-build pkg-config ccache clang-format clang-tidy
  libglib2.0-dev libcapnp-dev capnproto libsoup-3.0-dev glib-networking libcxxopts-dev liblog4cplus-dev
  librapidcheck-dev nlohmann-json3-dev libboost-dev libssl-dev openssl libxxhash-dev libgtest-dev
)

missing=()
for package in "${packages[@]}"; do
  if ! dpkg-query -W -f '${Status}' "$package" 2>/dev/null | grep -q 'install ok installed'; then
    missing+=("$package")
  fi
done
if [ "${#missing[@]}" -gt 0 ]; then
  echo "Installing: ${missing[*]}"
  export DEBIAN_FRONTEND=noninteractive
  apt-get update -qq
  apt-get install -y -qq --no-install-recommends "${missing[@]}"
fi
