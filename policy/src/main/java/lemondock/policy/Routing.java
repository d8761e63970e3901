package lemondock.policy;

import java.util.List;

/**
 * The interface of the decision module: its types, the events it is told and the actions it may
 * take.
 *
 * <p>All times and durations are {@code long} microseconds; a moment is counted from any fixed
 * start and never goes back. Prompt and answer lengths are tokens. Ids are opaque. A zero key means
 * "none". Nothing here decides.
 */
public final class Routing {
  private Routing() {}

  /** What a kind of server can do: read prompts, write answers, or both. */
  public enum Role {
    READER,
    WRITER,
    MIXED
  }

  /**
   * Whether a class's requests are safe to repeat, safe within a group and window, or may run only
   * once.
   */
  public enum Repeat {
    SAFE,
    KEYED,
    ONCE
  }

  /** The servers that drop the repeats of a keyed request: all of them, one zone's, one cell's. */
  public enum Group {
    ALL,
    ZONE,
    CELL
  }

  /** What the list of servers says of one. */
  public enum Standing {
    READY,
    DRAINING,
    GONE
  }

  /**
   * What a list event holds: changes only, the whole list, the whole list from before a restart, or
   * nothing.
   */
  public enum ListKind {
    CHANGES,
    WHOLE,
    CACHED,
    FAILED
  }

  /**
   * How an attempt ended. FULL, CONNECT_FAILED and MOOT prove that it never ran; READ means that a
   * reader has read the prompt and keeps its state, with nothing answered.
   */
  public enum Ending {
    OK,
    ERROR,
    FULL,
    TIMEOUT,
    CONNECT_FAILED,
    RESET,
    CANCELLED,
    MOOT,
    READ
  }

  /** Why a request was parked, tried again, released or ended. */
  public enum Reason {
    /** Its deadline, or the end that a shutdown leaves it, has come. */
    DEADLINE,
    /** It could not end before this gateway may be killed. */
    SHUTTING_DOWN,
    /** It waited for room until another attempt would have been too late. */
    NO_ROOM,
    /** It waits for room, or for a reader that would be in time. */
    PARKED,
    /** No reader may take it, or each would be too late. */
    NO_READER,
    /** No writer may take it. */
    NO_WRITER,
    /** Too few attempts are left for an answer. */
    ATTEMPTS_SPENT,
    /** Its client's time was over when an attempt ended. */
    TIME_SPENT,
    /** The budget for retries is spent. */
    RETRIES_SPENT,
    /** Another attempt follows one that did not end well. */
    RETRY,
    /** An attempt took far longer than it should and was called off. */
    CALLED_OFF,
    /** What readers hold, or may hold, was released. */
    RELEASED
  }

  /**
   * One class of requests; aim and deadline count from the request's arrival to its first token.
   */
  public record RequestClass(
      long aim,
      long aimPerThousandTokens,
      long deadline,
      double worth,
      double lateWorth,
      Repeat repeat,
      Group group,
      long repeatWindow,
      long tokenAim) {}

  /**
   * One tenant and the requests a second, over all gateways, that lie within its share (0: no
   * share).
   */
  public record Tenant(double quotaPerSecond) {}

  /** One kind of server; memory in tokens, 0 if not told. */
  public record Kind(Role role, long memoryTokens) {}

  /** What the deployment allows. */
  public record Limits(
      int maxAttempts,
      boolean cancel,
      boolean secondCopies,
      boolean probes,
      boolean peers,
      boolean retryAdvice,
      long maxRetryAdvice,
      long connectTimeout,
      boolean askForList) {}

  /**
   * The figures of the rules; coldShare is the part of its capacity with which a server starts at
   * least.
   */
  public record Rules(
      long answerSlack,
      long drainGrace,
      double coldShare,
      long warmUp,
      double overloadFactor,
      long overloadWindow,
      long releaseWithin) {}

  /**
   * All that the module is told at its start. Zone, class, tenant and kind numbers index the lists.
   */
  public record Settings(
      int me,
      int gateways,
      int zone,
      long resolution,
      List<RequestClass> classes,
      List<Tenant> tenants,
      List<Kind> kinds,
      Limits limits,
      Rules rules,
      boolean streamsResume,
      boolean writersRead) {}

  /** One server as listed; startedAt 0 means long ago. */
  public record Server(
      long id, int zone, int kind, int cell, Standing standing, double weight, long startedAt) {}

  /** One request; hint is the expected time of writing at the class's token aim, 0 if not told. */
  public record Request(
      long id,
      int classId,
      int tenant,
      long session,
      long prefix,
      int promptTokens,
      int prefixTokens,
      int maxAnswerTokens,
      long patience,
      long hint,
      boolean clientRepeat,
      boolean resumed) {}

  /**
   * The end of one attempt. kept: prompt tokens found kept (READ, OK); stateMissing: FULL for want
   * of a state.
   */
  public record Outcome(
      long requestId,
      int attempt,
      long serverId,
      Ending ending,
      long took,
      boolean requestEnded,
      int kept,
      boolean stateMissing) {}

  /**
   * Events, in the order they happened; {@code now} never goes back. Each may lead to calls on
   * {@link Host}.
   */
  public interface Decider {
    /** The first call, made once. */
    void started(long now);

    /** News of the servers. CHANGES apply to the list held; FAILED leaves it as it is. */
    void servers(long now, ListKind kind, List<Server> entries);

    /** A client's request; the module owes exactly one final answer from here on. */
    void request(long now, Request request);

    /** The answer of this attempt has begun to stream; the attempt now belongs to the client. */
    void firstToken(long now, long requestId, int attempt, long serverId, long took);

    /** An attempt has ended; exactly one for each {@link Host#send}. */
    void outcome(long now, Outcome outcome);

    /** The client has left; nothing more is owed. */
    void clientLeft(long now, long requestId);

    /** A timer set by {@link Host#timer} is due. */
    void timer(long now, long token);

    /** This gateway shuts down and may be killed at {@code until}; what is under way goes on. */
    default void shuttingDown(long now, long until) {}

    /**
     * Tells what the module sees at this moment, for reports; leads to no action and changes
     * nothing.
     */
    default void look(long now, Sight sight) {}
  }

  /** What {@link Decider#look} tells: each server listed, then all together. */
  public interface Sight {
    /** One server and what this gateway holds of it. */
    void server(long id, Role role, Standing standing, boolean cold, boolean healthy);

    /** Requests that wait for room, tokens under way, and the tokens that may be. */
    void all(int parked, long tokensUnderWay, long room);
  }

  /** Actions, carried out in the order of the calls, at the time of the event that led to them. */
  public interface Host {
    /**
     * Sends the request to a server; attempts count from 0. timeout 0: until the client gives up.
     */
    void send(long requestId, long serverId, long timeout);

    /** Final answer: trying again is harmless. retryAfter 0: no advice. */
    void refuse(long requestId, long retryAfter);

    /** Final answer that promises nothing. */
    void fail(long requestId);

    /** Stops waiting for an attempt; its outcome still comes. */
    void cancel(long requestId, int attempt);

    /** Lets go of every state held for the request; allowed after its end. */
    void release(long requestId);

    /** Asks for a {@link Decider#timer} event after the delay, never within the same event. */
    void timer(long token, long delay);

    /** Asks for the list of servers and its changes, where they come only on demand. */
    void watchServers();

    /** One line for the operators. */
    void log(String line);

    /**
     * Why the module did what it did with a request, for whoever traces that request; never built
     * per request.
     */
    default void trace(long requestId, Reason reason) {}
  }
}
