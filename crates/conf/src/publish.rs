//! The state machine of one publish.
//!
//! The catalogue is one object, and each publish is one conditional update of it. The machine reads the catalogue, checks
//! that nobody changed the published files since the base revision, and writes the next revision under its own publish id.
//! When the reply is lost, the same update is sent again until the object's version moves; the log of the catalogue then
//! shows which publish made the revision.

use std::sync::Arc;

use base::Code;
use base::Revision;
use compact_str::CompactString;
use decl::Catalogue;
use decl::Changes;
use decl::Taken;
use snafu::Snafu;

/// Largest catalogue that the platform accepts, in bytes of JSON.
const MAX_BYTES: usize = 1 << 20;

/// Updates that are sent before a publish gives up; each lost race means that another publish was accepted.
const MAX_UPDATES: u32 = 16;

/// Consecutive reads that may fail or lag before a publish gives up.
const MAX_READS: u32 = 16;

/// What happened to the action before.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Begins the publish.
    Start,
    /// The catalogue was read; version zero with the empty catalogue means that there is none.
    Found {
        /// Version of the object.
        version: u64,
        /// Its value.
        catalogue: Box<Catalogue>,
    },
    /// The catalogue could not be read.
    ReadFailed,
    /// The update took effect.
    Applied,
    /// The object has another version, and this sending of the update did not take effect.
    Conflict {
        /// Version of the object.
        version: u64,
    },
    /// The update was not sent.
    NotSent,
    /// The update may have taken effect.
    ReplyLost,
    /// The time for the publish is over.
    TimedOut,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read the catalogue.
    Read {
        /// Whether to wait first, because the platform failed or lags.
        pause: bool,
    },
    /// Update the catalogue if it still has a version.
    Update {
        /// The expected version.
        if_version: u64,
        /// The next revision.
        catalogue: Arc<Catalogue>,
    },
    /// The publish has ended.
    Finish(PublishResult),
}

/// How a publish ended.
#[derive(Debug, Clone, PartialEq)]
pub enum PublishResult {
    /// The publish made a revision.
    Accepted {
        /// The new revision.
        revision: Revision,
    },
    /// The files already have this content, so no revision was made.
    Unchanged {
        /// Revision that was read.
        revision: Revision,
    },
    /// The publish did not take effect and cannot take effect later.
    Refused(Refusal),
    /// The publish may have taken effect; repeating it is safe and settles it.
    Unknown {
        /// Revision that the publish has made if it took effect.
        revision: Revision,
    },
}

/// Why a publish was refused.
#[derive(Debug, Clone, PartialEq, Snafu)]
pub enum Refusal {
    /// Another publish changed the same file after the base revision.
    #[snafu(display("{file} was changed at revision {revision}, after base revision {base}"))]
    Changed {
        /// File that both publishes change.
        file: CompactString,
        /// Revision that changed it.
        revision: Revision,
        /// Revision that this publish is based on.
        base: Revision,
    },
    /// Another file declares the same service.
    #[snafu(display("{taken}"))]
    ServiceTaken {
        /// Both files and the service.
        taken: Taken,
    },
    /// The base revision is too old for a comparison of files, or the platform does not have it.
    #[snafu(display("base revision {base} cannot be compared with revision {revision}"))]
    StaleBase {
        /// Revision that this publish is based on.
        base: Revision,
        /// Revision in the platform.
        revision: Revision,
    },
    /// The merged catalogue is larger than the platform accepts.
    #[snafu(display(
        "the catalogue would have {bytes} bytes, and the platform accepts {MAX_BYTES}"
    ))]
    TooLarge {
        /// Size of the catalogue as JSON.
        bytes: usize,
    },
    /// The platform could not be reached, and nothing was sent that can take effect.
    #[snafu(display("the platform is unavailable"))]
    Unavailable,
    /// Other publishes were accepted first, time after time.
    #[snafu(display("{MAX_UPDATES} other publishes were accepted first"))]
    Contended,
}

impl Refusal {
    /// Returns the result code.
    pub fn code(&self) -> Code {
        match self {
            Refusal::Changed { .. } | Refusal::ServiceTaken { .. } | Refusal::Contended => {
                Code::PublishConflict
            }
            Refusal::StaleBase { .. } => Code::PublishStale,
            Refusal::TooLarge { .. } => Code::InvalidDeclaration,
            Refusal::Unavailable => Code::PlatformUnavailable,
        }
    }
}

/// An update that was sent.
#[derive(Debug)]
struct Sent {
    if_version: u64,
    catalogue: Arc<Catalogue>,
    // Sendings whose result is not known; while there are any, the publish may have taken effect.
    open: u32,
}

/// The state machine of one publish; each event gives the next action.
#[derive(Debug)]
pub struct Publish {
    id: CompactString,
    changes: Changes,
    base: Option<Revision>,
    // Highest version seen; a read below it lags.
    version: u64,
    sent: Option<Sent>,
    updates: u32,
    reads: u32,
}

impl Publish {
    /// Creates a publish of files under an id that no other publish has.
    ///
    /// Without a base revision, the publish is based on the revision that it reads first.
    pub fn new(id: impl Into<CompactString>, changes: Changes, base: Option<Revision>) -> Publish {
        Publish {
            id: id.into(),
            changes,
            base,
            version: 0,
            sent: None,
            updates: 0,
            reads: 0,
        }
    }

    /// Returns the revision that the publish is based on, once it is known.
    pub fn base(&self) -> Option<Revision> {
        self.base
    }

