package lemondock.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import lemondock.net.Loop;
import lemondock.overload.StallMonitor;
import lemondock.policy.AttemptOutcome;
import lemondock.policy.AttemptResult;
import lemondock.policy.DecisionReason;
import lemondock.policy.EndpointListKind;
import lemondock.policy.RequestRouter;
import lemondock.policy.RouterHost;
import lemondock.policy.RouterSettings;
import lemondock.policy.RouterStateVisitor;
import lemondock.policy.RoutingRequest;
import lemondock.policy.ServerEntry;
import lemondock.policy.ServerKind;
import lemondock.policy.ServerRole;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The book of what is under way: it tells the module what happens and carries out what the module
 * decides, and decides nothing itself. It keeps the contract of {@link RequestRouter}: one outcome
 * for each send, events in order on one clock, no event within an event. Its table is bounded by
 * what its front lets in.
 *
 * @param <P> what an engine gets
 * @param <S> how the engines' protocol names a state
 * @param <C> an event of a stream
 */
public final class RequestDispatcher<P, S, C extends StreamChunk> implements RouterHost {
  private static final Logger LOG = LoggerFactory.getLogger(RequestDispatcher.class);

  private final Loop loop;
  private final AttemptMetrics tally;
  private final StallMonitor lateness;
  private final EnginePort<P, S, C> engines;
  private final EndpointRegistry members;
  private final String idPrefix;
  private final List<ServerRole> roles;
  private final Runnable watch;
  private final Map<Long, Entry<P, S, C>> legs = new HashMap<>();
  private final ArrayDeque<Runnable> after = new ArrayDeque<>();
  private final Counts counts = new Counts();
  private RequestRouter module;
  private boolean deciding;
  private long nextId = 1;

  /** Makes the module that decides for a ledger; tests may put a faulty one in its place. */
  public interface ModuleMaker {
    /** A module that acts through the host. */
    RequestRouter make(RouterSettings settings, long seed, RouterHost host);
  }

  /** What was counted since the start; the gateway's own word, for logs and comparison. */
  public static final class Counts {
    public long legs;
    public long sends;
    public long served;
    public long refused;
    public long failed;
    public long broke;
    public long left;
    public long releases;
  }

  private static final class Entry<P, S, C extends StreamChunk> {
    private final long id;
    private final DispatchedRequest<P> spec;
    private final RequestListener<C> listener;
    private final List<RequestDispatcher<P, S, C>.Attempt> attempts = new ArrayList<>();
    private final List<Held<S>> held = new ArrayList<>();
    private int out;
    private boolean ended;
    private boolean paused;
    private RequestDispatcher<P, S, C>.Attempt stream;
    private RequestDispatcher<P, S, C>.Attempt lastRead;

    Entry(long id, DispatchedRequest<P> spec, RequestListener<C> listener) {
      this.id = id;
      this.spec = spec;
      this.listener = listener;
    }
  }

  /** A state that waits at a reader under the name of the read that made it. */
  private record Held<S>(Endpoint at, String requestId, S state, long since) {}

  /** Makes a ledger; {@code idPrefix} begins the ids that engines see. */
  public RequestDispatcher(
      Loop loop,
      EnginePort<P, S, C> engines,
      EndpointRegistry members,
      RouterSettings settings,
      long seed,
      String idPrefix,
      ModuleMaker maker,
      Runnable watch,
      AttemptMetrics tally,
      StallMonitor lateness) {
    this.lateness = lateness;
    this.loop = loop;
    this.tally = tally;
    this.engines = engines;
    this.members = members;
    this.idPrefix = idPrefix;
    this.roles = settings.serverKinds().stream().map(ServerKind::role).toList();
    this.watch = watch;
    this.module = maker.make(settings, seed, this);
  }

  /** Begins; once. */
  public void start() {
    decide(null, () -> module.started(loop.now()));
  }

  /** Takes a request; its listener hears how it ends. */
  public long open(DispatchedRequest<P> spec, RequestListener<C> listener) {
    Entry<P, S, C> entry = new Entry<>(nextId++, spec, listener);
    legs.put(entry.id, entry);
    counts.legs++;
    RoutingRequest request =
        new RoutingRequest(
            entry.id,
            spec.classId(),
            spec.tenant(),
            spec.session(),
            spec.prefix(),
            spec.promptTokens(),
            spec.prefixTokens(),
            spec.maxTokens(),
            spec.patience(),
            0,
            spec.clientRepeat(),
            spec.resumed());
    decide(entry, () -> module.requestArrived(loop.now(), request));
    return entry.id;
  }

