package lemondock.gateway.discovery;

import java.util.List;
import lemondock.dispatch.Endpoint;

/** A source of endpoint lists. Loop thread only; the listener is called on the loop too. */
public interface EndpointListSource {
  /** Starts following the list; called once. */
  void start(Listener listener);

  /** Requests the complete list again, because the router needs it. */
  void refresh();

  /** Stops following. */
  void stop();

  /** Receives endpoint lists. */
  interface Listener {
    /** Receives the complete current list. */
    void onList(List<Endpoint> endpoints);

    /** Called when the list could not be fetched; the previous one remains valid. */
    void onFailure(String reason);
  }
}
