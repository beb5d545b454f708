//! The allocator, and when memory that was freed is the system's again.

use std::ffi::c_long;

use libmimalloc_sys::{mi_option_set_default, mi_option_t};
use mimalloc::MiMalloc;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

/// `mi_option_purge_delay` of `mimalloc.h`, to which the bindings give no name.
const PURGE_DELAY: mi_option_t = 15;
/// In milliseconds: freed memory is given back at once.
const NO_DELAY: c_long = 0;

/// Gives freed memory back to the system at once, not a second later. The account of what callers make the process hold counts
/// it as free, so that others may take as much again. The variable `MIMALLOC_PURGE_DELAY` of the environment goes before this.
#[expect(unsafe_code, reason = "the allocator's options have no safe interface")]
pub fn return_freed_memory() {
    // SAFETY: it sets a number. It must not run beside another change of the options, and nothing else changes them.
    unsafe { mi_option_set_default(PURGE_DELAY, NO_DELAY) };
}
