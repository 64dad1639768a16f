//! Operators that publish declaration files.

use std::time::Duration;

use conf::Action;
use conf::Event;
use conf::Publish;
use conf::PublishResult;
use decl::Changes;
use decl::parse_declaration;

use crate::scenario::file;
use crate::scenario::platform::CallError;
use crate::scenario::platform::Reply;
use crate::scenario::platform::Request;
use crate::scenario::world::Client;
use crate::scenario::world::World;

/// Pause of an operator's command before it reads again after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// An operator with one publish, in progress or completed.
#[derive(Debug)]
pub(crate) struct Operator {
    /// Index of the step.
    pub(crate) step: usize,
    pub(crate) id: compact_str::CompactString,
    pub(crate) result: Option<PublishResult>,
    machine: Publish,
}

/// Parses the declaration files of a publish or of the start.
pub(crate) fn parse_changes<'a>(
    files: impl IntoIterator<Item = (&'a compact_str::CompactString, &'a String)>,
) -> Result<Changes, String> {
    let mut changes = Changes::new();
    for (name, text) in files {
        let declaration = parse_declaration(name, text)
            .map_err(|errors| errors.first().map(ToString::to_string).unwrap_or_default())?;
        changes.insert(name.clone(), Some(declaration));
    }
    Ok(changes)
}

impl World<'_> {
    pub(crate) fn publish(&mut self, step: usize, publish: &file::Publish) {
        let changes = match parse_changes(&publish.files) {
            Ok(changes) => changes,
            Err(error) => return self.record_failure(format!("step {}: {error}", step + 1)),
        };
        let mut machine = Publish::new(publish.id.clone(), changes, publish.base);
        let action = machine.handle(Event::Start);
        self.operators.push(Operator {
            step,
            id: publish.id.clone(),
            result: None,
            machine,
        });
        self.run_publish_action(self.operators.len() - 1, action);
    }

    pub(crate) fn drive_publish(
        &mut self,
        number: usize,
        request: Request,
        result: Result<Reply, CallError>,
    ) {
        let operator = &mut self.operators[number];
        if operator.result.is_some() {
            return;
        }
        let event = match (request, result) {
            (_, Ok(Reply::Config(version, catalogue))) => Event::Found {
                version,
                catalogue: Box::new((*catalogue).clone()),
            },
            (_, Ok(Reply::Applied(_))) => Event::Applied,
            (_, Ok(Reply::Conflict(version))) => Event::Conflict { version },
            (Request::PutConfig(..), Err(CallError::NotSent)) => Event::NotSent,
            (Request::PutConfig(..), Err(CallError::NoReply)) => Event::ReplyLost,
            (_, Ok(_) | Err(_)) => Event::ReadFailed,
        };
        let action = operator.machine.handle(event);
        self.run_publish_action(number, action);
    }

    fn run_publish_action(&mut self, number: usize, action: Action) {
        let client = Client::Operator(number);
        match action {
            Action::Read { pause: false } => self.call_platform(client, Request::Config),
            Action::Read { pause: true } => {
                let event = crate::scenario::world::Event::OperatorRead(number);
                self.push(self.now + RETRY_PAUSE, event);
            }
            Action::Update {
                if_version,
                catalogue,
            } => self.call_platform(client, Request::PutConfig(if_version, catalogue)),
            Action::Finish(published) => {
                let id = self.operators[number].id.clone();
                self.record_event(format_args!("publish {id} ends: {published:?}"));
                self.operators[number].result = Some(published);
            }
        }
    }
}
