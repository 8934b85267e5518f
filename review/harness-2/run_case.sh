# Runs one case from its folder. Sourced by run.sh, which sets `program`. Exit: 1 broken, 0 held, 2 could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
case_binary=target/review-2/$program
if [ ! -x target/shedleverd ] || [ ! -x "$case_binary" ]; then
  echo "build first: the build of deploy/system.toml, then review/build-2.sh" >&2
  exit 2
fi
folder=$(mktemp -d)
"$case_binary" "$here/record.txt" "$folder"
result=$?
rm -rf "$folder"
exit $result
