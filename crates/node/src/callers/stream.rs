//! Answers as server-sent events.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use camphorwalk_core::calls::{Code, Executed, Refusal, Reply};
use dropshot::Body;
use http::{Response, StatusCode, header};
use http_body_util::StreamBody;
use hyper::body::Frame;
use tokio::sync::mpsc;
use tokio_stream::StreamExt as _;
use tokio_stream::wrappers::ReceiverStream;

use super::answers::{called_json, error_json, refused, response};
use super::api::Pending;
use crate::host::Shared;
use crate::streams::{Final, Part};

/// The first thing that comes for a streamed call.
enum First {
    Part(Part),
    Final(Final),
}

/// Answers a call with a stream, or plainly if it is refused before anything was generated.
pub async fn answer(shared: Arc<Shared>, mut pending: Pending, began: Instant) -> Response<Body> {
    let first = tokio::select! {
        biased;
        Some(part) = pending.open.parts.recv() => First::Part(part),
        end = &mut pending.open.answer => match end {
            Ok(end) => First::Final(end),
            Err(_) => return refused(&lost()),
        },
    };

    match first {
        First::Final(end) if !matches!(end.reply, Reply::Called(_)) => {
            pending.finished(&end.reply);
            response(&end.reply)
        }
        first => {
            let labels = [&*pending.caller.tenant_name];
            let seconds = shared.metrics.first_part_seconds.with_label_values(&labels);
            seconds.observe(began.elapsed().as_secs_f64());

            let (tx, rx) = mpsc::channel(1);
            tokio::spawn(write_events(pending, first, tx));
            event_stream(rx)
        }
    }
}

fn event_stream(events: mpsc::Receiver<String>) -> Response<Body> {
    let frames = ReceiverStream::new(events)
        .map(|text| Ok::<_, std::convert::Infallible>(Frame::data(Bytes::from(text))));

    Response::builder()
        .status(StatusCode::OK)
        .header(header::CONTENT_TYPE, "text/event-stream")
        .header(header::CACHE_CONTROL, "no-store")
        .body(Body::wrap(StreamBody::new(frames)))
        .expect("a status and fixed headers make an answer")
}

/// Writes the events of a stream. It ends early, and so withdraws the request, when the
/// caller is gone.
async fn write_events(mut pending: Pending, first: First, tx: mpsc::Sender<String>) {
    let mut count = 0;
    let mut end = None;

    match first {
        First::Part(part) => {
            if !write_part(&tx, &part, &mut count).await {
                return;
            }
        }
        First::Final(last) => end = Some(last),
    }

    while end.is_none() {
        match next(&mut pending, &tx).await {
            Next::Part(part) => {
                if !write_part(&tx, &part, &mut count).await {
                    return;
                }
            }
            Next::Final(last) => end = Some(last),
            Next::Lost => break,
            Next::CallerGone => return,
        }
    }

    // All parts were put in line before the answer: what is left of them is here now.
    while let Ok(part) = pending.open.parts.try_recv() {
        if !write_part(&tx, &part, &mut count).await {
            return;
        }
    }

    let last = last_event(&mut pending, end, count);
    // A caller that is gone by now has missed only the end.
    let _ = tx.send(last).await;
}

/// What comes next on a stream.
enum Next {
    Part(Part),
    Final(Final),
    Lost,
    CallerGone,
}

async fn next(pending: &mut Pending, tx: &mpsc::Sender<String>) -> Next {
    tokio::select! {
        biased;
        () = tx.closed() => Next::CallerGone,
        Some(part) = pending.open.parts.recv() => Next::Part(part),
        end = &mut pending.open.answer => end.map_or(Next::Lost, Next::Final),
    }
}

/// Writes a part, if it is the one whose turn it is; returns whether the caller is there.
async fn write_part(tx: &mpsc::Sender<String>, part: &Part, count: &mut u32) -> bool {
    if part.number != *count {
        return true;
    }
    *count += 1;

    tx.send(part_event(part)).await.is_ok()
}

fn part_event(part: &Part) -> String {
    format!("data: {}\n\n", serde_json::json!({ "text": part.text }))
}

/// Returns the event that ends a stream: `done` only if all of it went before.
fn last_event(pending: &mut Pending, end: Option<Final>, count: u32) -> String {
    let refusal = match end {
        Some(Final { reply: Reply::Called(called), parts }) if parts == count => {
            pending.finished(&Reply::Called(called.clone()));
            return format!("event: done\ndata: {}\n\n", called_json(&called));
        }
        // A part was lost between two hosts. The whole answer is recorded: the caller gets
        // it by asking for the outcome, never a short one that looks whole.
        Some(Final { reply: Reply::Called(_), .. }) => Refusal::not_run(
            Code::OutcomeUnknown,
            "a part of the stream was lost; ask for the outcome",
        )
        .ran(Executed::Yes),
        Some(Final { reply: Reply::Refused(refusal), .. }) => refusal,
        Some(_) | None => lost(),
    };

    pending.finished(&Reply::Refused(refusal.clone()));
    format!("event: error\ndata: {}\n\n", error_json(&refusal))
}

/// Returns the refusal for an answer that will not come.
pub fn lost() -> Refusal {
    Refusal::not_run(Code::OutcomeUnknown, "the answer is lost; ask for the outcome")
        .ran(Executed::Maybe)
}
