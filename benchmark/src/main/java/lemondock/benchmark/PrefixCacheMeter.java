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
 * A proxy between a gateway and its router: counts prompt tokens and those of them that were found
 * cached, and can hide from the router which requests belong together.
 */
final class PrefixCacheMeter {
  /** 2^64 divided by the golden ratio: consecutive multiples are spread evenly over all values. */
  private static final long SESSION_ID_STEP = 0x9E3779B97F4A7C15L;

  private final boolean hidesSessions;
  private final AtomicLong cachedTokens = new AtomicLong();
  private final AtomicLong promptTokens = new AtomicLong();

  private PrefixCacheMeter(boolean hidesSessions) {
    this.hidesSessions = hidesSessions;
  }

  /** Creates a meter that passes all requests on unchanged. */
  static PrefixCacheMeter withAffinity() {
    return new PrefixCacheMeter(false);
  }

  /** Creates a meter that gives each request a session of its own and no shared prefix. */
  static PrefixCacheMeter withoutAffinity() {
    return new PrefixCacheMeter(true);
  }

  /** The share of all prompt tokens that were found cached, from 0 to 1. */
  double cachedShare() {
    return (double) cachedTokens.get() / promptTokens.get();
  }

  /** Returns a factory of routers whose tokens this meter counts. */
  RouterFactory routerFactory() {
    return (settings, seed, host) -> {
      RequestRouter router = Gateway.DEFAULT_ROUTER_FACTORY.create(settings, seed, host);
      AtomicLong lastSessionId = new AtomicLong(1);
      InvocationHandler handler =
          (proxy, method, arguments) -> {
            if (method.getName().equals("requestArrived")) {
              RoutingRequest request = (RoutingRequest) arguments[1];
              promptTokens.addAndGet(request.promptTokens());
              if (hidesSessions) {
                long sessionId = lastSessionId.addAndGet(SESSION_ID_STEP);
                return method.invoke(router, arguments[0], withSession(request, sessionId));
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

  private static RoutingRequest withSession(RoutingRequest request, long sessionId) {
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
