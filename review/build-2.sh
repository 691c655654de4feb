#!/bin/sh
# Builds the stand-ins of the cases 4 to 8 into target/.
set -eu
cd "$(dirname "$0")/second"
go build -o ../../target/review-second .
cd ../third
go build -o ../../target/gypsumthird .
