//! What there is to say of both programs.

use crate::cmd;
use crate::context::CONFIG_VARIABLE;
use crate::error::EXIT_CODES;
use crate::manual::{CommandDoc, EntryDoc, Program, SectionDoc};

/// The operators' client.
pub fn client() -> Program {
    let codes = EXIT_CODES.iter().map(|code| entry(&code.code.to_string(), code.meaning));
    Program {
        name: "hibiscusvale",
        section: 1,
        about: "publish classes of work and see what becomes of them",
        description: &[
            "An operator publishes classes of work with a latency target for each, and nothing else: no weights, \
             no shares, no addresses of engines. The client writes to the platform's log and asks the daemons what \
             is in force; it keeps nothing.",
            "A change is made from the version in force. Of two changes made from one version the first in the \
             log counts, and the operator of the other is told. A change whose answer was lost is looked up by its \
             id; publishing it again changes nothing more.",
        ],
        usage: cmd::global_usage().to_owned(),
        commands: cmd::command_docs(),
        sections: vec![
            SectionDoc { heading: "EXIT STATUS", entries: codes.collect() },
            SectionDoc {
                heading: "ENVIRONMENT",
                entries: vec![entry(CONFIG_VARIABLE, "client settings, when --config is not given")],
            },
            SectionDoc {
                heading: "FILES",
                entries: vec![
                    entry(
                        "client settings",
                        "TOML with log, hosts, partner, key_file and author; each can be given as an option instead",
                    ),
                    entry(
                        "class file",
                        "TOML with a table [classes.NAME] per class: kind = \"language\" with first_token_ms and \
                         per_token_ms, or kind = \"plain\" with response_ms",
                    ),
                ],
            },
            SectionDoc { heading: "SEE ALSO", entries: vec![entry("hibiscusvaled(8)", "the daemon")] },
        ],
    }
}

/// The daemon.
pub fn daemon() -> Program {
    let file = "  file  settings file\n  -h, --help  print this help\n";
    Program {
        name: "hibiscusvaled",
        section: 8,
        about: "route requests to prefill, decode and plain service pools",
        description: &[
            "One daemon runs on each entry host, and all are the same. It takes requests of callers in, places them \
             on backend servers, and owns their outcome: answered, not run, or unknown. It keeps nothing on disk.",
            "The first SIGTERM or SIGINT stops gracefully: readiness fails, the balancer looks elsewhere, and requests \
             in flight end in their own time. A second one ends the process at once; callers then lose the answers \
             that were on their way, and the other daemons release what the engines held for them.",
            "With `relay` the daemon reads routes and servers from the platform's store and passes requests on \
             unchanged. There SIGHUP has the settings read again, and a further SIGTERM changes nothing: the grace \
             period of the settings bounds the stop.",
        ],
        usage: "  -h, --help  print this help\n  --version  print the version\n".to_owned(),
        commands: vec![
            CommandDoc {
                name: "check".to_owned(),
                help: "check a settings file and say what is wrong with it".to_owned(),
                usage: "  file  settings file\n  -h, --help  print this help\n  --relay  the file is for \
                        `hibiscusvaled relay`\n"
                    .to_owned(),
            },
            CommandDoc {
                name: "relay".to_owned(),
                help: "relay by the routes in the platform's store".to_owned(),
                usage: file.to_owned(),
            },
            CommandDoc { name: "run".to_owned(), help: "run the daemon".to_owned(), usage: file.to_owned() },
        ],
        sections: vec![
            SectionDoc {
                heading: "EXIT STATUS",
                entries: vec![
                    entry("0", "stopped gracefully, or the settings are in order"),
                    entry("1", "could not start or go on"),
                    entry("2", "the settings cannot be used"),
                ],
            },
            SectionDoc {
                heading: "FILES",
                entries: vec![entry(
                    "settings file",
                    "TOML; every key, its default and its range stand in docs/OPERATORS.md",
                )],
            },
            SectionDoc {
                heading: "SEE ALSO",
                entries: vec![entry("hibiscusvale(1)", "the operators' client")],
            },
        ],
    }
}

fn entry(term: &str, text: &str) -> EntryDoc {
    EntryDoc { term: term.to_owned(), text: text.to_owned() }
}
