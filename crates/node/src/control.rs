//! The control thread: one scheduler, fed by a channel.
//!
//! Every decision is made here, one after another, so none needs a lock. The thread does no
//! I/O; what it decides is carried out by [`Actions`] on tokio's threads.

use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;
use std::time::{Duration, Instant as Clock};

use camphorwalk_core::time::Instant;
use camphorwalk_policy::scheduler::{Action, Event, Scheduler, SchedulerOptions};
use prometheus::IntCounter;

/// The most events that are handled before the actions they led to are carried out.
const EVENTS_PER_TURN: usize = 256;

/// Hands events to the control thread. Clones feed the same one.
#[derive(Clone, Debug)]
pub struct Control {
    events: Sender<Event>,
}

impl Control {
    /// Starts the control thread; `carry_out` gets each action, in order.
    pub fn start(
        options: SchedulerOptions,
        counter: IntCounter,
        carry_out: impl FnMut(&Scheduler, Action) + Send + 'static,
    ) -> std::io::Result<Self> {
        let (events, inbox) = channel();
        let name = format!("control-{}", options.host);
        let scheduler = Scheduler::new(options);

        thread::Builder::new()
            .name(name)
            .spawn(move || run(scheduler, &inbox, &counter, carry_out))?;

        Ok(Self { events })
    }

    /// Hands over an event. Once the thread has ended, events are dropped.
    pub fn send(&self, event: Event) {
        let _ = self.events.send(event);
    }
}

/// Runs until every sender is gone.
fn run(
    mut scheduler: Scheduler,
    inbox: &Receiver<Event>,
    counter: &IntCounter,
    mut carry_out: impl FnMut(&Scheduler, Action),
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

        // What came in meanwhile is handled in the same turn.
        scheduler.step(now(), event, &mut actions);
        let mut handled = 1;
        while let Some(event) = more(inbox, handled) {
            scheduler.step(now(), event, &mut actions);
            handled += 1;
        }

        counter.inc_by(handled as u64);
        for action in actions.drain(..) {
            carry_out(&scheduler, action);
        }
    }
}

fn more(inbox: &Receiver<Event>, handled: usize) -> Option<Event> {
    if handled >= EVENTS_PER_TURN {
        return None;
    }

    inbox.try_recv().ok()
}

fn sleep_time(scheduler: &Scheduler, now: Instant) -> Duration {
    scheduler.wake_at().since(now).min(Scheduler::max_sleep())
}
