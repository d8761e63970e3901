package lemondock.gateway.mcp;

import static lemondock.gateway.mcp.HttpReplies.clip;

import java.util.Locale;
import java.util.Optional;
import java.util.regex.Pattern;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.net.http.HttpRequest;

/**
 * Protects against DNS rebinding by checking the Host and Origin header fields of requests. A page
 * of another site can make a browser send requests here, but they carry the host and origin of that
 * site. Any thread.
 */
final class DnsRebindingGuard {
  /** Entry in the settings that allows every host or origin. */
  private static final String ANY = "*";

  private static final Pattern LOOPBACK =
      Pattern.compile("(localhost|127\\.[0-9.]+|\\[::1]):[0-9]+");

  /**
   * Origin of a page that this machine serves, on any port. Pages of other machines have other
   * origins.
   */
  private static final Pattern LOOPBACK_ORIGIN =
      Pattern.compile("https?://(localhost|127\\.0\\.0\\.1|\\[::1])(:[0-9]{1,5})?");

  private final GatewaySettings.Front settings;
  private final boolean listensOnLoopback;

  DnsRebindingGuard(GatewaySettings.Front settings) {
    this.settings = settings;
    this.listensOnLoopback = LOOPBACK.matcher(settings.listen()).matches();
  }

  /** Returns why the request is not allowed; empty if it is allowed. */
  Optional<String> rejectionReason(HttpRequest request) {
    Optional<String> forbiddenHost =
        request.headers().firstValue("host").filter(host -> !isAllowedHost(host));
    if (forbiddenHost.isPresent()) {
      return Optional.of("host " + clip(forbiddenHost.get()) + " is not allowed here");
    }
    return request
        .headers()
        .firstValue("origin")
        .filter(origin -> !isAllowedOrigin(origin))
        .map(origin -> "origin " + clip(origin) + " is not allowed here");
  }

  private boolean isAllowedHost(String host) {
    return settings.allowedHosts().contains(ANY)
        || settings.allowedHosts().contains(withoutPort(host).toLowerCase(Locale.ROOT));
  }

  private boolean isAllowedOrigin(String origin) {
    return settings.allowedOrigins().contains(ANY)
        || settings.allowedOrigins().contains(origin)
        || listensOnLoopback && LOOPBACK_ORIGIN.matcher(origin).matches();
  }

  private static String withoutPort(String host) {
    int colon = host.lastIndexOf(':');
    return colon > host.lastIndexOf(']') ? host.substring(0, colon) : host;
  }
}
