package lemondock.benchmark;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.util.concurrent.atomic.AtomicLong;
import lemondock.dispatch.RouterFactory;
import lemondock.gateway.Gateway;
import lemondock.policy.AttemptResult;
import lemondock.policy.RequestRouter;
import lemondock.policy.RoutingRequest;

/**
 * Stands between a gateway and its decision module: counts prompt tokens and those of them that
 * were found cached, and can hide from the module which requests belong together.
 */
final class PrefixCacheMeter {
  /** Consecutive multiples are spread evenly: 2^64 divided by the golden ratio. */
  private static final long SESSION_STEP = 0x9E3779B97F4A7C15L;

  private final boolean hidesSessions;
  private final AtomicLong cachedTokens = new AtomicLong();
  private final AtomicLong promptTokens = new AtomicLong();

  private PrefixCacheMeter(boolean hidesSessions) {
    this.hidesSessions = hidesSessions;
  }

  /** The module as it is. */
  static PrefixCacheMeter withAffinity() {
    return new PrefixCacheMeter(false);
  }

  /** The module sees each request as a session of its own without a shared prefix. */
  static PrefixCacheMeter withoutAffinity() {
    return new PrefixCacheMeter(true);
  }

  /** Part of all prompt tokens that were found cached. */
  double cachedShare() {
    return (double) cachedTokens.get() / promptTokens.get();
  }

  /** Makes decision modules that are metered here. */
  RouterFactory routerFactory() {
    return (settings, seed, host) -> {
      RequestRouter router = Gateway.DEFAULT_ROUTER_FACTORY.create(settings, seed, host);
      AtomicLong sessions = new AtomicLong(1);
      InvocationHandler handler =
          (proxy, method, arguments) -> {
            if (method.getName().equals("requestArrived")) {
              RoutingRequest request = (RoutingRequest) arguments[1];
              promptTokens.addAndGet(request.promptTokens());
              if (hidesSessions) {
                long sessionId = sessions.addAndGet(SESSION_STEP);
                return method.invoke(router, arguments[0], inSession(request, sessionId));
              }
            } else if (method.getName().equals("attemptEnded")) {
              int cached = ((AttemptResult) arguments[1]).cachedTokens();
              cachedTokens.addAndGet(Math.max(0, cached));
            }
            return method.invoke(router, arguments);
          };
      return (RequestRouter)
          Proxy.newProxyInstance(
              RequestRouter.class.getClassLoader(), new Class<?>[] {RequestRouter.class}, handler);
    };
  }

  private static RoutingRequest inSession(RoutingRequest request, long sessionId) {
    return new RoutingRequest(
        request.id(),
        request.classId(),
        request.tenantId(),
        sessionId,
        0,
        request.promptTokens(),
        0,
        request.maxAnswerTokens(),
        request.clientTimeoutMicros(),
        request.expectedWriteMicros(),
        request.clientRetry(),
        request.resumed());
  }
}
