//! The state machine of one publish.
//!
//! The catalogue is one object, and each publish is one conditional update of it. The state machine reads the
//! catalogue, checks that no other publish changed the same files since the base revision, and writes the next revision
//! under its own publish ID. When the reply is lost, the same update is sent again until the object's version changes;
//! the log of the catalogue then shows which publish created the revision.

use std::sync::Arc;

use base::Code;
use base::Revision;
use compact_str::CompactString;
use decl::Catalogue;
use decl::Changes;
use decl::ServiceConflict;
use snafu::Snafu;

/// Largest catalogue, as JSON, that the platform accepts.
const MAX_CATALOGUE_BYTES: usize = 1 << 20;

/// Updates that a publish sends before it is abandoned; each conflict means that another publish was accepted.
const MAX_UPDATES: u32 = 16;

/// Consecutive reads that may fail or lag before a publish is abandoned.
const MAX_FAILED_READS: u32 = 16;

/// An input of a [`Publish`]: the result of the last action, or a timeout.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Start the publish.
    Start,
    /// The catalogue was read; version zero with an empty catalogue means that the object doesn't exist.
    Found {
        /// Version of the object.
        version: u64,
        /// Value of the object.
        catalogue: Box<Catalogue>,
    },
    /// The read failed.
    ReadFailed,
    /// The update took effect.
    Applied,
    /// The object has another version, and this send of the update did not take effect.
    Conflict {
        /// Version of the object.
        version: u64,
    },
    /// The update was not sent.
    NotSent,
    /// The reply was lost, and the update may have taken effect.
    ReplyLost,
    /// The deadline of the publish has passed.
    TimedOut,
}

/// An output of a [`Publish`].
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read the catalogue.
    Read {
        /// Whether to wait before the read, because the platform failed or lags.
        pause: bool,
    },
    /// Update the catalogue if it still has the expected version.
    Update {
        /// The expected version.
        if_version: u64,
        /// The next revision.
        catalogue: Arc<Catalogue>,
    },
    /// The publish has ended.
    Finish(PublishResult),
}

/// Result of a publish.
#[derive(Debug, Clone, PartialEq)]
pub enum PublishResult {
    /// The publish created a revision.
    Accepted {
        /// The new revision.
        revision: Revision,
    },
    /// The files already have this content, so no revision was created.
    Unchanged {
        /// Revision that was read.
        revision: Revision,
    },
    /// The publish did not take effect and cannot take effect later.
    Refused(Refusal),
    /// The publish may have taken effect; repeating it is safe and resolves this.
    Unknown {
        /// Revision that the publish has created if it took effect.
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
    #[snafu(display("{conflict}"))]
    ServiceTaken {
        /// Both files and the service.
        conflict: ServiceConflict,
    },
    /// The base revision is older than the catalogue's log of changes, or the platform does not have it.
    #[snafu(display("base revision {base} cannot be compared with revision {revision}"))]
    StaleBase {
        /// Revision that this publish is based on.
        base: Revision,
        /// Revision in the platform.
        revision: Revision,
    },
    /// The merged catalogue is larger than the platform accepts.
    #[snafu(display(
        "the catalogue would have {bytes} bytes, and the platform accepts {MAX_CATALOGUE_BYTES}"
    ))]
    TooLarge {
        /// Size of the catalogue as JSON.
        bytes: usize,
    },
    /// The platform could not be reached, and no update that was sent can still take effect.
    #[snafu(display("the platform is unavailable"))]
    Unavailable,
    /// Every update of this publish conflicted with another publish.
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

/// An update that was sent at least once and may have taken effect.
#[derive(Debug)]
struct SentUpdate {
    if_version: u64,
    catalogue: Arc<Catalogue>,
    // Sends whose result is unknown; while there are any, the publish may have taken effect.
    unresolved: u32,
}

/// The state machine of one publish; each event results in the next action.
#[derive(Debug)]
pub struct Publish {
    id: CompactString,
    changes: Changes,
    base: Option<Revision>,
    // Highest version seen; a read that returns a lower one is stale.
    version: u64,
    sent: Option<SentUpdate>,
    updates: u32,
    failed_reads: u32,
}

