import { setTimeout as sleep } from "node:timers/promises";

const LINE_END = 10;
const FIRST_WAIT = 50;
const MOST_WAIT = 1000;
const TRIES = 8;
const ID = /^id: ?(.*)$/m;

/**
 * The same event stream, but one that goes on over breaks of its connection: it is taken up again by the last event's id, and whoever
 * reads it sees each event once and whole. The SDK's own reconnection loses its place where a connection breaks before its first event.
 *
 * @param again asks for the stream behind an event
 */
export function resumed(
  first: Response,
  again: (lastEventId: string) => Promise<Response>,
  signal: AbortSignal | null | undefined,
): Response {
  if (first.body === null) {
    return first;
  }
  let reader: ReadableStreamDefaultReader<Uint8Array> = first.body.getReader();
  let last: string | undefined;
  let rest = new Uint8Array(0);
  let tries = 0;

  /** Whole events among the bytes that have come; what is behind them waits for more. */
  const whole = (more: Uint8Array): Uint8Array => {
    const all = new Uint8Array(rest.length + more.length);
    all.set(rest);
    all.set(more, rest.length);
    let end = 0;
    for (let i = Math.max(1, rest.length); i < all.length; i++) {
      if (all[i] === LINE_END && all[i - 1] === LINE_END) {
        end = i + 1;
      }
    }
    rest = all.slice(end);
    for (const event of new TextDecoder().decode(all.subarray(0, end)).split("\n\n")) {
      last = ID.exec(event)?.[1] ?? last;
    }
    return all.subarray(0, end);
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
          const events = whole(value);
          if (events.length > 0) {
            tries = 0;
            controller.enqueue(events);
            return;
          }
        } catch (broken) {
          rest = new Uint8Array(0);
          let next: Response | undefined;
          while (next === undefined) {
            if (last === undefined || signal?.aborted || tries === TRIES) {
              controller.error(broken);
              return;
            }
            await sleep(Math.min(MOST_WAIT, FIRST_WAIT * 2 ** tries++));
            next = await again(last).catch(() => undefined);
            if (next !== undefined && (next.status !== 200 || next.body === null)) {
              controller.error(
                new Error(`the stream cannot be taken up again: status ${next.status}`, {
                  cause: broken,
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
