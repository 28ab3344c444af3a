//! An estimate of the prompt prefixes that an endpoint's cache holds.

use std::collections::VecDeque;

use crate::map::FastSet;

/// The length of a prefix block, in bytes of prompt.
pub const BLOCK_BYTES: usize = 256;

/// The largest number of blocks remembered for an endpoint.
const MAX_BLOCKS: usize = 8192;

/// A hash of a prompt from its start to the end of one block.
pub type BlockHash = u64;

/// Hashes a prompt's prefixes, the shortest first; a last part shorter than a block has no hash.
///
/// ```
/// use bamboocourse_decide::{BLOCK_BYTES, block_hashes};
/// assert_eq!(block_hashes("x".repeat(BLOCK_BYTES * 2 + 1).as_bytes()).len(), 2);
/// ```
pub fn block_hashes(prompt: &[u8]) -> Vec<BlockHash> {
    /// The prime of the 64-bit FNV hash.
    const FNV_PRIME: u64 = 1_099_511_628_211;
    let mut hash: BlockHash = 0;
    let full = prompt.chunks_exact(BLOCK_BYTES);
    full.map(|block| {
        hash =
            block.iter().fold(hash, |hash, byte| hash.wrapping_mul(FNV_PRIME) ^ u64::from(*byte));
        hash
    })
    .collect()
}

/// The blocks that one endpoint probably holds; the oldest are forgotten first.
///
/// The index is an estimate, since cache events arrive late and some are lost. A wrong entry costs
/// time but does not affect the result of a request.
#[derive(Debug, Default)]
pub(crate) struct PrefixIndex {
    known: FastSet<BlockHash>,
    /// The known blocks in order of arrival.
    order: VecDeque<BlockHash>,
}

impl PrefixIndex {
    /// Adds blocks, and forgets the oldest ones above [`MAX_BLOCKS`].
    pub(crate) fn insert(&mut self, blocks: &[BlockHash]) {
        for block in blocks {
            if !self.known.insert(*block) {
                continue;
            }
            self.order.push_back(*block);
        }
        while self.order.len() > MAX_BLOCKS {
            let Some(oldest) = self.order.pop_front() else { break };
            self.known.remove(&oldest);
        }
    }

    /// Counts the leading blocks of a prompt that the endpoint probably holds.
    pub(crate) fn count_hits(&self, blocks: &[BlockHash]) -> usize {
        blocks.iter().take_while(|block| self.known.contains(block)).count()
    }
}
