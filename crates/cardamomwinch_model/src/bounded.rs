//! What all specifications consist of: bounds, one rule that may be left out, and whether
//! states are merged.

/// A specification with bounds of type `B`, of which one rule of type `M` may be left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BoundedSpecification<B, M> {
    pub(crate) bounds: B,
    pub(crate) mistake: Option<M>,
    /// Whether states that differ only in the numbering of hosts are merged.
    pub(crate) symmetric: bool,
}

impl<B: Copy, M: Copy + PartialEq> BoundedSpecification<B, M> {
    /// Creates the specification without a mistake.
    pub const fn new(bounds: B) -> Self {
        Self {
            bounds,
            mistake: None,
            symmetric: true,
        }
    }

    /// Returns the same specification, but states that differ only in the
    /// numbering of hosts are not merged. Hosts keep their numbers in a trace, and
    /// more states are searched.
    #[must_use]
    pub const fn numbered(mut self) -> Self {
        self.symmetric = false;
        self
    }

    /// Returns the same specification with one rule left out. Only the property
    /// that the rule protects is checked, because others may fail on a shorter
    /// trace.
    #[must_use]
    pub const fn with_mistake(mut self, mistake: M) -> Self {
        self.mistake = Some(mistake);
        self.numbered()
    }

    pub(crate) fn makes(&self, mistake: M) -> bool {
        self.mistake == Some(mistake)
    }
}