  /**
   * The client does not want the answer any more: ends the request, whatever its stage; its
   * listener hears nothing.
   */
  public void leave(long id) {
    Entry<P, S, C> entry = legs.get(id);
    if (entry == null || entry.ended) {
      return;
    }
    entry.ended = true;
    counts.left++;
    decide(entry, () -> module.clientDisconnected(loop.now(), id));
    if (entry.stream != null && !entry.stream.over) {
      Attempt stream = entry.stream;
      stream.work.cancel();
      later(() -> end(stream, AttemptOutcome.CANCELLED, 0, false, "the client left"));
    }
    forget(entry);
  }

  /** Stops taking the answer from its engine, which slows it. */
  public void pause(long id) {
    Entry<P, S, C> entry = legs.get(id);
    if (entry != null && !entry.paused) {
      entry.paused = true;
      if (entry.stream != null && !entry.stream.over) {
        entry.stream.work.pause();
      }
    }
  }

  /** Takes the answer again. */
  public void resume(long id) {
    Entry<P, S, C> entry = legs.get(id);
    if (entry != null && entry.paused) {
      entry.paused = false;
      if (entry.stream != null && !entry.stream.over) {
        entry.stream.work.resume();
      }
    }
  }

  /** News of the servers, in the module's terms. */
  public void servers(EndpointListKind kind, List<ServerEntry> servers) {
    decide(null, () -> module.endpointsChanged(loop.now(), kind, servers));
  }

  /** This gateway shuts down and may be killed at that time (of the loop's clock). */
  public void shuttingDown(long until) {
    decide(null, () -> module.shutdownStarted(loop.now(), until));
  }

  /** Has the module tell what it sees, for reports. */
  public void look() {
    look(
        tally.look(
            id -> {
              Endpoint server = members.entry(id);
              return server == null ? null : server.zone();
            }));
  }

  /** The same to somebody else. */
  public void look(RouterStateVisitor sight) {
    module.visitState(loop.now(), sight);
  }

  /** Tells each attempt that is out. */
  public void underWay(BiConsumer<Endpoint, DispatchedRequest<P>> each) {
    for (Entry<P, S, C> entry : legs.values()) {
      for (Attempt attempt : entry.attempts) {
        if (!attempt.over && attempt.server != null) {
          each.accept(attempt.server, entry.spec);
        }
      }
    }
  }

  /** Requests under way, ended ones whose attempts are still out among them. */
  public int size() {
    return legs.size();
  }

  /** What was counted since the start. */
  public Counts counts() {
    return counts;
  }

  // ==== the module's actions

  @Override
  public void send(long requestId, long serverId, long timeout) {
    Entry<P, S, C> entry = legs.get(requestId);
    if (entry == null) {
      return;
    }
    Endpoint server = members.entry(serverId);
    Attempt attempt = new Attempt(entry, entry.attempts.size(), serverId, server, loop.now());
    entry.attempts.add(attempt);
    entry.out++;
    counts.sends++;
    if (server != null) {
      attempt.role = roles.get(members.kind(serverId));
      tally.sent(attempt.role, server.zone());
    }
    if (entry.ended || server == null) {
      later(
          () ->
              end(
                  attempt,
                  AttemptOutcome.ABANDONED_BEFORE_SEND,
                  0,
                  false,
                  "the request has ended or the server is not known"));
      return;
    }
    LOG.debug("leg {}: attempt {} goes to {}", requestId, attempt.number, server.name());
    ServerRole role = attempt.role;
    Held<S> state = entry.held.isEmpty() ? null : entry.held.get(entry.held.size() - 1);
    if (role == ServerRole.READER) {
      attempt.reads = true;
      entry.lastRead = attempt;
      attempt.work = engines.read(server, attempt.requestId, entry.spec, attempt);
    } else if (role == ServerRole.WRITER && state == null) {
      later(
          () -> end(attempt, AttemptOutcome.REJECTED, 0, true, "there is no state to write from"));
    } else {
      attempt.state = state;
      attempt.work =
          engines.write(
              server, attempt.requestId, entry.spec, state == null ? null : state.state(), attempt);
      if (entry.paused) {
        attempt.work.pause();
      }
    }
    if (timeout > 0) {
      attempt.limit =
          loop.schedule(
              timeout,
              () -> {
                if (!attempt.over && entry.stream != attempt) {
                  attempt.giveUp();
                  end(attempt, AttemptOutcome.TIMEOUT, 0, false, "no answer in time");
                }
              });
    }
  }

