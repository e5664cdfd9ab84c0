# Reads the output of go test and prints the packages that a crash of the race detector itself has ended. Exits with 1 if
# anything else has failed, or nothing.
/ThreadSanitizer: CHECK failed/ { crashed = 1 }
/^ *--- FAIL/ || /^panic: / || /^fatal error: / || /WARNING: DATA RACE/ { failed = 1 }
/^FAIL\t/ {
  if (crashed && !failed) {
    ended[++count] = $2
  } else {
    other = 1
  }
}
/^(ok|FAIL|\?) *\t/ { crashed = 0; failed = 0 }
END {
  if (other || failed || crashed || count == 0) exit 1
  for (i = 1; i <= count; i++) print ended[i]
}
