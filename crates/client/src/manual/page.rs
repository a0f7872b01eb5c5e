//! Generates man pages.

use std::fmt::Write;

use crate::manual::{EntryDoc, Program, usage_lines};

impl Program {
    /// Generates the man page in roff.
    pub fn man(&self) -> String {
        let mut page = Page::default();
        let upper = self.name.to_uppercase();
        page.line(&format!(
            ".TH {upper} {} \"\" \"hibiscusvale {}\"",
            self.section,
            env!("CARGO_PKG_VERSION")
        ));
        page.heading("NAME");
        page.line(&format!("{} \\- {}", self.name, escape(self.about)));
        page.heading("SYNOPSIS");
        page.line(&format!(".B {}", self.name));
        page.line("[\\fIOPTIONS\\fR] \\fICOMMAND\\fR [\\fIARGUMENTS\\fR]");
        page.heading("DESCRIPTION");
        for paragraph in self.description {
            page.line(".PP");
            page.line(&escape(paragraph));
        }
        page.heading("OPTIONS");
        page.usage(&self.usage);
        page.heading("COMMANDS");
        for command in &self.commands {
            page.line(&format!(".SS {}", escape(&command.name)));
            page.line(&escape(&command.help));
            page.usage(&command.usage);
        }
        for section in &self.sections {
            page.heading(section.heading);
            section.entries.iter().for_each(|entry| page.entry(entry));
        }
        page.text
    }
}

#[derive(Default)]
struct Page {
    text: String,
}

impl Page {
    fn line(&mut self, line: &str) {
        // Writing to a `String` cannot fail.
        let _ = writeln!(self.text, "{line}");
    }

    fn heading(&mut self, heading: &str) {
        self.line(&format!(".SH {heading}"));
    }

    fn entry(&mut self, entry: &EntryDoc) {
        self.line(".TP");
        self.line(&format!(".B {}", escape(&entry.term)));
        self.line(&escape(&entry.text));
    }

    fn usage(&mut self, usage: &str) {
        for line in usage_lines(usage) {
            self.entry(&EntryDoc { term: line.term, text: line.help });
        }
    }
}

/// Escapes characters that roff would interpret.
fn escape(text: &str) -> String {
    let escaped = text.replace('\\', "\\e").replace('-', "\\-");
    match escaped.chars().next() {
        Some('.' | '\'') => format!("\\&{escaped}"),
        _ => escaped,
    }
}
