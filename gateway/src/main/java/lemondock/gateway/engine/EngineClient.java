package lemondock.gateway.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import lemondock.admit.Lateness;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.net.Loop;
import lemondock.net.http.Headers;
import lemondock.net.http.HttpClient;
import lemondock.net.http.HttpEncoder;
import lemondock.net.sse.SseEvent;
import lemondock.policy.Routing.Ending;

/** Carries reads, writes and aborts to engines. Every read and write ends by exactly one {@code ended} or a cancel. */
public final class EngineClient {
    private static final int ABORT_TRIES = 3;
    private static final long ABORT_AGAIN = 30_000;

    private final Loop loop;
    private final Lateness lateness;
    private final HttpClient client;
    private final String agent;
    private final String apiKey;
    private final long silence;

    /** Where plain pieces of a stream that runs go without the loop. */
    public interface Lane {
        /**
         * Takes a piece of text, good until this returns, on an I/O thread; false if it cannot just now, then the loop gets it.
         *
         * @param answerTokens tokens of the leg so far, -1 if not told
         */
        boolean take(CharSequence text, int answerTokens);
    }

    /** What becomes of an attempt. */
    public interface Attempt {
        /** The prompt was read; {@code transfer} names the state for a write. */
        default void read(JsonNode transfer, int promptTokens, int cachedTokens) { }

        /** An event of the answer. */
        default void chunk(Chunk chunk) { }

        /** The end: OK after a whole stream; the module's word for any other. */
        void ended(Ending ending, boolean stateMissing, String what);
    }

    /** Makes a client; {@code agent} names this gateway to the engines. */
    public EngineClient(Loop loop, HttpClient client, GatewaySettings.Engines settings, String agent, Lateness lateness) {
        this.lateness = lateness;
        this.loop = loop;
        this.client = client;
        this.agent = agent;
        this.apiKey = settings.apiKey();
        this.silence = GatewaySettings.micros(settings.streamSilenceMs());
    }

    /** Asks a server to read a prompt and keep its state. */
    public HttpClient.Call read(InetSocketAddress to, String requestId, ObjectNode prompt, Attempt attempt) {
        return client.send(to, post(to, EngineProtocol.COMPLETIONS, requestId, EngineProtocol.read(prompt, requestId)),
                new Reading(attempt));
    }

    /** Asks a server to write an answer from a state, or, without one, to read and write; {@code near} is a shard. */
    public Writing write(InetSocketAddress to, String requestId, ObjectNode prompt, JsonNode transfer, int maxTokens,
            int near, Attempt attempt) {
        Writing writing = new Writing(attempt);
        writing.call = client.send(to, post(to, EngineProtocol.COMPLETIONS, requestId,
                EngineProtocol.write(prompt, requestId, transfer, maxTokens)), near, writing);
        return writing;
    }

    /** Lets go of a request and of what is kept for it; tried again if it cannot be said at once. */
    public void abort(InetSocketAddress at, String requestId) {
        abort(at, requestId, ABORT_TRIES);
    }

    private void abort(InetSocketAddress at, String requestId, int tries) {
        client.send(at, post(at, EngineProtocol.ABORT, requestId, EngineProtocol.abort(requestId)),
                new HttpClient.Receiver() {
                    @Override
                    public void done() { }

                    @Override
                    public void failed(HttpClient.Failure failure, String what) {
                        if (tries > 1) {
                            loop.schedule(ABORT_AGAIN, () -> abort(at, requestId, tries - 1));
                        }
                    }
                });
    }

    private java.nio.ByteBuffer post(InetSocketAddress to, String path, String requestId, byte[] body) {
        Headers headers = Headers.of("host", to.getHostString() + ":" + to.getPort(), "content-type",
                "application/json", "user-agent", agent, "x-request-id", requestId);
        if (apiKey != null) {
            headers.add("authorization", "Bearer " + apiKey);
        }
        return HttpEncoder.request("POST", path, headers, body);
    }

    private static Ending ending(HttpClient.Failure failure) {
        return switch (failure) {
            case NOT_SENT -> Ending.CONNECT_FAILED;
            case NO_ROOM -> Ending.MOOT; // the server is not to be blamed for what this gateway lacks
            case BROKEN -> Ending.RESET;
            case MALFORMED -> Ending.ERROR;
        };
    }

    private static final class Reading extends HttpClient.Keeping {
        private final Attempt attempt;

