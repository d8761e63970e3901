package lemondock.node;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;
import lemondock.admit.Lateness;
import lemondock.ledger.Engines;
import lemondock.ledger.Leg;
import lemondock.ledger.ServerEntry;
import lemondock.ledger.Silence;
import lemondock.net.Loop;
import lemondock.net.http.Headers;
import lemondock.net.http.HttpClient;
import lemondock.net.http.HttpEncoder;
import lemondock.net.http.HttpEvent;
import lemondock.net.sse.SseEvent;
import lemondock.policy.Routing.Ending;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The ledger's port to the platform's model servers. Every read and write ends by exactly one {@code ended} or a cancel. */
final class NodeEngines implements Engines<NodeRequest, Boolean, NodeEvent> {
    /** Without a word for so long a stream is broken (microseconds): its client may be left waiting for 5 s behind the last event at most. */
    static final long SILENCE = 4_000_000;
    /** Time until further servers are asked to release. */
    private static final long RELEASE_RETRY = 80_000;
    /** The same after a failure, which says that nothing more comes of that call. */
    private static final long RELEASE_AFTER_FAILURE = 1_000;
    /** In turns of one more server each, these take 0.5 s; a further release follows from the module as long as something may be held. */
    private static final int RELEASE_TRIES = 21;
    /**
     * That an attempt was given up is no proof that its server knows: a read may still end there, a write may still wait for its state, which no
     * release takes from it. So the release is repeated once.
     */
    private static final int ROUNDS_AFTER_DOUBT = 2;
    private static final long RELEASE_ROUND = 250_000;
    /** Rounds after one that no server answered: what was made is still owed its release. */
    private static final int UNANSWERED_ROUNDS = 8;
    private static final long RELEASE_ENDS = 1_000_000;
    private static final Logger LOG = LoggerFactory.getLogger(NodeEngines.class);
    private static final String NOT_RUN = "x-not-run";
    private static final byte[] NOTHING = new byte[0];

    private final Loop loop;
    private final Lateness lateness;
    private final HttpClient client;
    private final Supplier<List<ServerEntry>> servers;
    private final Predicate<ServerEntry> wanted;
    private final NodeCount count;
    private final Map<InetSocketAddress, Integer> releasing = new HashMap<>();
    private final ReleaseTargets releaseTargets = new ReleaseTargets();
    private int releases;

    /**
     * Makes the adapter; {@code servers} tells who else may be told that a state is let go of, {@code wanted} whether a server chosen some
     * time ago may still be sent to: a change of the list holds for what waits for its connection too.
     */
    NodeEngines(Loop loop, Lateness lateness, HttpClient client, Supplier<List<ServerEntry>> servers, Predicate<ServerEntry> wanted,
            NodeCount count) {
        this.loop = loop;
        this.lateness = lateness;
        this.client = client;
        this.servers = servers;
        this.wanted = wanted;
        this.count = count;
    }

    @Override
    public Work read(ServerEntry server, String name, Leg.Spec<NodeRequest> spec, Attempt<Boolean, NodeEvent> attempt) {
        return send(server, spec.prompt(), new Sent(server, true, spec.prompt(), attempt));
    }

    @Override
    public Work write(ServerEntry server, String name, Leg.Spec<NodeRequest> spec, Boolean state,
            Attempt<Boolean, NodeEvent> attempt) {
        return send(server, spec.prompt(), new Sent(server, false, spec.prompt(), attempt));
    }

    private Work send(ServerEntry server, NodeRequest request, Sent sent) {
        sent.call = client.send(server.address(), () -> sent.bytes(request), sent);
        return sent;
    }

    /** States go by the request's name here, see {@link #releaseIdle}. */
    @Override
    public void release(ServerEntry at, String name, NodeRequest request) {
        releaseIdle(at, name, request, true);
    }

    /** A model server releases what is held for the request and no attempt waits for, wherever it is held. */
    @Override
    public boolean releaseIdle(ServerEntry at, String name, NodeRequest request, boolean ended) {
        if (request.release != null) {
            request.release.stop(); // the new one says all that it had to say
        }
        request.release = new Release(request.id, at, ended && request.attemptDoubted ? ROUNDS_AFTER_DOUBT : 1);
        request.release.begin();
        return true;
    }