  @Override
  public void reject(long requestId, long retryAfter) {
    Entry<P, S, C> entry = legs.get(requestId);
    if (entry != null && !entry.ended) {
      entry.ended = true;
      counts.refused++;
      after.add(() -> over(entry, () -> entry.listener.refused(retryAfter)));
    }
  }

  @Override
  public void fail(long requestId) {
    Entry<P, S, C> entry = legs.get(requestId);
    if (entry != null && !entry.ended) {
      entry.ended = true;
      counts.failed++;
      after.add(() -> over(entry, entry.listener::failed));
    }
  }

  @Override
  public void cancel(long requestId, int number) {
    Entry<P, S, C> entry = legs.get(requestId);
    if (entry != null && number < entry.attempts.size()) {
      Attempt attempt = entry.attempts.get(number);
      if (!attempt.over && entry.stream != attempt && !attempt.calledOff) {
        attempt.calledOff = true;
        attempt.giveUp();
        later(() -> end(attempt, AttemptOutcome.CANCELLED, 0, false, "called off"));
      }
    }
  }

  @Override
  public void releaseState(long requestId) {
    Entry<P, S, C> entry = legs.get(requestId);
    if (entry == null) {
      return;
    }
    if (releaseIdle(entry) || entry.out > 0) {
      return;
    }
    entry.held.forEach(h -> letGo(entry, h));
    entry.held.clear();
  }

  private boolean releaseIdle(Entry<P, S, C> entry) {
    Attempt read = entry.lastRead;
    boolean done =
        read != null
            && engines.releaseIdle(read.server, read.requestId, entry.spec.prompt(), entry.ended);
    if (done) {
      entry.held.forEach(this::counted);
      entry.held.clear();
    }
    return done;
  }

  @Override
  public void setTimer(long token, long delay) {
    loop.schedule(delay, () -> due(token));
  }

  /**
   * After a stall of the process, what came in meanwhile is heard before anything is judged by
   * time.
   */
  private void due(long token) {
    lateness.detectStall(loop.now());
    long putOff = lateness.remainingGraceMicros(loop.now());
    if (putOff > 0) {
      loop.schedule(putOff, () -> due(token));
    } else {
      decide(null, () -> module.timerFired(loop.now(), token));
    }
  }

  /** What an attempt took, without the time for which this process did not run. */
  private long took(Attempt attempt) {
    lateness.detectStall(loop.now());
    return Math.max(
        0, loop.now() - attempt.sentAt - (lateness.totalStallMicros() - attempt.stalledBefore));
  }

  @Override
  public void watchEndpoints() {
    watch.run();
  }

  @Override
  public void log(String line) {
    LOG.info("module: {}", line);
  }

  @Override
  public void trace(long requestId, DecisionReason reason) {
    tally.decided(reason);
    LOG.debug("leg {}: {}", requestId, reason);
  }

  // ==== what happens to attempts

  private final class Attempt implements EnginePort.Attempt<S, C> {
    private final Entry<P, S, C> entry;
    private final int number;
    private final long serverId;
    private final Endpoint server;
    private final long sentAt;
    private final long stalledBefore = lateness.totalStallMicros();
    private final String requestId;
    private EnginePort.Work work;
    private Held<S> state;
    private ServerRole role;
    private boolean reads;
    private boolean calledOff;
    private boolean over;
    private boolean laneGiven;
    private int cached;
    private Loop.Timer limit = () -> {};

    Attempt(Entry<P, S, C> entry, int number, long serverId, Endpoint server, long sentAt) {
      this.entry = entry;
      this.number = number;
      this.serverId = serverId;
      this.server = server;
      this.sentAt = sentAt;
      this.requestId = idPrefix + "-" + entry.id + "-" + number;
    }

    /** Breaks the connection, and lets go of what a read may have left at the same moment. */
    void giveUp() {
      if (work != null) {
        work.cancel();
        if (reads) {
          engines.doubt(server, requestId, entry.spec.prompt());
        }
      }
    }

    @Override
    public void read(S made, int cachedTokens) {
      if (!over) {
        entry.held.forEach(
            h -> supersede(entry, h)); // one state is enough; the newest is the one in use
        entry.held.clear();
        tally.stateMade(server.zone());
        LOG.debug("leg {}: state held at {}", entry.id, server.name());
        entry.held.add(new Held<>(server, requestId, made, loop.now()));
        end(this, AttemptOutcome.PROMPT_READ, cachedTokens, false, "");
      }
    }

