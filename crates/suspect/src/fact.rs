//! The form in which nodes tell each other of suspected requests.

use std::fmt::Display;
use std::fmt::Formatter;
use std::time::Duration;

use base::NodeId;
use base::escape_field;
use base::unescape_field;

use crate::RequestKey;
use crate::ServerHash;
use crate::State;
use crate::entry::BLOCK_AFTER;

/// Longest time that a fact may last, whatever its sender says.
const MAX_LEFT: Duration = Duration::from_secs(3_600);

/// Longest name of a node in a fact, in bytes.
const MAX_NODE_BYTES: usize = 128;

/// What a node knows of one suspected request.
///
/// Times are relative, since the clocks of the nodes differ.
#[derive(Debug, Clone, PartialEq)]
pub struct Fact {
    /// The request.
    pub key: RequestKey,
    /// Of two facts about a request, the one with the higher generation holds.
    pub generation: u32,
    /// How far the suspicion has come.
    pub state: State,
    /// Times that a block was confirmed by a try.
    pub level: u8,
    /// Time until the state ends.
    pub left: Duration,
    /// Servers lost one after the other.
    pub servers: Vec<ServerHash>,
    /// Node from whose attempt the state comes.
    pub origin: NodeId,
}

impl Fact {
    /// Parses the output of [`Fact::fmt`], or returns `None` if it is not valid.
    pub fn parse(line: &str) -> Option<Fact> {
        let mut fields = line.split(' ');
        let key = RequestKey {
            request: u128::from_str_radix(fields.next()?, 16).ok()?,
            caller: u32::from_str_radix(fields.next()?, 16).ok()?,
        };
        let generation = fields.next()?.parse().ok()?;
        let state = parse_state(fields.next()?)?;
        let level = fields.next()?.parse().ok()?;
        let left = Duration::from_millis(fields.next()?.parse().ok()?).min(MAX_LEFT);
        let origin = fields.next().filter(|name| name.len() <= MAX_NODE_BYTES)?;
        let mut servers = Vec::new();
        for server in fields {
            servers.push(u32::from_str_radix(server, 16).ok()?);
        }
        let is_sorted = servers.is_sorted_by(|one, other| one < other);
        if !is_sorted || servers.len() > BLOCK_AFTER {
            return None;
        }
        Some(Fact {
            key,
            generation,
            state,
            level,
            left,
            servers,
            origin: unescape_field(origin)?,
        })
    }
}

impl Display for Fact {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let (key, millis) = (self.key, self.left.as_millis());
        let state = name_state(self.state);
        write!(f, "{:032x} {:08x} ", key.request, key.caller)?;
        write!(f, "{} {state} {} {millis} ", self.generation, self.level)?;
        write!(f, "{}", escape_field(&self.origin))?;
        for server in &self.servers {
            write!(f, " {server:08x}")?;
        }
        Ok(())
    }
}

fn name_state(state: State) -> &'static str {
    match state {
        State::Cleared => "cleared",
        State::Suspected => "suspected",
        State::Trial => "trial",
        State::Blocked => "blocked",
    }
}

fn parse_state(name: &str) -> Option<State> {
    let states = [
        State::Cleared,
        State::Suspected,
        State::Trial,
        State::Blocked,
    ];
    states.into_iter().find(|state| name_state(*state) == name)
}
