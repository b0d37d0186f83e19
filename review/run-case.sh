# Runs the case $1 and writes the record into the folder $2. With $3 = 0 the case is played without its
# disruption. Sourced by the scripts of the cases.
run_case() {
  local case=$1 folder=$2 trouble=$3 code
  cd "$folder/../.."
  for program in target/release/dragonflylead-platform target/review/standin; do
    if [ ! -x "$program" ]; then
      echo "$program is missing: build the deploy file, then run review/build.sh"
      exit 2
    fi
  done
  timeout 115 target/review/standin "$case" "$folder/record.txt" "$trouble" && code=0 || code=$?
  case $code in
    0 | 1) exit "$code" ;;
    *) exit 2 ;;
  esac
}