    @Override
    public void chunk(C chunk) {
      cached = Math.max(cached, chunk.cachedTokens());
      if (entry.stream == null && chunk.carries()) {
        entry.stream = this;
        if (entry.held.remove(state)) { // the writer has fetched it, and its reader has let it go
          tally.stateFetched(state.at().zone(), loop.now() - state.since());
          LOG.debug("leg {}: state taken by {}", entry.id, server.name());
        }
        entry.held.forEach(h -> supersede(entry, h));
        entry.held.clear();
        decide(entry, () -> module.firstToken(loop.now(), entry.id, number, serverId, took(this)));
      }
      if (entry.stream == this && !entry.ended) {
        entry.listener.chunk(chunk);
        if (!laneGiven && !entry.ended && work != null) {
          laneGiven = true;
          work.by(entry.listener.lane());
        }
      }
    }

    @Override
    public void ended(AttemptOutcome ending, boolean stateMissing, String what) {
      if (!calledOff) {
        end(this, ending, cached, stateMissing, what);
      }
    }
  }

  /** The one place where an attempt ends. */
  private void end(
      Attempt attempt, AttemptOutcome ending, int kept, boolean stateMissing, String what) {
    final Entry<P, S, C> entry = attempt.entry;
    if (attempt.over) {
      return;
    }
    attempt.over = true;
    attempt.limit.cancel();
    entry.out--;
    if (attempt.reads && (ending == AttemptOutcome.RESET || ending == AttemptOutcome.ERROR)) {
      engines.doubt(attempt.server, attempt.requestId, entry.spec.prompt());
    }
    if (attempt.role != null) {
      tally.attemptEnded(attempt.role, attempt.server.zone(), ending);
    }
    boolean stream = entry.stream == attempt;
    boolean ends = stream || ending == AttemptOutcome.OK;
    final boolean first = ends && !entry.ended;
    entry.ended |= ends;
    if (ending != AttemptOutcome.OK
        && ending != AttemptOutcome.PROMPT_READ
        && LOG.isDebugEnabled()) {
      LOG.atDebug()
          .addKeyValue("request", attempt.requestId)
          .addKeyValue("server", attempt.server == null ? "?" : attempt.server.name())
          .addKeyValue("ending", ending)
          .addKeyValue("why", what)
          .log("an attempt did not end well");
    }
    if (stateMissing && attempt.state != null && entry.held.remove(attempt.state)) {
      supersede(entry, attempt.state);
    }
    AttemptResult outcome =
        new AttemptResult(
            entry.id,
            attempt.number,
            attempt.serverId,
            ending,
            took(attempt),
            entry.ended,
            kept,
            stateMissing);
    decide(entry, () -> module.attemptEnded(loop.now(), outcome));
    if (first && ending == AttemptOutcome.OK) {
      counts.served++;
      entry.listener.served();
    } else if (first) {
      counts.broke++;
      entry.listener.broke(what);
    }
    forget(entry);
  }

  private void supersede(Entry<P, S, C> entry, Held<S> state) {
    counted(state);
    engines.supersede(state.at(), state.requestId(), entry.spec.prompt());
  }

  private void counted(Held<S> state) {
    counts.releases++;
    tally.stateLetGo(state.at().zone(), loop.now() - state.since());
  }

  private void letGo(Entry<P, S, C> entry, Held<S> state) {
    counted(state);
    engines.release(state.at(), state.requestId(), entry.spec.prompt());
  }

  private void forget(Entry<P, S, C> entry) {
    if (entry.ended && entry.out == 0) {
      legs.remove(entry.id);
    }
  }

  /**
   * Once the module's event is done: the request may have ended by a timer, with no attempt to come
   * back.
   */
  private void over(Entry<P, S, C> entry, Runnable tell) {
    tell.run();
    forget(entry);
  }

  private void later(Runnable task) {
    loop.execute(task);
  }

  /**
   * Runs one event of the module and then what it led to. An exception of the module is a defect:
   * the request it was about is failed, so that its client is answered, and the rest goes on.
   */
  private void decide(Entry<P, S, C> entry, Runnable event) {
    if (deciding) {
      throw new IllegalStateException("an event within an event");
    }
    deciding = true;
    try {
      event.run();
    } catch (RuntimeException e) {
      LOG.error("the module failed", e);
      if (entry != null) {
        fail(entry.id);
      }
    } finally {
      deciding = false;
    }
    for (Runnable next = after.poll(); next != null; next = after.poll()) {
      next.run();
    }
    if (entry != null) {
      forget(entry);
    }
  }
}