    /** All states share the request's name here: the module releases what its writes do not take. */
    @Override
    public void supersede(ServerEntry at, String name, NodeRequest request) { }

    /** The module releases what the read may have left. */
    @Override
    public void doubt(ServerEntry at, String name, NodeRequest request) { }

    /** Releases that have not ended, those that wait for their next round among them. */
    int releases() {
        return releases;
    }

    /** Calls under way that let go of something, by address. */
    Map<InetSocketAddress, Integer> releasing() {
        return Map.copyOf(releasing);
    }

    /**
     * Tells servers that a request's state is released until one has answered; any server passes it on. Further ones are asked in short turns,
     * more of them in each: a machine that says nothing may be one of many. Only an answer ends it, or the end of its time.
     */
    final class Release {
        private final String id;
        private final ServerEntry holder;
        private final Set<Asked> calls = new HashSet<>();
        private List<InetSocketAddress> targets;
        private int roundsLeft;
        private int tried;
        private int turns;
        private int unansweredRounds;
        private boolean answered;
        private boolean over;
        private Loop.Timer again = () -> { };

        Release(String id, ServerEntry holder, int rounds) {
            this.id = id;
            this.holder = holder;
            this.roundsLeft = rounds;
            releases++;
        }

        void begin() {
            if (over) {
                return;
            }
            answered = false;
            tried = 0;
            turns = 0;
            targets = releaseTargets.order(holder, id, servers.get(), RELEASE_TRIES);
            count.releaseBegun();
            nextTurn();
        }

        private void nextTurn() {
            again.cancel();
            if (answered || over) {
                return;
            }
            if (tried >= RELEASE_TRIES) {
                count.releaseGivenUp();
                LOG.debug("release of {}: no answer to {} tries", id, tried);
                nextRound(unansweredRounds++ < UNANSWERED_ROUNDS);
                return;
            }
            int most = Math.min(RELEASE_TRIES, tried + ++turns);
            again = loop.schedule(RELEASE_RETRY, this::nextTurn);
            while (tried < most) {
                ask(targets.get(tried % targets.size()));
            }
        }

        private void ask(InetSocketAddress to) {
            if (tried++ > 0) {
                count.releaseTriedAgain();
            }
            LOG.debug("release of {}: try {} goes to {}", id, tried, to);
            Asked asked = new Asked(this, to);
            asked.call = client.send(to, HttpEncoder.request("DELETE", "/state/" + id,
                    Headers.of("host", to.getHostString() + ":" + to.getPort()), NOTHING), asked);
            calls.add(asked);
            loop.schedule(RELEASE_ENDS, asked::breakOff); // a machine that says nothing would hold the connection for ever
        }

        private void notDone(InetSocketAddress to, String what) {
            LOG.debug("release of {}: failed at {}, {}", id, to, what);
            if (!answered && !over) {
                again.cancel();
                again = loop.schedule(RELEASE_AFTER_FAILURE, this::nextTurn);
            }
        }

        private void answeredBy(InetSocketAddress by) {
            if (answered || over) {
                return;
            }
            answered = true;
            again.cancel();
            count.releaseAnswered();
            LOG.debug("release of {}: answered by {}", id, by);
            nextRound(--roundsLeft > 0);
        }

        /** Begins once more after a pause, or ends. */
        private void nextRound(boolean wanted) {
            if (wanted) {
                loop.schedule(RELEASE_ROUND, this::begin);
            } else {
                end();
            }
        }

        private void end() {
            if (!over) {
                over = true;
                releases--;
            }
        }

        /** Asks nobody any more, and breaks off what is under way. */
        void stop() {
            end();
            again.cancel();
            List.copyOf(calls).forEach(Asked::breakOff);
        }
    }

    /** One call of a release to one server. */
    private final class Asked extends HttpClient.Keeping {
        private final Release release;
        private final InetSocketAddress to;
        private HttpClient.Call call;
        private boolean ended;

        Asked(Release release, InetSocketAddress to) {
            this.release = release;
            this.to = to;
            releasing.merge(to, 1, Integer::sum);
        }

        @Override
        public void done() {
            ended();
            if (status() / 100 == 2) {
                release.answeredBy(to);
            } else {
                release.notDone(to, "status " + status());
            }
        }

        @Override
        public void failed(HttpClient.Failure failure, String what) {
            ended();
            release.notDone(to, what);
        }

