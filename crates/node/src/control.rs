//! The control thread: runs the scheduler on events from a channel.
//!
//! All decisions are made on this thread, one after another, so the scheduler needs no locks. The
//! thread does no I/O: it passes the scheduler's [`Action`]s on, and tokio's threads execute them.

use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;
use std::time::{Duration, Instant as Clock};

use camphorwalk_core::time::Instant;
use camphorwalk_policy::scheduler::{Action, Event, Scheduler, SchedulerOptions};
use prometheus::IntCounter;

/// How many events are handled at most before the resulting actions are executed.
const MAX_EVENTS_PER_BATCH: usize = 256;

/// Sends events to the control thread. Clones send to the same thread.
#[derive(Clone, Debug)]
pub struct Control {
    events: Sender<Event>,
}

impl Control {
    /// Starts the control thread. It calls `execute` with each action, in order.
    pub fn start(
        options: SchedulerOptions,
        counter: IntCounter,
        execute: impl FnMut(&Scheduler, Action) + Send + 'static,
    ) -> std::io::Result<Self> {
        let (events, inbox) = channel();
        let name = format!("control-{}", options.host);
        let scheduler = Scheduler::new(options);

        thread::Builder::new()
            .name(name)
            .spawn(move || run(scheduler, &inbox, &counter, execute))?;

        Ok(Self { events })
    }

    /// Sends an event. Once the thread has ended, events are dropped.
    pub fn send(&self, event: Event) {
        let _ = self.events.send(event);
    }
}

/// Handles events until all senders are dropped.
fn run(
    mut scheduler: Scheduler,
    inbox: &Receiver<Event>,
    counter: &IntCounter,
    mut execute: impl FnMut(&Scheduler, Action),
) {
    let start = Clock::now();
    let now = || Instant(u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX));
    let mut actions = Vec::new();

    loop {
        let event = match inbox.recv_timeout(sleep_time(&scheduler, now())) {
            Ok(event) => event,
            Err(RecvTimeoutError::Timeout) => Event::Wake,
            Err(RecvTimeoutError::Disconnected) => return,
        };

        // Events that have arrived in the meantime are handled in the same batch.
        scheduler.step(now(), event, &mut actions);
        let mut handled = 1;
        while let Some(event) = next_in_batch(inbox, handled) {
            scheduler.step(now(), event, &mut actions);
            handled += 1;
        }

        counter.inc_by(handled as u64);
        for action in actions.drain(..) {
            execute(&scheduler, action);
        }
    }
}

fn next_in_batch(inbox: &Receiver<Event>, handled: usize) -> Option<Event> {
    if handled >= MAX_EVENTS_PER_BATCH {
        return None;
    }

    inbox.try_recv().ok()
}

fn sleep_time(scheduler: &Scheduler, now: Instant) -> Duration {
    scheduler.wake_at().since(now).min(Scheduler::max_sleep())
}
