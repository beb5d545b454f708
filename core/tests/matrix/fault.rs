//! Faults, and the steps of an effect at which they strike.

use std::fmt;
use std::str::FromStr;

use boragecove_core::effect::Effect;

macro_rules! closed {
    ($(#[$doc:meta])* $name:ident { $($variant:ident = $text:literal,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum $name { $(#[doc = $text] $variant,)* }

        impl $name {
            /// All of them.
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
    /// What goes wrong.
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
    /// A kind of effect.
    Kind {
        Send = "send", Cancel = "cancel", Release = "release", Deliver = "deliver", Commit = "commit", End = "end", Retire = "retire",
        List = "list", Poll = "poll", Order = "order", Table = "table", Tell = "tell", Answer = "answer",
        Record = "record", Ready = "ready", WakeAt = "wake-at", Exit = "exit",
    }
);

closed!(
    /// How far an effect is.
    Stage {
        Before = "before it is sent", Sent = "sent and not arrived", Done = "done and not answered",
        Answered = "answered",
    }
);

impl Kind {
    /// The kind of an effect. A new effect does not compile until it is given one here.
    pub fn of(effect: &Effect) -> Self {
        match effect {
            Effect::Send(_) => Self::Send,
            Effect::Cancel(_) => Self::Cancel,
            Effect::Release(_) => Self::Release,
            Effect::Deliver { .. } => Self::Deliver,
            Effect::Commit(_) => Self::Commit,
            Effect::End { .. } => Self::End,
            Effect::Retire(_) => Self::Retire,
            Effect::List => Self::List,
            Effect::Poll { .. } => Self::Poll,
            Effect::Order { .. } => Self::Order,
            Effect::Table { .. } => Self::Table,
            Effect::Tell { .. } => Self::Tell,
            Effect::Answer { .. } => Self::Answer,
            Effect::Record(_) => Self::Record,
            Effect::Ready(_) => Self::Ready,
            Effect::WakeAt(_) => Self::WakeAt,
            Effect::Exit => Self::Exit,
        }
    }

    /// Whether it leaves the process.
    pub fn is_remote(self) -> bool {
        self.is_answered() || matches!(self, Self::Cancel | Self::Tell)
    }

    /// Whether its success comes back as an event.
    pub fn is_answered(self) -> bool {
        matches!(self, Self::Send | Self::List | Self::Poll | Self::Order | Self::Table)
    }
}

/// A step of an effect.
pub type Step = (Kind, Stage);

/// Whether there is such a step: what stays within the process is neither on its way nor answered.
pub fn exists((kind, stage): Step) -> bool {
    match stage {
        Stage::Before | Stage::Done => true,
        Stage::Sent => kind.is_remote(),
        Stage::Answered => kind.is_answered(),
    }
}

impl Fault {
    /// Whether it can strike at a step: what befalls a message needs that message, and a request on
    /// its connection arrives once.
    pub fn applies(self, step: Step) -> bool {
        let (kind, stage) = step;
        let befalls = match self {
            Self::Lost | Self::Late => stage == Stage::Sent,
            Self::Twice => stage == Stage::Sent && kind != Kind::Send,
            Self::AnswerLost | Self::AnswerLate => stage == Stage::Done && kind.is_answered(),
            Self::OutOfOrder | Self::Foreign => stage == Stage::Done && kind == Kind::Send,
            _ => true,
        };
        befalls && exists(step)
    }
}

/// A fault at a step: at its `nth` time in the run, and again at the next if `twice`.
#[derive(Clone, Copy, Debug)]
pub struct Strike {
    pub fault: Fault,
    pub step: Step,
    pub nth: u32,
    pub twice: bool,
}

impl fmt::Display for Strike {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (kind, stage) = self.step;
        write!(f, "{}/{kind}/{stage}/{}/{}", self.fault, self.nth, u8::from(self.twice))
    }
}

impl FromStr for Strike {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let parts: Vec<&str> = text.split('/').collect();
        let [fault, kind, stage, nth, twice] = parts[..] else { return Err(()) };
        let step = (Kind::named(kind).ok_or(())?, Stage::named(stage).ok_or(())?);
        let nth = nth.parse().map_err(|_bad| ())?;
        Ok(Self { fault: Fault::named(fault).ok_or(())?, step, nth, twice: twice == "1" })
    }
}
