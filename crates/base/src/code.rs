//! Numbered result codes; `docs/codes.md` is the table for operators.

use serde::Deserialize;
use serde::Serialize;

/// What a caller may conclude about its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Every shard asked for is in the answer.
    Answered,
    /// Some shards are missing; the coverage lists them with reasons.
    Partial,
    /// The request was not run and will not run.
    Refused,
    /// The request may have run, and there is no answer.
    Unknown,
}

macro_rules! codes {
    ($($(#[doc = $doc:literal])+ $name:ident = $number:literal,)+) => {
        /// A numbered result code, listed with its remedy in `docs/codes.md`.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(into = "u16", try_from = "u16")]
        pub enum Code {
            $($(#[doc = $doc])+ $name,)+
        }

        impl Code {
            /// Every code, in ascending order of its number.
            pub const ALL: &[Code] = &[$(Code::$name,)+];

            /// Returns the number shown in answers, logs and exit messages.
            pub fn number(self) -> u16 {
                match self {
                    $(Code::$name => $number,)+
                }
            }

            /// Returns the one-sentence meaning, as in `docs/codes.md`.
            pub fn meaning(self) -> &'static str {
                match self {
                    $(Code::$name => concat!($($doc,)+).trim_ascii(),)+
                }
            }
        }
    };
}

codes! {
    /// The answer covers every shard asked for.
    Answered = 100,
    /// The answer is partial because some shards did not reply before the deadline.
    PartialDeadline = 200,
    /// The answer is partial because some shards have no replica that can be reached.
    PartialNoReplica = 201,
    /// The answer is partial because some shards no longer hold the bound index version.
    PartialRetired = 202,
    /// The answer is partial because upstreams shed the work for some shards.
    PartialShed = 203,
    /// The VM has no configuration in force yet.
    NotReady = 300,
    /// The VM is stopping and takes no new request.
    Stopping = 301,
    /// The time left is too short for any shard to reply.
    DeadlineTooShort = 302,
    /// The VM is overloaded, so the request was refused at admission.
    Overloaded = 303,
    /// Every upstream shed the request and proved that it was not run.
    ShedEverywhere = 304,
    /// The platform is unavailable, so a request that may not be repeated was not sent.
    ClaimUnavailable = 305,
    /// The claim was revoked before the request was sent.
    ClaimRevoked = 306,
    /// No replica of any shard asked for can be reached, and nothing was sent.
    NoUpstream = 307,
    /// The coverage at the deadline is below the declared minimum.
    BelowMinimum = 400,
    /// No shard has given a valid reply before the deadline.
    NoReply = 401,
    /// A request that may not be repeated was sent and its reply was lost.
    ReplyLost = 402,
    /// An earlier request with this key is still in progress or its outcome was lost.
    DuplicateUnknown = 403,
    /// The claim could not be settled, so the request may have run.
    ClaimUnsettled = 404,
    /// Servers that ran the request crashed, so it is not sent again for a time.
    CrashesServers = 405,
    /// No service of this name is declared.
    UnknownService = 500,
    /// The service declares no request of this name.
    UnknownRequest = 501,
    /// The request body is not valid.
    InvalidBody = 502,
    /// The request body is larger than the limit.
    BodyTooLarge = 503,
    /// A settings file is not valid.
    InvalidSettings = 504,
    /// A declaration file is not valid.
    InvalidDeclaration = 505,
    /// An address is in use or cannot be bound.
    AddressInUse = 506,
    /// An upstream sent a reply that is not valid.
    InvalidReply = 507,
    /// The idempotency key was used before with another request.
    KeyReused = 508,
    /// The publish was refused because another publish changed the same file.
    PublishConflict = 600,
    /// The publish was refused because its base revision is stale.
    PublishStale = 601,
    /// The platform did not confirm the publish, and reading back did not settle it.
    PublishUnknown = 602,
    /// The platform is unavailable.
    PlatformUnavailable = 603,
    /// The call budget of the platform is used up.
    PlatformBudget = 604,
    /// The configuration is accepted but not yet in force everywhere.
    NotEverywhere = 605,
}

impl Code {
    /// Returns the outcome that a caller may conclude, or `None` for codes that no request ends with.
    pub fn outcome(self) -> Option<Outcome> {
        match self.number() {
            100..200 => Some(Outcome::Answered),
            200..300 => Some(Outcome::Partial),
            300..400 => Some(Outcome::Refused),
            400..500 => Some(Outcome::Unknown),
            500..504 | 508 => Some(Outcome::Refused),
            _ => None,
        }
    }
}

impl From<Code> for u16 {
    fn from(code: Code) -> u16 {
        code.number()
    }
}

impl TryFrom<u16> for Code {
    type Error = String;

    fn try_from(number: u16) -> Result<Code, String> {
        Code::ALL
            .iter()
            .copied()
            .find(|code| code.number() == number)
            .ok_or_else(|| format!("{number} is not a result code"))
    }
}
