# Bash completion for galenahillctl. Source this file or install it as
# /usr/share/bash-completion/completions/galenahillctl. The options are read from the output of
# --help, so they always match the installed program.
_galenahillctl()
{
    local word=${COMP_WORDS[COMP_CWORD]}
    local commands="apply burn check customers diff explain history outcome remove show status"
    local command="" each
    for each in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
        case " $commands " in
        *" $each "*) command=$each && break ;;
        esac
    done
    if [[ $word == -* ]]; then
        mapfile -t COMPREPLY < <(compgen -W "$(galenahillctl $command --help 2>/dev/null | grep -o -e '--[a-z][a-z-]*=\{0,1\}' | sort -u)" -- "$word")
        if [[ ${COMPREPLY[0]-} == *= ]]; then
            compopt -o nospace 2>/dev/null || true
        fi
    elif [[ -z $command ]]; then
        mapfile -t COMPREPLY < <(compgen -W "$commands" -- "$word")
    elif [[ $command == apply || $command == check || $command == diff || $command == explain ]]; then
        mapfile -t COMPREPLY < <(compgen -f -- "$word")
    fi
}
complete -o filenames -F _galenahillctl galenahillctl
