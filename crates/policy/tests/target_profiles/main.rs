//! The paces of targets, and the choice of targets by them.

mod evidence;
