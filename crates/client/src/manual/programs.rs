//! Documentation texts of the client and the daemon.

use crate::cmd;
use crate::context::CONFIG_VARIABLE;
use crate::error::EXIT_CODES;
use crate::manual::{CommandDoc, EntryDoc, Program, SectionDoc};

/// Documentation of the operators' client.
pub fn client() -> Program {
    let codes = EXIT_CODES.iter().map(|code| entry(&code.code.to_string(), code.meaning));
    Program {
        name: "hibiscusvale",
        section: 1,
        about: "publish classes of work and inspect their outcomes",
        description: &[
            "An operator publishes classes of work with a latency target for each, and nothing else: no weights, \
             no shares, no addresses of engines. The client writes to the platform's log and asks the daemons \
             what is in force; it stores no state of its own.",
            "A change is based on the version in force. Of two changes based on the same version, the first in the \
             log takes effect and the other is rejected as a conflict. A change whose answer was lost is looked up by \
             its id; publishing it again has no further effect.",
        ],
        usage: cmd::global_usage().to_owned(),
        commands: cmd::command_docs(),
        sections: vec![
            SectionDoc { heading: "EXIT STATUS", entries: codes.collect() },
            SectionDoc {
                heading: "ENVIRONMENT",
                entries: vec![entry(
                    CONFIG_VARIABLE,
                    "path of the client settings, when --config is not given",
                )],
            },
            SectionDoc {
                heading: "FILES",
                entries: vec![
                    entry(
                        "client settings",
                        "TOML with log, hosts, partner, key_file and author; each can also be given as an option",
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

/// Documentation of the daemon.
pub fn daemon() -> Program {
    let file = "  file  settings file\n  -h, --help  print this help\n";
    Program {
        name: "hibiscusvaled",
        section: 8,
        about: "route requests to prefill, decode and plain service pools",
        description: &[
            "One daemon runs on each entry host, and all are identical. It accepts requests from callers, places them \
             on backend servers, and is responsible for their outcome: answered, not run, or unknown. It stores \
             nothing on disk.",
            "The first SIGTERM or SIGINT stops the daemon gracefully: the readiness check fails, the load balancer uses \
             other hosts, and requests in flight run to completion. A second one ends the process at once; callers \
             then lose the answers in progress, and the other daemons release the engine resources held for them.",
            "With `relay` the daemon reads routes and servers from the platform's store and forwards requests \
             unchanged. In this mode SIGHUP reloads the settings, and a further SIGTERM has no effect: the grace \
             period in the settings bounds the shutdown.",
        ],
        usage: "  -h, --help  print this help\n  --version  print the version\n".to_owned(),
        commands: vec![
            CommandDoc {
                name: "check".to_owned(),
                help: "check a settings file and report its errors".to_owned(),
                usage: "  file  settings file\n  -h, --help  print this help\n  --relay  the file is for \
                        `hibiscusvaled relay`\n"
                    .to_owned(),
            },
            CommandDoc {
                name: "relay".to_owned(),
                help: "relay requests by the routes in the platform's store".to_owned(),
                usage: file.to_owned(),
            },
            CommandDoc { name: "run".to_owned(), help: "run the daemon".to_owned(), usage: file.to_owned() },
        ],
        sections: vec![
            SectionDoc {
                heading: "EXIT STATUS",
                entries: vec![
                    entry("0", "stopped gracefully, or the settings are valid"),
                    entry("1", "could not start or continue"),
                    entry("2", "the settings are not valid"),
                ],
            },
            SectionDoc {
                heading: "FILES",
                entries: vec![entry(
                    "settings file",
                    "TOML; docs/OPERATORS.md lists every key with its default and range",
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
