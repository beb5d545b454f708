//! Which engines may write a stream's next events: those that run the build of its service's software that wrote the events before.
//!
//! What two builds write of one stream does not fit together, and engines do not check that. Engines of several builds may serve side by side.

use boragecove_core::name::Name;

/// The builds that may write a request's next events.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) enum Pin {
    /// Any: its caller has no events.
    #[default]
    Free,
    /// This one, which has written the events that its caller has.
    Build(Name),
    /// None: it is not known which has written them.
    Unknown,
}

impl Pin {
    /// Whether engines of this build may go on; none is that of an engine that does not say.
    pub(crate) fn allows(&self, build: Option<&Name>) -> bool {
        match self {
            Self::Free => true,
            Self::Build(pinned) => build == Some(pinned),
            Self::Unknown => false,
        }
    }

    /// Whether not all builds may go on.
    pub(crate) const fn binds(&self) -> bool {
        !matches!(self, Self::Free)
    }

    /// Events of a build have gone to the caller.
    pub(crate) fn wrote(&mut self, build: Option<&Name>) {
        *self = match (&*self, build) {
            (Self::Free, Some(build)) => Self::Build(build.clone()),
            (Self::Build(pinned), Some(build)) if pinned == build => return,
            (Self::Free | Self::Build(_) | Self::Unknown, _) => Self::Unknown,
        };
    }
}
