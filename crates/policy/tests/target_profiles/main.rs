//! The paces of targets, and the choice of targets by them.

mod evidence;
mod replay;
mod world;
