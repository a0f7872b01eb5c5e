_hibiscusvale() {
  local word words="--help --version --json --config --log --host --partner --key-file --author completions delete history keygen list losses man members outcomes publish status story validate wait why"
  for word in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
    case "$word" in
    completions) words="--help --daemon" ;;
    delete) words="--help --no-wait --timeout-ms" ;;
    history) words="--help --all" ;;
    keygen) words="--help --out" ;;
    list) words="--help --all --toml" ;;
    losses) words="--help --first-event-ms --pause-ms" ;;
    man) words="--help --daemon" ;;
    members) words="--help" ;;
    outcomes) words="--help --all" ;;
    publish) words="--help --class --first-token-ms --per-token-ms --response-ms --no-wait --timeout-ms" ;;
    status) words="--help" ;;
    story) words="--help" ;;
    validate) words="--help" ;;
    wait) words="--help --offset --timeout-ms" ;;
    why) words="--help" ;;
    esac
  done
  mapfile -t COMPREPLY < <(compgen -W "$words" -- "${COMP_WORDS[COMP_CWORD]}")
}
complete -o default -F _hibiscusvale hibiscusvale