impl Publish {
    /// Creates a publish of files with an ID that must be unique among all publishes.
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
            failed_reads: 0,
        }
    }

    /// Returns the revision that the publish is based on, once it is known.
    pub fn base(&self) -> Option<Revision> {
        self.base
    }

    /// Processes an event; the caller executes the returned action and reports its result as the next event.
    pub fn handle(&mut self, event: Event) -> Action {
        match event {
            Event::Start => Action::Read { pause: false },
            Event::Found { version, catalogue } => self.receive_catalogue(version, *catalogue),
            Event::ReadFailed => self.read_again(Refusal::Unavailable),
            Event::Applied => self.finish_accepted(),
            Event::Conflict { version } => {
                self.version = self.version.max(version);
                self.record_failed_send();
                Action::Read { pause: false }
            }
            Event::NotSent => {
                self.record_failed_send();
                Action::Read { pause: true }
            }
            Event::ReplyLost => Action::Read { pause: true },
            Event::TimedOut => self.abandon(Refusal::Unavailable),
        }
    }

    fn receive_catalogue(&mut self, version: u64, catalogue: Catalogue) -> Action {
        if version < self.version {
            return self.read_again(Refusal::Unavailable);
        }
        self.version = version;
        match self.sent.take() {
            Some(sent) if sent.if_version == version => {
                self.failed_reads = 0;
                self.send_update(sent)
            }
            Some(sent) => self.resolve_update(sent, version, catalogue),
            None => self.plan_update(version, catalogue),
        }
    }

    /// Determines whether an update whose reply was lost took effect; it can't do so later, as the version has changed.
    fn resolve_update(&mut self, sent: SentUpdate, version: u64, catalogue: Catalogue) -> Action {
        let revision = sent.catalogue.revision;
        match catalogue.find_publish_id(revision) {
            Some(publish) if *publish == self.id => {
                Action::Finish(PublishResult::Accepted { revision })
            }
            Some(_) => self.plan_update(version, catalogue),
            None => Action::Finish(PublishResult::Unknown { revision }),
        }
    }

    fn plan_update(&mut self, version: u64, catalogue: Catalogue) -> Action {
        let revision = catalogue.revision;
        let base = *self.base.get_or_insert(revision);
        if base > revision {
            return self.read_again(Refusal::StaleBase { base, revision });
        }
        self.failed_reads = 0;
        let next = match self.build_revision(base, &catalogue) {
            Ok(Some(next)) => next,
            Ok(None) => return Action::Finish(PublishResult::Unchanged { revision }),
            Err(refusal) => return Action::Finish(PublishResult::Refused(refusal)),
        };
        self.send_update(SentUpdate {
            if_version: version,
            catalogue: Arc::new(next),
            unresolved: 0,
        })
    }

    /// Builds the next revision, or returns `None` if all files already have their new content.
    fn build_revision(
        &self,
        base: Revision,
        catalogue: &Catalogue,
    ) -> Result<Option<Catalogue>, Refusal> {
        let revision = catalogue.revision;
        let changes = self.changes.iter();
        let mut differing = changes
            .filter(|(file, content)| !catalogue.has_file(file, content.as_ref()))
            .peekable();
        if differing.peek().is_some() && !catalogue.has_log_since(base) {
            return Err(Refusal::StaleBase { base, revision });
        }
        for (file, _) in differing {
            if let Some(revision) = catalogue.find_last_change(file, base) {
                return Err(Refusal::Changed {
                    file: file.clone(),
                    revision,
                    base,
                });
            }
        }
        let next = catalogue
            .with_changes(&self.changes, &self.id)
            .map_err(|conflict| Refusal::ServiceTaken { conflict })?;
        match next.as_ref().map(count_bytes) {
            Some(bytes) if bytes > MAX_CATALOGUE_BYTES => Err(Refusal::TooLarge { bytes }),
            _ => Ok(next),
        }
    }

    fn send_update(&mut self, mut sent: SentUpdate) -> Action {
        if self.updates == MAX_UPDATES {
            self.sent = Some(sent);
            return self.abandon(Refusal::Contended);
        }
        self.updates += 1;
        sent.unresolved += 1;
        let action = Action::Update {
            if_version: sent.if_version,
            catalogue: Arc::clone(&sent.catalogue),
        };
        self.sent = Some(sent);
        action
    }

    /// Records that one send of the update had no effect, and discards the update once no send is unresolved.
    fn record_failed_send(&mut self) {
        if let Some(sent) = &mut self.sent {
            sent.unresolved = sent.unresolved.saturating_sub(1);
        }
        self.sent.take_if(|sent| sent.unresolved == 0);
    }

    fn finish_accepted(&mut self) -> Action {
        match &self.sent {
            Some(sent) => Action::Finish(PublishResult::Accepted {
                revision: sent.catalogue.revision,
            }),
            None => Action::Read { pause: false },
        }
    }

    fn read_again(&mut self, refusal: Refusal) -> Action {
        self.failed_reads += 1;
        if self.failed_reads > MAX_FAILED_READS {
            return self.abandon(refusal);
        }
        Action::Read { pause: true }
    }

    fn abandon(&mut self, refusal: Refusal) -> Action {
        Action::Finish(match &self.sent {
            Some(sent) if sent.unresolved > 0 => PublishResult::Unknown {
                revision: sent.catalogue.revision,
            },
            _ => PublishResult::Refused(refusal),
        })
    }
}

/// Returns the size of a catalogue as JSON without building the text.
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
        // A catalogue that cannot be serialized is refused like one that is too large.
        Err(_) => usize::MAX,
    }
}