        Reading(Attempt attempt) {
            this.attempt = attempt;
        }

        @Override
        public void done() {
            if (status() != 200) {
                EngineProtocol.Refusal refusal = EngineProtocol.refusal(status(), body());
                attempt.ended(refusal.ending(), refusal.stateMissing(), refusal.what());
                return;
            }
            EngineProtocol.ReadReply reply = EngineProtocol.readReply(body());
            if (reply.problem() != null) {
                attempt.ended(Ending.ERROR, false, reply.problem());
            } else {
                attempt.read(reply.transfer(), reply.promptTokens(), reply.cachedTokens());
            }
        }

        @Override
        public void failed(HttpClient.Failure failure, String what) {
            attempt.ended(ending(failure), false, what);
        }
    }

    /** A write under way. A stream that was begun and then stays silent is broken after the settings' time. */
    public final class Writing extends HttpClient.Keeping {
        private final Attempt attempt;
        private HttpClient.Call call;
        private boolean finished;
        private boolean over;
        private boolean paused;
        private boolean watched;
        private Loop.Timer silent = () -> { };
        private volatile long heardAt;
        private volatile Lane lane;
        private final PlainPiece plain = new PlainPiece();

        private Writing(Attempt attempt) {
            this.attempt = attempt;
        }

        /** Takes no more of the answer until {@link #resume}, which slows the engine. */
        public void pause() {
            paused = true;
            call.pause();
        }

        /** Takes the answer again. */
        public void resume() {
            paused = false;
            heardAt = loop.now();
            call.resume();
        }

        /** Plain pieces go this way from now on; what is more than plain text still comes as an event. */
        public void by(Lane way) {
            lane = way;
        }

        @Override
        public boolean direct(byte[] data, int length) {
            Lane way = lane;
            if (way == null || !plain.take(data, length) || !way.take(plain.text(), plain.answerTokens())) {
                return false;
            }
            heardAt = loop.now();
            return true;
        }

        /** Breaks the connection; nothing more is heard. */
        public void cancel() {
            over();
            call.cancel();
        }

        /** Nothing may hold it any more: a timer that is left to run out would keep the whole call until then. */
        private void over() {
            lane = null;
            over = true;
            silent.cancel();
        }

        @Override
        public Object map(SseEvent event) {
            return EngineProtocol.chunk(event.data());
        }

        @Override
        public void event(Object mapped) {
            Chunk chunk = (Chunk) mapped;
            if (over || finished && !chunk.carries() && chunk.error() == null && chunk.answerTokens() < 0) {
                return;
            }
            heardAt = loop.now();
            if (status() != 200 || chunk.error() != null) {
                call.cancel();
                end(Ending.ERROR, status() != 200 ? "status " + status() + " with an event stream" : chunk.error());
                return;
            }
            finished |= chunk.finish() != null;
            attempt.chunk(chunk);
            if (!watched && !over && chunk.carries()) {
                watch();
            }
        }

        private void watch() {
            watched = true;
            silent = loop.schedule(Math.max(1_000, heardAt + silence - loop.now()), () -> {
                lateness.notice(loop.now());
                long putOff = lateness.putOff(loop.now());
                if (putOff > 0) { // the process stood still: what the engine said meanwhile is heard first
                    heardAt = Math.max(heardAt, loop.now() - silence + putOff);
                }
                if (!paused && loop.now() - heardAt >= silence) {
                    call.cancel();
                    end(Ending.RESET, "the stream stayed silent for " + silence / 1_000 + " ms");
                } else {
                    watch();
                }
            });
        }

        @Override
        public void done() {
            if (status() != 200) {
                EngineProtocol.Refusal refusal = EngineProtocol.refusal(status(), body());
                over();
                attempt.ended(refusal.ending(), refusal.stateMissing(), refusal.what());
            } else if (finished) {
                end(Ending.OK, "");
            } else {
                end(Ending.RESET, "the stream ended without a finish_reason");
            }
        }

        @Override
        public void failed(HttpClient.Failure failure, String what) {
            if (finished) {
                end(Ending.OK, ""); // all of the answer had come; only the closing mark was lost
            } else {
                end(ending(failure), what);
            }
        }

        private void end(Ending ending, String what) {
            if (!over) {
                over();
                attempt.ended(ending, false, what);
            }
        }
    }
}