    /// Advances the publish; the caller carries out the action and reports its result as the next event.
    pub fn handle(&mut self, event: Event) -> Action {
        match event {
            Event::Start => Action::Read { pause: false },
            Event::Found { version, catalogue } => self.receive(version, *catalogue),
            Event::ReadFailed => self.read_again(Refusal::Unavailable),
            Event::Applied => self.accept(),
            Event::Conflict { version } => {
                self.version = self.version.max(version);
                self.close_sending();
                Action::Read { pause: false }
            }
            Event::NotSent => {
                self.close_sending();
                Action::Read { pause: true }
            }
            Event::ReplyLost => Action::Read { pause: true },
            Event::TimedOut => self.give_up(Refusal::Unavailable),
        }
    }

    fn receive(&mut self, version: u64, catalogue: Catalogue) -> Action {
        if version < self.version {
            return self.read_again(Refusal::Unavailable);
        }
        self.version = version;
        match self.sent.take() {
            Some(sent) if sent.if_version == version => {
                self.reads = 0;
                self.send(sent)
            }
            Some(sent) => self.settle(sent, version, catalogue),
            None => self.plan(version, catalogue),
        }
    }

    /// Finds out whether an update whose reply was lost took effect; it cannot do so later, as the version has moved.
    fn settle(&mut self, sent: Sent, version: u64, catalogue: Catalogue) -> Action {
        let revision = sent.catalogue.revision;
        match catalogue.publisher(revision) {
            Some(publish) if *publish == self.id => {
                Action::Finish(PublishResult::Accepted { revision })
            }
            Some(_) => self.plan(version, catalogue),
            None => Action::Finish(PublishResult::Unknown { revision }),
        }
    }

    fn plan(&mut self, version: u64, catalogue: Catalogue) -> Action {
        let revision = catalogue.revision;
        let base = *self.base.get_or_insert(revision);
        if base > revision {
            return self.read_again(Refusal::StaleBase { base, revision });
        }
        self.reads = 0;
        let next = match self.next_revision(base, &catalogue) {
            Ok(Some(next)) => next,
            Ok(None) => return Action::Finish(PublishResult::Unchanged { revision }),
            Err(refusal) => return Action::Finish(PublishResult::Refused(refusal)),
        };
        self.send(Sent {
            if_version: version,
            catalogue: Arc::new(next),
            open: 0,
        })
    }

    fn next_revision(
        &self,
        base: Revision,
        catalogue: &Catalogue,
    ) -> Result<Option<Catalogue>, Refusal> {
        let revision = catalogue.revision;
        let changes = self.changes.iter();
        let mut differing = changes
            .filter(|(file, content)| !catalogue.has_file(file, content.as_ref()))
            .peekable();
        if differing.peek().is_some() && !catalogue.covers(base) {
            return Err(Refusal::StaleBase { base, revision });
        }
        for (file, _) in differing {
            if let Some(revision) = catalogue.file_changed(file, base) {
                return Err(Refusal::Changed {
                    file: file.clone(),
                    revision,
                    base,
                });
            }
        }
        let next = catalogue
            .with_changes(&self.changes, &self.id)
            .map_err(|taken| Refusal::ServiceTaken { taken })?;
        match next.as_ref().map(count_bytes) {
            Some(bytes) if bytes > MAX_BYTES => Err(Refusal::TooLarge { bytes }),
            _ => Ok(next),
        }
    }

    fn send(&mut self, mut sent: Sent) -> Action {
        if self.updates == MAX_UPDATES {
            self.sent = Some(sent);
            return self.give_up(Refusal::Contended);
        }
        self.updates += 1;
        sent.open += 1;
        let action = Action::Update {
            if_version: sent.if_version,
            catalogue: Arc::clone(&sent.catalogue),
        };
        self.sent = Some(sent);
        action
    }

    /// Forgets a sending that did not take effect, and the update when no other sending of it is open.
    fn close_sending(&mut self) {
        if let Some(sent) = &mut self.sent {
            sent.open = sent.open.saturating_sub(1);
        }
        self.sent.take_if(|sent| sent.open == 0);
    }

    fn accept(&mut self) -> Action {
        match &self.sent {
            Some(sent) => Action::Finish(PublishResult::Accepted {
                revision: sent.catalogue.revision,
            }),
            None => Action::Read { pause: false },
        }
    }

    fn read_again(&mut self, refusal: Refusal) -> Action {
        self.reads += 1;
        if self.reads > MAX_READS {
            return self.give_up(refusal);
        }
        Action::Read { pause: true }
    }

    fn give_up(&mut self, refusal: Refusal) -> Action {
        Action::Finish(match &self.sent {
            Some(sent) if sent.open > 0 => PublishResult::Unknown {
                revision: sent.catalogue.revision,
            },
            _ => PublishResult::Refused(refusal),
        })
    }
}

/// Counts the bytes of a catalogue as JSON without building the text.
fn count_bytes(catalogue: &Catalogue) -> usize {
    struct Counter(usize);
    impl std::io::Write for Counter {
        fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
            self.0 += bytes.len();
            Ok(bytes.len())
        }
        fn flush(&mut self) -> std::io::Result<()> {
            Ok(())
        }
    }
    let mut counter = Counter(0);
    match serde_json::to_writer(&mut counter, catalogue) {
        Ok(()) => counter.0,
        // A catalogue that cannot be written as JSON is refused like one that is too large.
        Err(_) => usize::MAX,
    }
}
