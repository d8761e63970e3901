package lemondock.dispatch;

import lemondock.net.http.RequestFailure;
import lemondock.policy.AttemptOutcome;

/**
 * The port to the engines. An adapter turns what the ledger asks for into a protocol's messages and
 * says what came back; it decides nothing. Loop thread only.
 *
 * @param <P> what an engine gets: the request as the client's side made it
 * @param <S> how a protocol names a state that waits at a reader
 * @param <C> an event of a stream
 */
public interface EnginePort<P, S, C extends StreamChunk> {
  /** Asks a server to read; {@code name} is the attempt's own and never used again. */
  Work read(Endpoint server, String name, DispatchedRequest<P> spec, Attempt<S, C> attempt);

  /** Asks a server to write from a state, or, where that is null, to read and write. */
  Work write(
      Endpoint server, String name, DispatchedRequest<P> spec, S state, Attempt<S, C> attempt);

  /** Lets go of the state that the read of that name left at a server. */
  void release(Endpoint at, String name, P prompt);

  /**
   * Attempts of the request are under way, or a read has ended without an answer: releases whatever
   * is held for the request and no attempt waits for, and leaves the attempts alone. False, and
   * nothing is done, in a protocol that cannot say this; there states go by the name of their read
   * alone. {@code ended}: the request has ended, and what servers still do for it comes to nothing.
   */
  default boolean releaseIdle(Endpoint at, String name, P prompt, boolean ended) {
    return false;
  }

  /**
   * Another state is used, or this one was not found: it is of no use, though its request goes on.
   * An adapter whose protocol names states by the request must not release it now, for that would
   * take the one in use along.
   */
  default void supersede(Endpoint at, String name, P prompt) {
    release(at, name, prompt);
  }

  /**
   * A read of that name may have left a state, now or soon: it was given up or broke while it was
   * under way. The adapter sees to it that nothing stays held, at once or, where a protocol names
   * states by the request, with {@link #releaseIdle}.
   */
  void doubt(Endpoint at, String name, P prompt);

  /** What a request without a whole response proves of its attempt. */
  static AttemptOutcome ending(RequestFailure failure) {
    return switch (failure) {
      case NOT_SENT -> AttemptOutcome.CONNECT_FAILED;
      case LOCAL_LIMIT_REACHED ->
          AttemptOutcome.MOOT; // the server is not to be blamed for what this gateway lacks
      case CONNECTION_LOST -> AttemptOutcome.RESET;
      case MALFORMED -> AttemptOutcome.ERROR;
    };
  }

  /** An attempt under way. */
  interface Work {
    /** Breaks it off; nothing more is heard of it. */
    void cancel();

    /** Takes no more of the answer until {@link #resume}, which slows the engine. */
    default void pause() {}

    /** Takes the answer again. */
    default void resume() {}

    /** Plain pieces go this way from now on, if the adapter can tell them. */
    default void by(Lane way) {}
  }

  /** Where plain pieces of a stream that runs go without the loop. */
  interface Lane {
    /**
     * Takes a piece of text, good until this returns, on an I/O thread; false if it cannot just
     * now, then the loop gets it.
     *
     * @param answerTokens tokens of the leg so far, -1 if not told
     */
    boolean take(CharSequence text, int answerTokens);
  }

  /**
   * What becomes of an attempt: a read or pieces of an answer, and, after all but a read, one end.
   */
  interface Attempt<S, C extends StreamChunk> {
    /** The prompt was read; the state waits at the reader. */
    default void read(S state, int cachedTokens) {}

    /** An event of the answer. */
    default void chunk(C chunk) {}

    /** The end: OK after a whole stream; the module's word for any other. */
    void ended(AttemptOutcome ending, boolean stateMissing, String what);
  }
}
