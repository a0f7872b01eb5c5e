_hibiscusvaled() {
  local word words="--help --version check relay run"
  for word in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
    case "$word" in
    check) words="--help --relay" ;;
    relay) words="--help" ;;
    run) words="--help" ;;
    esac
  done
  mapfile -t COMPREPLY < <(compgen -W "$words" -- "${COMP_WORDS[COMP_CWORD]}")
}
complete -o default -F _hibiscusvaled hibiscusvaled