        void breakOff() {
            call.cancel();
            ended();
        }

        private void ended() {
            if (!ended) {
                ended = true;
                release.calls.remove(this);
                releasing.computeIfPresent(to, (k, n) -> n == 1 ? null : n - 1);
            }
        }
    }

    /** One attempt on its connection. */
    private final class Sent extends HttpClient.Keeping implements Work {
        private final ServerEntry server;
        private final InetSocketAddress to;
        private final boolean reads;
        private final NodeRequest request;
        private final Attempt<Boolean, NodeEvent> attempt;
        private HttpClient.Call call;
        private boolean over;
        private boolean closed;
        private boolean begun;
        private boolean withdrawn;
        private final Silence quiet = new Silence(loop, lateness, SILENCE, this::silent);

        Sent(ServerEntry server, boolean reads, NodeRequest request, Attempt<Boolean, NodeEvent> attempt) {
            this.server = server;
            this.to = server.address();
            this.reads = reads;
            this.request = request;
            this.attempt = attempt;
        }

        /** Made when it is written: a connection may take long to come up. Null if its server wants nothing new by then. */
        ByteBuffer bytes(NodeRequest request) {
            if (!wanted.test(server)) {
                withdrawn = true;
                return null;
            }
            long left = Math.max(1, (request.until - loop.now()) / 1_000);
            Headers headers = Headers.of("host", to.getHostString() + ":" + to.getPort(), "x-deadline-ms", Long.toString(left));
            for (int i = 0; i < request.headers.size(); i++) {
                headers.add(request.headers.name(i), request.headers.value(i));
            }
            return HttpEncoder.request("POST", request.target, headers, request.body);
        }

        @Override
        public void cancel() {
            over();
            request.attemptDoubted = true;
            call.cancel();
        }

        @Override
        public void pause() {
            quiet.pause();
            call.pause();
        }

        @Override
        public void resume() {
            quiet.resume();
            call.resume();
        }

        @Override
        public void head(HttpEvent.ResponseHead head) {
            super.head(head);
            releaseTargets.answered(server);
        }

        @Override
        public Object map(SseEvent event) {
            return event;
        }

        @Override
        public void event(Object mapped) {
            if (over) {
                return;
            }
            SseEvent event = (SseEvent) mapped;
            byte[] data = event.data().getBytes(StandardCharsets.UTF_8);
            boolean last = NodeEvent.closes(data, data.length);
            if (status() != 200 || reads || closed || !last && (data.length == 0 || data[0] != '{')) {
                call.cancel();
                end(Ending.ERROR, false, to + ": an event that makes no sense here");
                return;
            }
            quiet.heard();
            closed = last;
            attempt.chunk(new NodeEvent(data));
            if (!begun && !over) {
                begun = true;
                quiet.watch();
            }
        }

        private void silent() {
            call.cancel();
            end(Ending.RESET, false, to + ": the stream stayed silent");
        }

        @Override
        public void done() {
            boolean never = "1".equals(header(NOT_RUN));
            int status = status();
            if (reads && status == 202 && !over) {
                over();
                attempt.read(Boolean.TRUE, Math.max(0, NodeEvent.cached(body(), body().length)));
            } else if (!reads && status == 200 && closed) {
                end(Ending.OK, false, "");
            } else if (!reads && status == 200) {
                end(begun ? Ending.RESET : Ending.ERROR, false, to + ": the stream ended before its last event");
            } else if (never && status == 410) {
                end(Ending.FULL, true, to + ": the read state is gone");
            } else if (never && status == 503) {
                end(Ending.FULL, false, to + ": turned away");
            } else if (never) {
                end(Ending.MOOT, false, to + ": status " + status + ", not run");
            } else {
                end(Ending.ERROR, false, to + ": status " + status);
            }
        }

        @Override
        public void failed(HttpClient.Failure failure, String what) {
            request.attemptDoubted |= failure == HttpClient.Failure.BROKEN || failure == HttpClient.Failure.MALFORMED;
            end(withdrawn ? Ending.MOOT : Engines.ending(failure), false, what);
        }

        private void over() {
            over = true;
            quiet.end();
        }

        private void end(Ending ending, boolean stateMissing, String what) {
            if (!over) {
                over();
                attempt.ended(ending, stateMissing, what);
            }
        }
    }
}
