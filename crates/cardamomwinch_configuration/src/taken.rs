//! Finds addresses that occur twice in a document.

use std::net;

use crate::checker::{DocumentChecker, KeyPath};
use crate::node::{ObjectNode, ValueNode};
use crate::problem::CheckProblem;
use crate::values;

struct AddressUse {
    address: net::SocketAddr,
    start: usize,
    path: KeyPath,
}

/// The addresses of a document that must differ from each other.
#[derive(Default)]
pub(crate) struct TakenAddresses {
    uses: Vec<AddressUse>,
}

impl TakenAddresses {
    /// Records that `address` is used at `node`.
    pub(crate) fn note(&mut self, address: net::SocketAddr, node: &ValueNode<'_>) {
        self.uses.push(AddressUse {
            address,
            start: node.start(),
            path: node.path.clone(),
        });
    }

    /// Reads and records the address under `key`, on which the host listens. An
    /// address whose port the operating system chooses can't be taken twice.
    pub(crate) fn local(
        &mut self,
        checker: &mut DocumentChecker<'_>,
        object: &ObjectNode<'_>,
        key: &str,
    ) -> Option<net::SocketAddr> {
        let address = object.required(checker, key, values::local_address)?;
        if let Some(node) = object.get(key).filter(|_| address.port() != 0) {
            self.note(address, &node);
        }
        Some(address)
    }

    /// Reads the addresses under `names`, on which the host listens, and reports
    /// those that occur twice.
    pub(crate) fn read_local<const N: usize>(
        checker: &mut DocumentChecker<'_>,
        object: &ObjectNode<'_>,
        names: [&str; N],
    ) -> Option<[net::SocketAddr; N]> {
        let mut taken = Self::default();
        let addresses = names.map(|name| taken.local(checker, object, name));
        taken.report(checker);
        let present: Vec<_> = addresses.into_iter().collect::<Option<_>>()?;
        present.try_into().ok()
    }

    /// Reports every use of an address but its first in the text.
    pub(crate) fn report(mut self, checker: &mut DocumentChecker<'_>) {
        self.uses.sort_by_key(|usage| (usage.address, usage.start));
        let same_address = |left: &AddressUse, right: &AddressUse| left.address == right.address;
        for same in self.uses.chunk_by(same_address) {
            for repeated in &same[1..] {
                let problem = CheckProblem::AddressTaken {
                    found: repeated.address,
                    holder: same[0].path.to_string(),
                };
                checker.report(repeated.start, &repeated.path, problem);
            }
        }
    }
}
