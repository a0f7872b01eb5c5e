//! Generates shell completions.

use crate::manual::{CommandDoc, Program, Shell, UsageLine, usage_lines};

impl Program {
    /// Generates the completion script for a shell.
    pub fn completions(&self, shell: Shell) -> String {
        match shell {
            Shell::Bash => self.bash(),
            Shell::Fish => self.fish(),
            Shell::Zsh => self.zsh(),
        }
    }

    fn options(&self) -> Vec<UsageLine> {
        options(&self.usage)
    }

    fn bash(&self) -> String {
        let name = self.name;
        let commands: Vec<_> = self.commands.iter().map(|command| command.name.as_str()).collect();
        let cases = self.commands.iter().map(|command| {
            let words = long_options(&options(&command.usage));
            format!("    {}) words=\"{words}\" ;;\n", command.name)
        });
        format!(
            "_{name}() {{\n  local word words=\"{} {}\"\n  for word in \"${{COMP_WORDS[@]:1:COMP_CWORD-1}}\"; do\n    \
             case \"$word\" in\n{}    esac\n  done\n  mapfile -t COMPREPLY < <(compgen -W \"$words\" -- \
             \"${{COMP_WORDS[COMP_CWORD]}}\")\n}}\ncomplete -o default -F _{name} {name}\n",
            long_options(&self.options()),
            commands.join(" "),
            cases.collect::<String>()
        )
    }

    fn fish(&self) -> String {
        let name = self.name;
        let mut text = String::new();
        for option in self.options() {
            text.push_str(&fish_option(name, "__fish_use_subcommand", &option));
        }
        for CommandDoc { name: command, help, usage } in &self.commands {
            let line =
                format!("complete -c {name} -n __fish_use_subcommand -f -a {command} -d '{}'\n", quote(help));
            text.push_str(&line);
            for option in options(usage) {
                let condition = format!("'__fish_seen_subcommand_from {command}'");
                text.push_str(&fish_option(name, &condition, &option));
            }
        }
        text
    }

    fn zsh(&self) -> String {
        let name = self.name;
        let commands =
            self.commands.iter().map(|command| format!("    '{}:{}'\n", command.name, quote(&command.help)));
        let cases = self.commands.iter().map(|command| {
            format!(
                "    {}) _arguments {} '*:file:_files' ;;\n",
                command.name,
                zsh_options(&options(&command.usage))
            )
        });
        format!(
            "#compdef {name}\n_{name}() {{\n  local -a commands\n  commands=(\n{}  )\n  _arguments -C {} \
             '1:command:->command' '*::argument:->argument'\n  case \"$state\" in\n  command) _describe command commands ;;\n  \
             argument)\n    case \"$words[1]\" in\n{}    esac ;;\n  esac\n}}\n_{name} \"$@\"\n",
            commands.collect::<String>(),
            zsh_options(&self.options()),
            cases.collect::<String>()
        )
    }
}

fn options(usage: &str) -> Vec<UsageLine> {
    usage_lines(usage).into_iter().filter(|line| line.long().is_some()).collect()
}

fn long_options(options: &[UsageLine]) -> String {
    options.iter().filter_map(UsageLine::long).collect::<Vec<_>>().join(" ")
}

fn fish_option(name: &str, condition: &str, option: &UsageLine) -> String {
    let long = option.long().unwrap_or_default().trim_start_matches("--");
    format!("complete -c {name} -n {condition} -l {long} -d '{}'\n", quote(&option.help))
}

fn zsh_options(options: &[UsageLine]) -> String {
    let words = options.iter().map(|option| {
        let help = quote(&option.help).replace(['[', ']'], "");
        format!("'{}[{help}]'", option.long().unwrap_or_default())
    });
    words.collect::<Vec<_>>().join(" ")
}

/// Makes a help text safe inside single quotes: drops apostrophes and escapes colons.
fn quote(text: &str) -> String {
    text.replace('\'', "").replace(':', "\\:")
}
