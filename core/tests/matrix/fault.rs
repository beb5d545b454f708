//! Faults, and the steps of an effect at which they are injected.

use std::fmt;
use std::str::FromStr;

use boragecove_core::effect::Effect;

macro_rules! closed {
    ($(#[$doc:meta])* $name:ident { $($variant:ident = $text:literal,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum $name { $(#[doc = $text] $variant,)* }

        impl $name {
            /// All variants.
            pub const ALL: &'static [Self] = &[$(Self::$variant),*];

            fn named(text: &str) -> Option<Self> {
                Self::ALL.iter().copied().find(|each| each.to_string() == text)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(match self { $(Self::$variant => $text),* })
            }
        }
    };
}

closed!(
    /// Kind of fault.
    Fault {
        Lost = "order lost", Late = "order late", Twice = "order twice",
        AnswerLost = "answer lost", AnswerLate = "answer late", OutOfOrder = "answers out of order",
        Foreign = "answer of another request", TableDown = "table down", TableSlow = "table slow",
        Dies = "process dies", Paused = "process paused past its lease", ZonesCut = "zone cut off from zone",
        PlatformCut = "zone cut off from platform", EngineDies = "engine dies",
        EngineEmpty = "engine restarts empty", IgnoresFences = "engine ignores fences",
        Leaves = "back end leaves", Silent = "connection silent", CacheGaps = "cache events with gaps",
        ReportStale = "load report stale", ListStale = "list stale", Race = "operators race",
        Demand = "demand jumps tenfold",
    }
);

closed!(
    /// Kind of effect.
    Kind {
        Send = "send", Cancel = "cancel", Release = "release", Deliver = "deliver", Commit = "commit", End = "end", CloseConnections = "retire",
        ListVms = "list", Poll = "poll", Order = "order", Table = "table", SendFrame = "tell", Answer = "answer",
        Record = "record", Ready = "ready", WakeAt = "wake-at", Exit = "exit",
    }
);

closed!(
    /// Stage in the execution of an effect.
    Stage {
        Before = "before it is sent", Sent = "sent and not arrived", Done = "done and not answered",
        Answered = "answered",
    }
);

impl Kind {
    /// Kind of an effect. The match is exhaustive, so that a new effect has to be added to the matrix.
    pub fn of(effect: &Effect) -> Self {
        match effect {
            Effect::Send(_) => Self::Send,
            Effect::Cancel(_) => Self::Cancel,
            Effect::Release(_) => Self::Release,
            Effect::Deliver { .. } => Self::Deliver,
            Effect::Commit(_) => Self::Commit,
            Effect::End { .. } => Self::End,
            Effect::CloseConnections(_) => Self::CloseConnections,
            Effect::ListVms => Self::ListVms,
            Effect::Poll { .. } => Self::Poll,
            Effect::Order { .. } => Self::Order,
            Effect::Table { .. } => Self::Table,
            Effect::SendFrame { .. } => Self::SendFrame,
            Effect::Answer { .. } => Self::Answer,
            Effect::Record(_) => Self::Record,
            Effect::Ready(_) => Self::Ready,
            Effect::WakeAt(_) => Self::WakeAt,
            Effect::Exit => Self::Exit,
        }
    }

    /// Whether the effect is sent to another process.
    pub fn is_remote(self) -> bool {
        self.is_answered() || matches!(self, Self::Cancel | Self::SendFrame)
    }

    /// Whether the success of the effect is reported by an event.
    pub fn is_answered(self) -> bool {
        matches!(self, Self::Send | Self::ListVms | Self::Poll | Self::Order | Self::Table)
    }
}

/// Stage of a kind of effect.
pub type Step = (Kind, Stage);

/// Whether the step exists. Local effects are neither sent nor answered.
pub fn exists((kind, stage): Step) -> bool {
    match stage {
        Stage::Before | Stage::Done => true,
        Stage::Sent => kind.is_remote(),
        Stage::Answered => kind.is_answered(),
    }
}

impl Fault {
    /// Whether the fault can be injected at a step. A fault of a message requires that the step has this
    /// message. An attempt cannot be duplicated, since it is sent on one connection.
    pub fn applies(self, step: Step) -> bool {
        let (kind, stage) = step;
        let step_matches = match self {
            Self::Lost | Self::Late => stage == Stage::Sent,
            Self::Twice => stage == Stage::Sent && kind != Kind::Send,
            Self::AnswerLost | Self::AnswerLate => stage == Stage::Done && kind.is_answered(),
            Self::OutOfOrder | Self::Foreign => stage == Stage::Done && kind == Kind::Send,
            _ => true,
        };
        step_matches && exists(step)
    }
}

/// A fault to inject when a step is reached for the `nth` time in a run, and again at the next time if
/// `twice`.
#[derive(Clone, Copy, Debug)]
pub struct Injection {
    pub fault: Fault,
    pub step: Step,
    pub nth: u32,
    pub twice: bool,
}

impl fmt::Display for Injection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (kind, stage) = self.step;
        write!(f, "{}/{kind}/{stage}/{}/{}", self.fault, self.nth, u8::from(self.twice))
    }
}

impl FromStr for Injection {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let parts: Vec<&str> = text.split('/').collect();
        let [fault, kind, stage, nth, twice] = parts[..] else { return Err(()) };
        let step = (Kind::named(kind).ok_or(())?, Stage::named(stage).ok_or(())?);
        let nth = nth.parse().map_err(|_bad| ())?;
        Ok(Self { fault: Fault::named(fault).ok_or(())?, step, nth, twice: twice == "1" })
    }
}
