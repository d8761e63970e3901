package lemondock.gateway.discovery;

import java.util.List;
import lemondock.dispatch.Endpoint;

/** Where endpoint lists come from. Loop thread only; the listener is called there too. */
public interface EndpointListSource {
  /** Begins to follow the list; called once. */
  void start(Listener listener);

  /** Asks for the whole list again, because the router wants it. */
  void refresh();

  /** Stops following. */
  void stop();

  /** Receives endpoint lists. */
  interface Listener {
    /** The whole list as it is now. */
    void onList(List<Endpoint> endpoints);

    /** The list could not be had; the one before stays in force. */
    void onFailure(String reason);
  }
}
