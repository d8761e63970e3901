import { setTimeout as sleep } from "node:timers/promises";

const LINE_FEED = 10;
const FIRST_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 1000;
const MAX_ATTEMPTS = 8;
const EVENT_ID = /^id: ?(.*)$/m;

/**
 * Returns the same event stream, but one that is resumed after the last event id when its connection breaks. Its consumer gets each
 * event whole and exactly once. The SDK's own reconnection loses its position when a connection breaks before its first event.
 *
 * @param reconnect requests the stream after the event with the given id
 * @param signal stops further attempts to resume once it is aborted
 */
export function withResumption(
  first: Response,
  reconnect: (lastEventId: string) => Promise<Response>,
  signal: AbortSignal | null | undefined,
): Response {
  if (first.body === null) {
    return first;
  }
  let reader: ReadableStreamDefaultReader<Uint8Array> = first.body.getReader();
  let lastEventId: string | undefined;
  let incomplete = new Uint8Array(0);
  let attempts = 0;

  /** Returns the complete events received so far; keeps the incomplete one until more bytes arrive. */
  const takeCompleteEvents = (chunk: Uint8Array): Uint8Array => {
    const bytes = new Uint8Array(incomplete.length + chunk.length);
    bytes.set(incomplete);
    bytes.set(chunk, incomplete.length);
    let end = 0;
    for (let i = Math.max(1, incomplete.length); i < bytes.length; i++) {
      if (bytes[i] === LINE_FEED && bytes[i - 1] === LINE_FEED) {
        end = i + 1;
      }
    }
    incomplete = bytes.slice(end);
    for (const event of new TextDecoder().decode(bytes.subarray(0, end)).split("\n\n")) {
      lastEventId = EVENT_ID.exec(event)?.[1] ?? lastEventId;
    }
    return bytes.subarray(0, end);
  };

  const body = new ReadableStream<Uint8Array>({
    async pull(controller) {
      for (;;) {
        try {
          const { value, done } = await reader.read();
          if (done) {
            controller.close();
            return;
          }
          const events = takeCompleteEvents(value);
          if (events.length > 0) {
            attempts = 0;
            controller.enqueue(events);
            return;
          }
        } catch (disconnectError) {
          incomplete = new Uint8Array(0);
          let next: Response | undefined;
          while (next === undefined) {
            if (lastEventId === undefined || signal?.aborted || attempts === MAX_ATTEMPTS) {
              controller.error(disconnectError);
              return;
            }
            await sleep(Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** attempts++));
            next = await reconnect(lastEventId).catch(() => undefined);
            if (next !== undefined && (next.status !== 200 || next.body === null)) {
              controller.error(
                new Error(`cannot resume the stream: expected status 200, got ${next.status}`, {
                  cause: disconnectError,
                }),
              );
              return;
            }
          }
          reader = next.body!.getReader();
        }
      }
    },
    cancel: (reason) => reader.cancel(reason),
  });
  return new Response(body, { status: first.status, headers: first.headers });
}
