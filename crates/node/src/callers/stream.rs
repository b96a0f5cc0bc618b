//! Answers to calls as server-sent events.

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
use super::api::PendingReply;
use crate::host::Shared;
use crate::streams::{FinalReply, Part};

/// The first item received for a streamed call.
enum FirstItem {
    Part(Part),
    Final(FinalReply),
}

/// Answers a call with an event stream, or with a plain refusal if the call fails before its first
/// part.
pub async fn answer(
    shared: Arc<Shared>,
    mut pending: PendingReply,
    began: Instant,
) -> Response<Body> {
    let first = tokio::select! {
        biased;
        Some(part) = pending.receiver.parts.recv() => FirstItem::Part(part),
        last = &mut pending.receiver.reply => match last {
            Ok(last) => FirstItem::Final(last),
            Err(_) => return refused(&reply_lost()),
        },
    };

    match first {
        FirstItem::Final(last) if !matches!(last.reply, Reply::Called(_)) => {
            pending.record_reply(&last.reply);
            response(&last.reply)
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
        .expect("a response with a fixed status and fixed headers is valid")
}

/// Writes the events of a stream. When the caller disconnects it returns early, which drops
/// `pending` and so cancels the request.
async fn write_events(mut pending: PendingReply, first: FirstItem, tx: mpsc::Sender<String>) {
    let mut written = 0;
    let mut final_reply = None;

    match first {
        FirstItem::Part(part) => {
            if !write_part(&tx, &part, &mut written).await {
                return;
            }
        }
        FirstItem::Final(last) => final_reply = Some(last),
    }

    while final_reply.is_none() {
        match next_item(&mut pending, &tx).await {
            NextItem::Part(part) => {
                if !write_part(&tx, &part, &mut written).await {
                    return;
                }
            }
            NextItem::Final(last) => final_reply = Some(last),
            NextItem::Lost => break,
            NextItem::CallerGone => return,
        }
    }

    // All parts were queued before the final reply, so the remaining ones are in the channel now.
    while let Ok(part) = pending.receiver.parts.try_recv() {
        if !write_part(&tx, &part, &mut written).await {
            return;
        }
    }

    let last = final_event(&mut pending, final_reply, written);
    // Sending fails if the caller has disconnected; it then misses only the last event.
    let _ = tx.send(last).await;
}

/// The next item received for a streamed call.
enum NextItem {
    Part(Part),
    Final(FinalReply),
    Lost,
    CallerGone,
}

async fn next_item(pending: &mut PendingReply, tx: &mpsc::Sender<String>) -> NextItem {
    tokio::select! {
        biased;
        () = tx.closed() => NextItem::CallerGone,
        Some(part) = pending.receiver.parts.recv() => NextItem::Part(part),
        last = &mut pending.receiver.reply => last.map_or(NextItem::Lost, NextItem::Final),
    }
}

/// Writes a part if it is the next one in order, and otherwise skips it. Returns whether the caller
/// is still connected.
async fn write_part(tx: &mpsc::Sender<String>, part: &Part, written: &mut u32) -> bool {
    if part.number != *written {
        return true;
    }
    *written += 1;

    tx.send(part_event(part)).await.is_ok()
}

fn part_event(part: &Part) -> String {
    format!("data: {}\n\n", serde_json::json!({ "text": part.text }))
}

/// Returns the event that ends a stream: `done` only if all parts were written before it.
fn final_event(
    pending: &mut PendingReply,
    final_reply: Option<FinalReply>,
    written: u32,
) -> String {
    let refusal = match final_reply {
        Some(FinalReply { reply: Reply::Called(called), parts }) if parts == written => {
            pending.record_reply(&Reply::Called(called.clone()));
            return format!("event: done\ndata: {}\n\n", called_json(&called));
        }
        // A part was lost between two hosts. The caller gets an error instead of a truncated
        // answer that looks complete; the full answer is recorded as the call's outcome.
        Some(FinalReply { reply: Reply::Called(_), .. }) => Refusal::not_run(
            Code::OutcomeUnknown,
            "a part of the stream was lost; ask for the outcome",
        )
        .ran(Executed::Yes),
        Some(FinalReply { reply: Reply::Refused(refusal), .. }) => refusal,
        Some(_) | None => reply_lost(),
    };

    pending.record_reply(&Reply::Refused(refusal.clone()));
    format!("event: error\ndata: {}\n\n", error_json(&refusal))
}

/// Returns the refusal for a request whose reply channel closed without a reply.
pub fn reply_lost() -> Refusal {
    Refusal::not_run(Code::OutcomeUnknown, "the answer is lost; ask for the outcome")
        .ran(Executed::Maybe)
}
