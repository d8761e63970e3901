package lemondock.gateway.mcp;

import static lemondock.gateway.mcp.HttpReplies.clip;

import java.util.Locale;
import java.util.Optional;
import java.util.regex.Pattern;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.net.http.HttpRequest;

/**
 * Checks the Host and Origin header fields of requests, against DNS rebinding: a page of another
 * site can make a browser send requests here, but only under that site's names. Any thread.
 */
final class DnsRebindingGuard {
  /** In the settings: every host or origin is allowed. */
  private static final String ANY = "*";

  private static final Pattern LOOPBACK =
      Pattern.compile("(localhost|127\\.[0-9.]+|\\[::1]):[0-9]+");

  /**
   * A page that this machine itself serves, on whatever port; other machines' pages have other
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

  /** Why the request is not allowed here; empty if it is. */
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
